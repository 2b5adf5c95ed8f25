/* Decides which requests that are still arriving a daemon reads further while it is short of
 * memory. */
#include "decision/fleet/request_intake.h"

#include <algorithm>

namespace rhubarbtrail::fleet {

namespace {

/* Part of the budget, as a divisor, that is kept for requests in turn, heads and small bodies. */
constexpr std::size_t kReservedDivisor = 4;
/* A complete body is held twice, as it came and as it is sent to an endpoint. */
constexpr std::size_t kCopiesOfBody = 2;
/* Part of the budget that the kernel's receive buffers of clients may take, as a divisor, and their
 * smallest and largest size. The kernel doubles the size that it is given. */
constexpr std::size_t kUploadBufferDivisor = 16;
constexpr std::size_t kMinUploadBuffer = 4U << 10U;
constexpr std::size_t kMaxUploadBuffer = 64U << 10U;
/* Bytes per second at which a body that had no turn yet is expected to come, and the least pace
 * that is told from none. */
constexpr double kAssumedPace = 1e6;
constexpr double kMinPace = 1.0;

} // namespace

bool RequestIntake::MayRead(std::uint64_t aId, ArrivingPart aPart, std::size_t aHeldBytes) const
{
  if (!mOptions.budget.isLimited()) {
    return true;
  }
  const bool mayUseReserve = aPart == ArrivingPart::kSmall || mTurns.contains(aId);
  return aHeldBytes < (mayUseReserve ? mOptions.budget.bytes : SharedMark());
}

Duration RequestIntake::TimeToComplete(std::uint64_t aId, std::uint64_t aRemaining) const
{
  const auto pace = mPaces.find(aId);
  const double bytesPerSecond =
    std::max(pace == mPaces.end() ? kAssumedPace : pace->second, kMinPace);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>{ static_cast<double>(aRemaining) / bytesPerSecond });
}

void RequestIntake::Wait(const WaitingArrival& aArrival)
{
  const Duration time = aArrival.part == ArrivingPart::kSmall
                          ? Duration::zero()
                          : TimeToComplete(aArrival.id, aArrival.body.remaining);
  const Place place{ time, aArrival.arrivedAt, aArrival.id };
  if (const auto [known, isNew] = mPlaces.try_emplace(aArrival.id, place); !isNew) {
    mWaiting.erase(known->second);
    known->second = place;
  }
  mWaiting[place] = aArrival.part;
}

void RequestIntake::ReviewTurn(TimePoint aNow, std::uint64_t aId, const BodyProgress& aBody)
{
  const auto turn = mTurns.find(aId);
  if (turn == mTurns.end()) {
    return;
  }
  if (!turn->second.measuredSince) {
    turn->second = { .measuredSince = aNow, .received = aBody.received };
    return;
  }
  const Duration time = aNow - *turn->second.measuredSince;
  if (time < kPaceInterval) {
    return;
  }
  mPaces[aId] = static_cast<double>(aBody.received - turn->second.received) /
                std::chrono::duration<double>(time).count();
  turn->second = { .measuredSince = aNow, .received = aBody.received };
  const auto next = std::find_if(mWaiting.begin(), mWaiting.end(), [](const auto& aItem) {
    return aItem.second == ArrivingPart::kBody;
  });
  if (next != mWaiting.end() &&
      std::get<Duration>(next->first) < TimeToComplete(aId, aBody.remaining)) {
    mTurns.erase(turn);
  }
}

std::vector<std::uint64_t> RequestIntake::turns() const
{
  std::vector<std::uint64_t> ids;
  ids.reserve(mTurns.size());
  for (const auto& [id, turn] : mTurns) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<std::uint64_t> RequestIntake::Take(std::size_t aHeldBytes)
{
  std::vector<std::uint64_t> taken;
  std::size_t expected = aHeldBytes; // With one read of each that is taken.
  const auto isFull = [&] {
    return mOptions.budget.isLimited() && expected >= mOptions.budget.bytes;
  };
  for (auto item = mWaiting.begin(); item != mWaiting.end() && !isFull();) {
    const std::uint64_t id = std::get<std::uint64_t>(item->first);
    if (item->second == ArrivingPart::kBody && mTurns.size() < MaxTurns()) {
      mTurns.try_emplace(id);
    }
    if (!MayRead(id, item->second, expected)) {
      ++item;
      continue;
    }
    taken.push_back(id);
    expected += kReadBytes;
    mPlaces.erase(id);
    item = mWaiting.erase(item);
  }
  return taken;
}

void RequestIntake::Remove(std::uint64_t aId)
{
  mTurns.erase(aId);
  mPaces.erase(aId);
  const auto found = mPlaces.find(aId);
  if (found != mPlaces.end()) {
    mWaiting.erase(found->second);
    mPlaces.erase(found);
  }
}

std::size_t RequestIntake::SharedMark() const
{
  return mOptions.budget.bytes - mOptions.budget.bytes / kReservedDivisor;
}

std::size_t RequestIntake::MaxTurns() const
{
  const std::uint64_t reserved = mOptions.budget.bytes / kReservedDivisor;
  const std::uint64_t body = std::max<std::uint64_t>(mOptions.bodyLimit, 1) * kCopiesOfBody;
  return std::max<std::uint64_t>(reserved / body, 1);
}

std::vector<ReaderToEnd> ChooseUploadsToEnd(std::size_t aMark,
                                            std::size_t aHeldBytes,
                                            std::vector<ReaderState> aUploads)
{
  std::vector<ReaderToEnd> ended;
  std::erase_if(aUploads, [](const ReaderState& aUpload) {
    return aUpload.bytes == 0 || aUpload.behindFor < kReaderGrace;
  });
  std::sort(aUploads.begin(), aUploads.end(), [](const auto& aLeft, const auto& aRight) {
    return std::pair{ ~aLeft.bytes, aLeft.id } < std::pair{ ~aRight.bytes, aRight.id };
  });
  for (const ReaderState& upload : aUploads) {
    if (aHeldBytes < aMark) {
      break;
    }
    ended.push_back({ .id = upload.id, .bytes = upload.bytes, .behindFor = upload.behindFor });
    aHeldBytes -= std::min(aHeldBytes, upload.bytes);
  }
  return ended;
}

std::size_t UploadBufferLimit(const ReaderBudget& aBudget, std::size_t aConnections)
{
  if (!aBudget.isLimited()) {
    return 0;
  }
  return std::clamp(
    aBudget.ShareOf(aConnections) / kUploadBufferDivisor, kMinUploadBuffer, kMaxUploadBuffer);
}

} // namespace rhubarbtrail::fleet
