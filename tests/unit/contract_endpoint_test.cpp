/* Outcomes of attempts and orders for correct and faulty answers of endpoints. */
#include "tests/unit/fake_server.h"

#include "endpoint/attempt.h"
#include "endpoint/order_client.h"

#include <doctest/doctest.h>
#include <semaphore>

#include <vector>

namespace rhubarbtrail {

namespace {

constexpr Duration kTimeLimit = 200ms;
constexpr const char* kStreamWithoutEnd = "data: a\n\ndata: b\n\n";
constexpr const char* kCompleteStream = "data: a\n\ndata: b\n\ndata: [DONE]\n\n";

struct AttemptCase
{
  std::string name;
  AnswerForm form;
  FakeAnswer answer;
  AttemptOutcome outcome;
  std::uint32_t delivered = 0; ///< Stream events that the session has delivered.
};

std::shared_ptr<Session> MakeSession(AnswerForm aForm)
{
  return std::make_shared<Session>(
    RequestId{ "id" },
    EndpointCall{ .method = "POST", .path = "/v1/completions", .body = "{}", .form = aForm });
}

StartAttempt MakeAttempt(const std::string& aAddress, std::uint32_t aOffset = 0)
{
  return { .request = RequestId{ "id" },
           .attempt = AttemptNumber{ 2 },
           .address = aAddress,
           .resumeOffset = aOffset,
           .reuse = ConnectionReuse::kNewConnection,
           .progressLimit = kTimeLimit,
           .timeLeft = kTimeLimit };
}

std::vector<AttemptCase> AttemptCases()
{
  using enum AnswerForm;
  using enum AttemptOutcome;
  using enum AnswerFault;
  const httplib::Headers ownId{ { "X-Request-Id", "id" } };
  const httplib::Headers otherId{ { "X-Request-Id", "other" } };
  const httplib::Headers leaving{ { "X-Refusal", "leaving" } };
  const httplib::Headers notLoaded{ { "X-Refusal", "not-loaded" } };
  const std::string eventStreamType = "text/event-stream";
  return {
    { "complete", kBuffered, { .body = "{}", .headers = ownId }, kCompleted },
    { "answer to another request",
      kBuffered,
      { .body = "{}", .headers = otherId },
      kForeignAnswer },
    { "truncated", kBuffered, { .body = "{}", .fault = kTruncated }, kIncomplete },
    { "no length", kBuffered, { .body = "{}", .fault = kNoLength }, kIncomplete },
    { "late", kBuffered, { .body = "{}", .fault = kLate }, kTimedOut },
    { "error", kBuffered, { .status = 500, .body = "{}" }, kIncomplete },
    { "refusal by the engine's own checks",
      kBuffered,
      { .status = 400, .body = "{}" },
      kCompleted },
    { "a status that is not defined", kBuffered, { .status = 199, .body = "{}" }, kIncomplete },
    { "a blank in a field's name",
      kBuffered,
      { .body = "{}", .headers = { { "X Y", "1" } } },
      kIncomplete },
    { "a blank before the colon",
      kBuffered,
      { .body = "{}", .headers = { { "X-Y ", "1" } } },
      kIncomplete },
    { "a control character in a field's name",
      kBuffered,
      { .body = "{}", .headers = { { "X\x01", "1" } } },
      kIncomplete },
    { "leaving", kBuffered, { .status = 503, .headers = leaving }, kLeaving },
    { "not loaded", kBuffered, { .status = 503, .headers = notLoaded }, kNotRun },
    { "stream",
      kStream,
      { .body = kCompleteStream, .contentType = eventStreamType },
      kCompleted,
      3 },
    { "stream without end mark",
      kStream,
      { .body = kStreamWithoutEnd, .contentType = eventStreamType },
      kIncomplete,
      2 },
    { "stream, truncated after the end mark",
      kStream,
      { .body = kCompleteStream, .fault = kTruncated, .contentType = eventStreamType },
      kCompleted,
      3 },
    { "stream, truncated before the end mark",
      kStream,
      { .body = kStreamWithoutEnd, .fault = kTruncated, .contentType = eventStreamType },
      kIncomplete,
      2 },
    { "truncated event",
      kStream,
      { .body = "data: a", .contentType = eventStreamType },
      kIncomplete,
      0 },
    { "stream of another request",
      kStream,
      { .body = kCompleteStream, .headers = otherId, .contentType = eventStreamType },
      kForeignAnswer,
      0 },
    { "late stream", kStream, { .body = kCompleteStream, .fault = kLate }, kTimedOut, 0 },
  };
}

/* Waits for the next part of an answer. Returns nothing when none has arrived within kTimeLimit. */
std::optional<AnswerPart> WaitForPart(Session& aSession)
{
  const auto notified = std::make_shared<std::counting_semaphore<>>(
    0); // The session can call the listener after this function has returned.
  aSession.SetListener([notified] { notified->release(); });
  auto part = aSession.TakePart();
  if (!part && notified->try_acquire_for(kTimeLimit)) {
    part = aSession.TakePart();
  }
  aSession.SetListener(nullptr);
  return part;
}

} // namespace

TEST_CASE("the outcome of an attempt follows from the endpoint's answer")
{
  for (const AttemptCase& item : AttemptCases()) {
    CAPTURE(item.name);
    const FakeServer server(item.answer);
    const auto session = MakeSession(item.form);
    const AttemptEnded ended = RunAttempt(*session, MakeAttempt(server.address()));
    CHECK(static_cast<int>(ended.outcome) == static_cast<int>(item.outcome));
    CHECK(ended.deliveredEvents == item.delivered);
    CHECK(server.callCount() == 1);
  }
}

TEST_CASE("an attempt whose request was not sent ends as not connected")
{
  const auto unreachable = MakeSession(AnswerForm::kBuffered);
  CHECK(RunAttempt(*unreachable, MakeAttempt(ClosedAddress())).outcome ==
        AttemptOutcome::kNotConnected);
  const FakeServer server({ .body = "{}" });
  const auto stopped = MakeSession(AnswerForm::kBuffered);
  stopped->StopAttempt(AttemptNumber{ 2 });
  CHECK(RunAttempt(*stopped, MakeAttempt(server.address())).outcome ==
        AttemptOutcome::kNotConnected);
  CHECK(server.callCount() == 0);
}

// The caller already has event a. The first engine continues after it, and the second one sends all
// events again.
TEST_CASE("a resumed stream has each event once, whether or not the engine honours the offset")
{
  const std::string eventStreamType = "text/event-stream";
  const std::vector<FakeAnswer> answers{
    { .body = "data: b\n\ndata: [DONE]\n\n",
      .headers = { { "X-Resume-Offset", "1" } },
      .contentType = eventStreamType },
    { .body = kCompleteStream, .contentType = eventStreamType },
  };
  for (const FakeAnswer& answer : answers) {
    const FakeServer server(answer);
    const auto session = MakeSession(AnswerForm::kStream);
    session->BeginAttempt(AttemptNumber{ 1 });
    session->PushEvent(AttemptNumber{ 1 }, 0, "data: a\n\n");
    CHECK(RunAttempt(*session, MakeAttempt(server.address(), 1)).deliveredEvents == 3);
    CHECK(WaitForPart(*session)->data == kCompleteStream);
  }
}

// The text of the error would go on in the caller's stream, and end it as if it was complete.
TEST_CASE("an error of the engine that was to resume a stream does not become a part of it")
{
  for (const FakeAnswer& answer : { FakeAnswer{ .status = 404, .body = "no such model" },
                                    FakeAnswer{ .status = 400, .body = "data: x\n\n" } }) {
    const FakeServer server(answer);
    const auto session = MakeSession(AnswerForm::kStream);
    session->BeginAttempt(AttemptNumber{ 1 });
    session->PushEvent(AttemptNumber{ 1 }, 0, "data: a\n\n");
    const AttemptEnded ended = RunAttempt(*session, MakeAttempt(server.address(), 1));
    CHECK(ended.outcome == AttemptOutcome::kIncomplete);
    CHECK(WaitForPart(*session)->data == "data: a\n\n");
  }
}

// The buffer holds 256 KiB. Without the limit, a caller that reads slowly would make it grow. A
// stop must end the wait, or the thread of the attempt would stay blocked.
TEST_CASE(
  "a full stream buffer blocks the attempt until the caller reads or the attempt is stopped")
{
  const auto session = MakeSession(AnswerForm::kStream);
  session->BeginAttempt(AttemptNumber{ 1 });
  const std::string event(64U << 10U, 'x');
  std::atomic<std::uint32_t> pushed{ 0 };
  std::thread attempt([&] {
    while (session->PushEvent(AttemptNumber{ 1 }, pushed, event)) {
      ++pushed;
    }
  });
  while (pushed < 4) {
    std::this_thread::yield();
  }
  CHECK(WaitForPart(*session)->data.size() >= 4 * event.size());
  session->StopAttempt(AttemptNumber{ 1 });
  attempt.join();
  CHECK(session->delivered() <= 9);
}

// If a faulty answer counted as a result, the scheduler would plan with models that the runner does
// not hold, or with memory that is not free.
TEST_CASE("an order's outcome is unknown unless the answer states it or the order was not sent")
{
  struct Case
  {
    std::string name;
    FakeAnswer answer;
    OrderOutcome outcome;
  };
  using enum OrderOutcome;
  const std::string done = R"({"order":"o","state":"done"})";
  const std::vector<Case> cases{
    { "done", { .body = done }, kDone },
    { "running", { .body = R"({"order":"o","state":"running"})" }, kAccepted },
    { "fenced", { .body = R"({"order":"o","state":"fenced"})" }, kFenced },
    { "no memory", { .body = R"({"order":"o","state":"no_memory"})" }, kNoMemory },
    { "another order", { .body = R"({"order":"x","state":"done"})" }, kUnknown },
    { "no state", { .body = R"({"order":"o"})" }, kUnknown },
    { "unknown state", { .body = R"({"order":"o","state":"?"})" }, kUnknown },
    { "not JSON", { .body = "{" }, kUnknown },
    { "error", { .status = 500, .body = done }, kUnknown },
    { "unavailable", { .status = 503, .body = done }, kUnknown },
    { "truncated", { .body = done, .fault = AnswerFault::kTruncated }, kUnknown },
    { "late", { .body = done, .fault = AnswerFault::kLate }, kUnknown },
  };
  const OrderClientOptions options{ .timeout = kTimeLimit, .issuer = {} };
  for (const Case& item : cases) {
    CAPTURE(item.name);
    const FakeServer server(item.answer);
    const SendOrder order{ .address = server.address(), .order = OrderId{ "o" } };
    CHECK(static_cast<int>(SendOrderToRunner(options, order).outcome) ==
          static_cast<int>(item.outcome));
  }
  const SendOrder order{ .address = ClosedAddress(), .order = OrderId{ "o" } };
  CHECK(SendOrderToRunner(options, order).outcome == kConnectionRefused);
  CHECK(WaitForOrder(options, order).outcome == kUnknown);
}

} // namespace rhubarbtrail
