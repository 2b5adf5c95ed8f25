/* Which requests that are arriving are read while memory is short. The load: many clients send
 * large bodies at once, and some of them stop before the end. */
#include "decision/fleet/request_intake.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

constexpr std::size_t kBody = 1U << 20U;
constexpr ReaderBudget kBudget{ .bytes = 12U << 20U };
constexpr Duration kStep = 5ms;

/* A client that sends a body as fast as it is read, and stops at stopsAt. */
struct Upload
{
  std::uint64_t id = 0;
  std::size_t stopsAt = kBody;
  std::size_t received = 0;
  TimePoint progressAt{};
  bool isWaiting = false;
  bool isOver = false; ///< Complete or ended.
};

struct Outcome
{
  std::size_t peak = 0;
  std::size_t complete = 0;
  std::size_t ended = 0;
};

/* Plays uploads that begin together for a minute. Each step reads one block of each that may be
 * read; those in turn read until they stop. A complete body is released at once. */
Outcome Play(std::vector<Upload> aUploads, bool aIsDecisionOn = true)
{
  RequestIntake intake;
  intake.SetOptions({ .budget = aIsDecisionOn ? kBudget : ReaderBudget{}, .bodyLimit = kBody });
  Outcome outcome;
  std::size_t held = 0;
  TimePoint now{ 1s };
  const auto end = [&](Upload& aUpload) {
    held -= aUpload.received;
    aUpload.isOver = true;
    intake.Remove(aUpload.id);
  };
  const auto read = [&](Upload& aUpload) {
    const std::size_t size = std::min(kReadBytes, aUpload.stopsAt - aUpload.received);
    if (size == 0) {
      return false;
    }
    if (!intake.MayRead(aUpload.id, ArrivingPart::kBody, held)) {
      aUpload.isWaiting = true;
      intake.Wait({ .id = aUpload.id, .arrivedAt = TimePoint{ 1s } });
      return false;
    }
    aUpload.received += size;
    aUpload.progressAt = now;
    held += size;
    outcome.peak = std::max(outcome.peak, held);
    if (aUpload.received == kBody) {
      ++outcome.complete;
      end(aUpload);
    }
    return !aUpload.isOver;
  };
  for (; now < TimePoint{ 61s }; now += kStep) {
    for (Upload& upload : aUploads) {
      if (upload.isOver || upload.isWaiting) {
        continue;
      }
      while (read(upload) && intake.turns().contains(upload.id)) {
      }
      if (now - upload.progressAt >= kTurnSilence) {
        intake.EndTurn(upload.id);
      }
    }
    for (const std::uint64_t id : intake.Take(held)) {
      aUploads[id].isWaiting = false;
      aUploads[id].progressAt = now;
    }
    if (!intake.hasWaiting()) {
      continue;
    }
    std::vector<ReaderState> states;
    for (const Upload& upload : aUploads) {
      if (!upload.isOver) {
        states.push_back({ .id = upload.id,
                           .bytes = upload.received,
                           .behindFor = upload.isWaiting ? 0s : now - upload.progressAt });
      }
    }
    for (const ReaderToEnd& choice : ChooseUploadsToEnd(intake.SharedMark(), held, states)) {
      ++outcome.ended;
      end(aUploads[choice.id]);
    }
  }
  return outcome;
}

std::vector<Upload> Uploads(std::size_t aCount, std::size_t aStopped)
{
  std::vector<Upload> uploads(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    uploads[index].id = index;
    uploads[index].stopsAt = index < aStopped ? kBody - 2'000 : kBody;
  }
  return uploads;
}

} // namespace

/* Guards against reading more than the budget, and against uploads that all wait for each other. */
TEST_CASE("a crowd of whole uploads stays within the budget and none of them is ended")
{
  const Outcome outcome = Play(Uploads(150, 0));
  CHECK(outcome.peak <= kBudget.bytes + kReadBytes);
  CHECK(outcome.complete == 150);
  CHECK(outcome.ended == 0);
  CHECK(Play(Uploads(150, 0), false).peak > 10 * kBudget.bytes);
}

/* Guards against stopped uploads that hold the memory while others wait, and against ending them
 * without need. */
TEST_CASE("uploads that stop end only while others wait")
{
  const Outcome crowd = Play(Uploads(150, 100));
  CHECK(crowd.peak <= kBudget.bytes + kReadBytes);
  CHECK(crowd.complete == 50);
  CHECK(crowd.ended > 0);
  const Outcome calm = Play(Uploads(8, 7));
  CHECK(calm.complete == 1);
  CHECK(calm.ended == 0);
}

/* Guards against a limit for a client alone, and against refusing heads and small bodies because
 * large ones hold the memory. */
TEST_CASE("heads and small bodies are read while large bodies wait")
{
  RequestIntake intake;
  intake.SetOptions({ .budget = kBudget, .bodyLimit = 100 * kBody });
  const std::size_t mark = intake.SharedMark();
  CHECK(mark == kBudget.bytes / 4 * 3);
  CHECK(intake.MayRead(1, ArrivingPart::kBody, mark - 1));
  CHECK_FALSE(intake.MayRead(1, ArrivingPart::kBody, mark));
  CHECK(intake.MayRead(1, ArrivingPart::kSmall, mark));
  CHECK_FALSE(intake.MayRead(1, ArrivingPart::kSmall, kBudget.bytes));
  intake.Wait({ .id = 2, .arrivedAt = TimePoint{ 2s } });
  intake.Wait({ .id = 1, .arrivedAt = TimePoint{ 1s } });
  intake.Wait({ .id = 3, .arrivedAt = TimePoint{ 3s }, .part = ArrivingPart::kSmall });
  CHECK(intake.Take(kBudget.bytes).empty());
  CHECK(intake.Take(mark) == std::vector<std::uint64_t>{ 1, 3 });
  CHECK(intake.MayRead(1, ArrivingPart::kBody, mark));
  CHECK_FALSE(intake.MayRead(2, ArrivingPart::kBody, mark));
  intake.Remove(1);
  CHECK(intake.Take(mark) == std::vector<std::uint64_t>{ 2 });
  CHECK_FALSE(intake.hasWaiting());
  // A reload may take the limit away while requests wait.
  intake.Wait({ .id = 4, .arrivedAt = TimePoint{ 4s } });
  intake.SetOptions({});
  CHECK(intake.Take(mark) == std::vector<std::uint64_t>{ 4 });
  RequestIntake unlimited;
  CHECK(unlimited.MayRead(1, ArrivingPart::kBody, std::size_t{ 1 } << 40U));
}

/* Guards against small receive buffers for few clients, and large ones for many. */
TEST_CASE("receive buffers of clients share a part of the budget")
{
  CHECK(UploadBufferLimit({}, 5'000) == 0);
  CHECK(UploadBufferLimit(ReaderBudgetOf(260), 50) == 64U << 10U);
  CHECK(UploadBufferLimit(ReaderBudgetOf(260), 2'050) == 4U << 10U);
}
