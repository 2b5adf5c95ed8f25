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
      while (read(upload) && intake.HasTurn(upload.id)) {
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

/* Guards against slow bodies that came first and keep their turn: an ordinary one got no answer in
 * 15 s. Load pattern: 150 clients that send 1.1 kB of a large body every 80 ms. */
TEST_CASE("an ordinary body is complete soon beside slow ones that came before")
{
  RequestIntake intake;
  intake.SetOptions({ .budget = kBudget, .bodyLimit = kBody });
  const std::size_t held = intake.SharedMark() + 1;
  constexpr std::uint64_t kSlow = 150;
  constexpr std::uint64_t kOrdinary = kSlow;
  std::vector<BodyProgress> bodies(kSlow + 1, { .received = 0, .remaining = kBody });
  bodies[kOrdinary].remaining = 100'000;
  TimePoint now{ 1s };
  const auto wait = [&](std::uint64_t aId) {
    intake.Wait({ .id = aId, .arrivedAt = TimePoint{ 1s }, .body = bodies[aId] });
  };
  const auto advance = [&](std::uint64_t aId, std::uint64_t aBytes) {
    const auto bytes = std::min<std::uint64_t>(aBytes, bodies[aId].remaining);
    bodies[aId].received += bytes;
    bodies[aId].remaining -= bytes;
  };
  for (std::uint64_t id = 0; id < kSlow; ++id) {
    wait(id);
  }
  int steps = 0;
  for (; steps < 400 && bodies[kOrdinary].remaining > 0; ++steps) {
    now += kStep;
    if (steps == 200) {
      wait(kOrdinary);
    }
    intake.Take(held);
    for (const std::uint64_t id : intake.turns()) {
      advance(id, id == kOrdinary ? kReadBytes : steps % 16 == 0 ? 1'100 : 0);
      intake.ReviewTurn(now, id, bodies[id]);
      if (!intake.HasTurn(id) && bodies[id].remaining > 0) {
        wait(id);
      }
    }
  }
  CHECK(bodies[kOrdinary].remaining == 0);
  CHECK(steps - 200 < 200); // A second.
}

TEST_CASE("a body in turn keeps it while it would be complete before those that wait")
{
  RequestIntake intake;
  intake.SetOptions({ .budget = kBudget, .bodyLimit = kBody });
  const std::size_t held = intake.SharedMark() + 1;
  intake.Wait({ .id = 1, .arrivedAt = TimePoint{ 1s }, .body = { .remaining = 600'000 } });
  REQUIRE(intake.Take(held) == std::vector<std::uint64_t>{ 1 });
  intake.Wait({ .id = 2, .arrivedAt = TimePoint{ 1s }, .body = { .remaining = 500'000 } });
  CHECK(intake.Take(held).empty());
  intake.ReviewTurn(TimePoint{ 2s }, 1, { .received = 0, .remaining = 600'000 });
  intake.ReviewTurn(TimePoint{ 2'100ms }, 1, { .received = 200'000, .remaining = 400'000 });
  CHECK(intake.HasTurn(1));
  intake.ReviewTurn(TimePoint{ 2'200ms }, 1, { .received = 201'000, .remaining = 399'000 });
  CHECK_FALSE(intake.HasTurn(1));
  CHECK(intake.Take(held) == std::vector<std::uint64_t>{ 2 });
}
