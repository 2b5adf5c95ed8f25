/* Whose connection ends when a daemon buffers more than its budget, and what it may buffer. */
#include "decision/fleet/reader_budget.h"

#include <doctest/doctest.h>

#include <numeric>
#include <random>

using namespace rhubarbtrail;
using namespace rhubarbtrail::fleet;

namespace {

constexpr ReaderBudget kBudget{ .bytes = 1'000 };

std::vector<std::uint64_t> Ended(std::size_t aHeldBytes, std::vector<ReaderState> aReaders)
{
  std::vector<std::uint64_t> ids;
  for (const ReaderToEnd& reader : ChooseReadersToEnd(kBudget, aHeldBytes, std::move(aReaders))) {
    ids.push_back(reader.id);
  }
  return ids;
}

} // namespace

/* Guards against an ordinary payment that is ended while an endpoint runs it: its body is held
 * twice then, more than any of a crowd of slow uploads holds. */
TEST_CASE("a request that has come whole is spared while an upload holds more than its share")
{
  const ReaderState whole{ .id = 1, .bytes = 600 };
  const ReaderState upload{ .id = 2, .bytes = 550, .isArriving = true };
  CHECK(Ended(1'150, { whole, upload }) == std::vector<std::uint64_t>{ 2 });
  CHECK(Ended(1'150, { whole, { .id = 2, .bytes = 400, .isArriving = true } }) ==
        std::vector<std::uint64_t>{ 1 });
}

/* Guards against cutting off a slow reader while there is room, and without the setting. */
TEST_CASE("no reader ends within the budget or without one")
{
  CHECK(Ended(1'000, { { .id = 1, .bytes = 1'000, .behindFor = 60s } }).empty());
  CHECK(ChooseReadersToEnd({}, 1'000'000, { { .id = 1, .bytes = 1'000'000, .behindFor = 60s } })
          .empty());
}

/* Guards against ending a reader that holds less than another, or more readers than needed. */
TEST_CASE("the reader furthest behind for its share ends first")
{
  const std::vector<ReaderState> readers{ { .id = 1, .bytes = 300, .behindFor = 9s },
                                          { .id = 2, .bytes = 500, .behindFor = 2s },
                                          { .id = 3, .bytes = 280, .behindFor = 30s } };
  CHECK(Ended(1'080, readers) == std::vector<std::uint64_t>{ 2 });
  const auto ended = ChooseReadersToEnd(kBudget, 1'080, readers);
  CHECK(ended.front().shareBytes == 333);
  CHECK(ended.front().bytes == 500);
}

/* Guards against ending a fast reader with a large answer in place of the slow ones that hold the
 * memory, and against ending many slow readers for what one holds. */
TEST_CASE("a reader in its grace ends after the slow ones above their share and before the rest")
{
  CHECK(Ended(1'050, { { .id = 1, .bytes = 600 }, { .id = 2, .bytes = 450, .behindFor = 1s } }) ==
        std::vector<std::uint64_t>{ 1 });
  CHECK(Ended(1'050,
              { { .id = 1, .bytes = 500 },
                { .id = 2, .bytes = 450, .behindFor = 1s },
                { .id = 3, .bytes = 100, .behindFor = 5s } }) == std::vector<std::uint64_t>{ 2 });
}

/* Guards against a daemon that stays above its budget, for any distribution over the readers. */
TEST_CASE("the budget is kept whatever the readers hold, and no reader ends that need not")
{
  std::mt19937 random(1);
  for (int run = 0; run < 2'000; ++run) {
    std::vector<ReaderState> readers(1 + random() % 50);
    for (std::size_t index = 0; index < readers.size(); ++index) {
      readers[index] = { .id = index + 1,
                         .bytes = random() % (run % 2 == 0 ? 1'500 : 90),
                         .behindFor = Duration{ random() % 3'000'000 } };
    }
    const auto held = std::accumulate(
      readers.begin(), readers.end(), std::size_t{ 0 }, [](auto aSum, const auto& aReader) {
        return aSum + aReader.bytes;
      });
    const auto ended = ChooseReadersToEnd(kBudget, held, readers);
    std::size_t left = held;
    for (const ReaderToEnd& reader : ended) {
      CHECK(left > 1'000 - 1'000 / 32);
      left -= reader.bytes;
    }
    CAPTURE(run);
    CHECK(left <= 1'000);
    CHECK(ended.empty() == (held <= 1'000));
  }
}

/* Guards against a change for deployments with room: pausing earlier, small kernel buffers. */
TEST_CASE("backpressure is as usual while there is room, and grows with what is held")
{
  const ReaderBudget budget = ReaderBudgetOf(160);
  const std::size_t usual = 256U << 10U;
  CHECK(budget.bytes == 64U << 20U);
  CHECK(PauseThreshold({}, 1U << 30U, 5'000, usual) == usual);
  CHECK(PauseThreshold(budget, budget.bytes / 8, 2'000, usual) == usual);
  CHECK(PauseThreshold(budget, budget.bytes / 4 * 3, 2'000, usual) == 8U << 10U);
  CHECK(PauseThreshold(budget, budget.bytes / 2, 10, usual) == usual);
  CHECK(PauseThreshold(budget, budget.bytes * 2, 10, usual) == 8U << 10U);
  CHECK(ReceiveBufferLimit({}, 5'000) == 0);
  CHECK(ReceiveBufferLimit(budget, 64) == 0);
  CHECK(ReceiveBufferLimit(budget, 256) == 16U << 10U);
  CHECK(ReceiveBufferLimit(budget, 20'000) == 8U << 10U);
  CHECK(SendBacklogLimit({}, 5'000) == 0);
  CHECK(SendBacklogLimit(budget, 100) == 128U << 10U);
  CHECK(SendBacklogLimit(budget, 20'000) == 16U << 10U);
  CHECK(EndpointBytesLimit({}) == 0);
  CHECK(EndpointBytesLimit(budget) == 8U << 20U);
}

/* Guards against a process that exceeds the host's memory by what no account holds, and against a
 * budget of 0, which would be no limit. */
TEST_CASE("the budget gives way to resident memory above seven eighths of the host's")
{
  const std::size_t mb = 1U << 20U;
  const ReaderBudget usual = ReaderBudgetOf(160);
  CHECK(ReaderBudgetOf(160, 140 * mb).bytes == usual.bytes);
  CHECK(ReaderBudgetOf(160, 150 * mb).bytes == usual.bytes - 10 * mb);
  CHECK(ReaderBudgetOf(160, 1'000 * mb).bytes == usual.bytes / 8);
  CHECK(ReaderBudgetOf(160, 0).bytes == usual.bytes);
  CHECK_FALSE(ReaderBudgetOf(0, 1'000 * mb).isLimited());
}
