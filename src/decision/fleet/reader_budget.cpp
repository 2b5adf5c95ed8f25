/* Decides how many bytes a daemon may buffer for slow readers, and whose connection ends. */
#include "decision/fleet/reader_budget.h"

#include <algorithm>
#include <tuple>

namespace rhubarbtrail::fleet {

namespace {

/* Part of the host's memory that may be buffered for readers. The rest is for the code, the tables,
 * the objects of connections and the allocator's overhead. */
constexpr double kBudgetRatio = 0.4;
constexpr std::size_t kBytesPerMb = 1U << 20U;
/* Part of the host's memory, as a divisor, that stays free, and the part of the budget that is left
 * however much is resident. */
constexpr std::size_t kSpareDivisor = 8;
constexpr std::size_t kLeastBudgetDivisor = 8;
/* While less than this part of the budget is held, answers are paused at the usual number of bytes.
 */
constexpr std::size_t kFreeDivisor = 8;
/* Part of a reader's share of the free bytes at which its answer is paused, as a divisor. */
constexpr std::size_t kPauseDivisor = 8;
/* Lowest threshold for a pause: below it, a stream would stop at every few events. */
constexpr std::size_t kMinPauseBytes = 8U << 10U;
/* Part of the budget that the kernel's receive buffers may take, as a divisor. */
constexpr std::size_t kReceiveDivisor = 16;
/* Size that the kernel's receive buffer begins with, up to which it is left to the kernel, and the
 * lowest limit. */
constexpr std::size_t kUsualReceiveBuffer = 64U << 10U;
constexpr std::size_t kMinReceiveBuffer = 8U << 10U;
constexpr std::size_t kMinSendBacklog = 16U << 10U;
/* Highest limit of the bytes that wait to be sent. At 200 Mbit/s, the fastest network of a host,
 * the kernel can send for 5 ms before the event loop has to add more. */
constexpr std::size_t kMaxSendBacklog = 128U << 10U;
/* Part of the budget that requests in flight to one endpoint may take. */
constexpr std::size_t kEndpointDivisor = 8;
/* Part of the budget that incomplete messages of other daemons may take, as a divisor. */
constexpr std::size_t kMessageDivisor = 8;
/* Readers are ended until this part of the budget is free, so that the next decision is not due at
 * the next byte. */
constexpr std::size_t kReleaseDivisor = 32;

} // namespace

std::size_t ReaderBudget::ShareOf(std::size_t aReaders) const
{
  return bytes / std::max<std::size_t>(aReaders, 1);
}

ReaderBudget ReaderBudgetOf(std::uint32_t aMemoryMb)
{
  return { .bytes = static_cast<std::size_t>(static_cast<double>(aMemoryMb) * kBudgetRatio *
                                             static_cast<double>(kBytesPerMb)) };
}

ReaderBudget ReaderBudgetOf(std::uint32_t aMemoryMb, std::size_t aResidentBytes)
{
  ReaderBudget budget = ReaderBudgetOf(aMemoryMb);
  const std::size_t memory = aMemoryMb * kBytesPerMb;
  const std::size_t mark = memory - memory / kSpareDivisor;
  if (aResidentBytes > mark) {
    budget.bytes -=
      std::min(budget.bytes - budget.bytes / kLeastBudgetDivisor, aResidentBytes - mark);
  }
  return budget;
}

std::size_t PauseThreshold(const ReaderBudget& aBudget,
                           std::size_t aHeldBytes,
                           std::size_t aReaders,
                           std::size_t aUsual)
{
  if (!aBudget.isLimited() || aHeldBytes <= aBudget.bytes / kFreeDivisor) {
    return aUsual;
  }
  // The rest of a reader's share is for the bytes that arrive before a pause takes effect, and for
  // those that the kernel receives during it.
  const std::size_t free = aBudget.bytes - std::min(aHeldBytes, aBudget.bytes);
  const std::size_t share = free / kPauseDivisor / std::max<std::size_t>(aReaders, 1);
  return std::clamp(share, std::min(kMinPauseBytes, aUsual), aUsual);
}

std::size_t ReceiveBufferLimit(const ReaderBudget& aBudget, std::size_t aConnections)
{
  const std::size_t share = aBudget.ShareOf(aConnections) / kReceiveDivisor;
  if (!aBudget.isLimited() || share >= kUsualReceiveBuffer) {
    return 0;
  }
  return std::max(share, kMinReceiveBuffer);
}

std::size_t SendBacklogLimit(const ReaderBudget& aBudget, std::size_t aConnections)
{
  if (!aBudget.isLimited()) {
    return 0;
  }
  return std::clamp(aBudget.ShareOf(aConnections) / 2, kMinSendBacklog, kMaxSendBacklog);
}

std::size_t EndpointBytesLimit(const ReaderBudget& aBudget)
{
  return aBudget.bytes / kEndpointDivisor;
}

std::size_t MessageBytesLimit(const ReaderBudget& aBudget)
{
  return aBudget.bytes / kMessageDivisor;
}

std::vector<ReaderToEnd> ChooseReadersToEnd(const ReaderBudget& aBudget,
                                            std::size_t aHeldBytes,
                                            std::vector<ReaderState> aReaders)
{
  std::vector<ReaderToEnd> ended;
  if (!aBudget.isLimited() || aHeldBytes <= aBudget.bytes) {
    return ended;
  }
  std::erase_if(aReaders, [](const ReaderState& aReader) { return aReader.bytes == 0; });
  const std::size_t share = aBudget.ShareOf(aReaders.size());
  // Requests that have come whole may be running, so they are spared while one that has not holds
  // more than its share.
  const bool areRunningSpared =
    std::any_of(aReaders.begin(), aReaders.end(), [share](const ReaderState& aReader) {
      return aReader.isArriving && aReader.bytes > share;
    });
  // All shares are equal, so the reader furthest behind for its share holds the most bytes. Ending
  // readers within their share frees little, so they come last.
  const auto rank = [&](const ReaderState& aReader) {
    const bool isWithinShare = aReader.bytes <= share;
    const bool isInGrace = aReader.behindFor < kReaderGrace;
    const bool isSpared = areRunningSpared && !aReader.isArriving && isInGrace;
    return std::tuple{ isSpared, isWithinShare, isInGrace, ~aReader.bytes, aReader.id };
  };
  std::sort(aReaders.begin(), aReaders.end(), [&](const auto& aLeft, const auto& aRight) {
    return rank(aLeft) < rank(aRight);
  });
  const std::size_t target = aBudget.bytes - aBudget.bytes / kReleaseDivisor;
  for (const ReaderState& reader : aReaders) {
    if (aHeldBytes <= target) {
      break;
    }
    ended.push_back({ .id = reader.id,
                      .bytes = reader.bytes,
                      .shareBytes = share,
                      .behindFor = reader.behindFor });
    aHeldBytes -= std::min(aHeldBytes, reader.bytes);
  }
  return ended;
}

} // namespace rhubarbtrail::fleet
