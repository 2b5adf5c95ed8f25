/* Keeps what a daemon buffers for slow readers within its budget. */
#include "gateway/reader_guard.h"

#include "core/boot_clock.h"
#include "core/heap_func.h"
#include "gateway/request_flow.h"

#include <algorithm>
#include <unordered_map>

namespace rhubarbtrail {

namespace {

/* Minimum time between two checks. At 200 Mbit/s, the fastest network of a host, 250 kB arrive in
 * it. */
constexpr Duration kCheckInterval = 10ms;
/* Time between two counts of the bytes that the kernel holds unread of paused answers. A count
 * takes a system call for each of them. */
constexpr Duration kUnreadInterval = 100ms;
/* Time between two looks at the requests that wait for the intake. */
constexpr Duration kIntakeInterval = 5ms;
/* Time between two looks at uploads that do not progress and at the resident memory, while
 * requests wait or readers end. */
constexpr Duration kPressureInterval = 50ms;

} // namespace

ReaderGuard::ReaderGuard(GatewayContext& aContext, http::Server& aServer)
  : mContext(aContext)
  , mServer(aServer)
  , mKernelHeld(&aContext.bytes)
  , mCheckTimer(aContext.loop)
  , mUnreadTimer(aContext.loop)
  , mIntakeTimer(aContext.loop)
{
}

void ReaderGuard::SetMemoryLimit(std::uint32_t aMemoryMb)
{
  mMemoryMb = aMemoryMb;
  if (aMemoryMb > 0) {
    ReturnLargeBlocks();
  }
  mIsBudgetLowered = false;
  ApplyBudget(fleet::ReaderBudgetOf(aMemoryMb));
}

void ReaderGuard::SetBodyLimit(std::uint64_t aBytes)
{
  mBodyLimit = aBytes;
  mContext.intake.SetOptions({ .budget = mContext.readerBudget, .bodyLimit = mBodyLimit });
}

void ReaderGuard::ApplyBudget(const fleet::ReaderBudget& aBudget)
{
  mContext.readerBudget = aBudget;
  mContext.intake.SetOptions({ .budget = aBudget, .bodyLimit = mBodyLimit });
  mContext.runners.SetBytesLimit(fleet::EndpointBytesLimit(aBudget));
  mContext.bytes.SetLimit(aBudget.bytes, [this] { ScheduleCheck(); });
}

void ReaderGuard::ScheduleCheck()
{
  if (std::exchange(mIsCheckScheduled, true)) {
    return;
  }
  mCheckTimer.expires_after(
    std::max(mCheckedAt + kCheckInterval - BootClockNow(), Duration::zero()));
  mCheckTimer.async_wait([this](boost::system::error_code aError) {
    mIsCheckScheduled = false;
    if (!aError) {
      Check();
    }
  });
}

void ReaderGuard::Check()
{
  mCheckedAt = BootClockNow();
  CountUnread();
  if (mContext.bytes.held() <= mContext.readerBudget.bytes) {
    return;
  }
  const std::vector<HeldReader> readers = Readers();
  std::vector<fleet::ReaderState> states;
  states.reserve(readers.size());
  for (const HeldReader& reader : readers) {
    // A body in turn is about to be complete, and is not read beyond the budget.
    if (!reader.isArriving || !mContext.intake.HasTurn(reader.connection)) {
      states.push_back(reader.state);
    }
  }
  const auto choices =
    fleet::ChooseReadersToEnd(mContext.readerBudget, mContext.bytes.held(), std::move(states));
  for (const fleet::ReaderToEnd& choice : choices) {
    EndReader(readers[choice.id], choice);
  }
  CountUnread();
  if (mCheckedAt - mPressureCheckedAt >= kPressureInterval) {
    mPressureCheckedAt = mCheckedAt;
    AdaptBudget();
  }
}

void ReaderGuard::EndReader(const HeldReader& aReader, const fleet::ReaderToEnd& aChoice)
{
  ++mEndedCount;
  mEndedBytes += aChoice.bytes;
  if (aReader.flow != nullptr && mContext.openRequests.contains(aReader.flow)) {
    const auto flow = aReader.flow->shared_from_this();
    flow->EndSlowReader(aChoice);
    return;
  }
  mContext.log.Write("reader_ended",
                     { { "id", aReader.requestId },
                       { "side", aReader.requestId.empty() ? "upload" : "client" },
                       { "bytes", aChoice.bytes },
                       { "share", aChoice.shareBytes },
                       { "budget", mContext.readerBudget.bytes },
                       { "held", mContext.bytes.held() },
                       { "behind_ms", ToMilliseconds(aChoice.behindFor) } });
  mServer.EndReader(aReader.connection);
}

std::vector<HeldReader> ReaderGuard::Readers() const
{
  std::vector<HeldReader> readers;
  std::unordered_map<std::uint64_t, std::size_t> byConnection;
  for (http::ReaderInfo& info : mServer.Readers()) {
    byConnection.emplace(info.connection, readers.size());
    readers.push_back({ .connection = info.connection,
                        .requestId = std::move(info.label),
                        .isArriving = info.isReceiving,
                        .state = { .id = readers.size(),
                                   .bytes = info.heldBytes,
                                   .behindFor = info.behindFor,
                                   .isArriving = info.isReceiving } });
  }
  for (RequestFlow* flow : mContext.openRequests) {
    if (flow->isEnded()) {
      continue;
    }
    const auto held = flow->DescribeHeld();
    const auto [found, isNew] = byConnection.emplace(held.connection, readers.size());
    if (isNew) {
      readers.push_back({ .connection = held.connection, .state = { .id = readers.size() } });
    }
    HeldReader& reader = readers[found->second];
    reader.flow = flow;
    reader.requestId = flow->requestId();
    reader.state.bytes += held.bytes + held.kernelBytes;
    reader.state.behindFor = std::max(reader.state.behindFor, held.behindFor);
  }
  return readers;
}

bool ReaderGuard::CountUnread()
{
  std::size_t bytes = 0;
  bool hasPaused = false;
  for (const RequestFlow* flow : mContext.openRequests) {
    if (!flow->isEnded() && flow->isReadingPaused()) {
      hasPaused = true;
      bytes += flow->DescribeHeld().kernelBytes;
    }
  }
  mKernelHeld.Set(bytes);
  return hasPaused;
}

void ReaderGuard::OnReadingPaused()
{
  if (!std::exchange(mIsCountingUnread, true)) {
    ScheduleCountUnread();
  }
}

void ReaderGuard::ScheduleCountUnread()
{
  mUnreadTimer.expires_after(kUnreadInterval);
  mUnreadTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    mIsCountingUnread = CountUnread();
    if (mIsCountingUnread) {
      ScheduleCountUnread();
    }
  });
}

void ReaderGuard::OnIntakeWait()
{
  if (std::exchange(mIsIntakeScheduled, true)) {
    return;
  }
  mIntakeTimer.expires_after(kIntakeInterval);
  mIntakeTimer.async_wait([this](boost::system::error_code aError) {
    mIsIntakeScheduled = false;
    if (aError) {
      return;
    }
    ServeIntake();
    if (mContext.intake.hasWaiting() || mIsBudgetLowered) {
      OnIntakeWait();
    }
  });
}

void ReaderGuard::ServeIntake()
{
  fleet::RequestIntake& intake = mContext.intake;
  const TimePoint now = BootClockNow();
  for (const std::uint64_t id : intake.turns()) {
    const auto silence = mServer.TimeWithoutProgress(id);
    if (silence && *silence >= fleet::kTurnSilence) {
      intake.EndTurn(id);
    }
    if (const auto body = mServer.ProgressOf(id)) {
      intake.ReviewTurn(now, id, *body);
    }
  }
  for (const std::uint64_t id : intake.Take(mContext.bytes.held())) {
    mServer.ResumeReading(id);
  }
  const bool isUnderPressure = intake.hasWaiting() || mIsBudgetLowered;
  if (!isUnderPressure || BootClockNow() - mPressureCheckedAt < kPressureInterval) {
    return;
  }
  mPressureCheckedAt = BootClockNow();
  if (intake.hasWaiting()) {
    mServer.CountUnread();
    EndStoppedUploads();
  }
  AdaptBudget();
}

void ReaderGuard::EndStoppedUploads()
{
  const std::vector<HeldReader> readers = Readers();
  std::vector<fleet::ReaderState> uploads;
  for (const HeldReader& reader : readers) {
    if (reader.isArriving) {
      uploads.push_back(reader.state);
    }
  }
  const auto choices = fleet::ChooseUploadsToEnd(
    mContext.intake.SharedMark(), mContext.bytes.held(), std::move(uploads));
  for (const fleet::ReaderToEnd& choice : choices) {
    EndReader(readers[choice.id], choice);
  }
}

void ReaderGuard::AdaptBudget()
{
  if (mMemoryMb == 0) {
    return;
  }
  TrimHeap();
  const std::size_t resident = ResidentBytes();
  const fleet::ReaderBudget budget = fleet::ReaderBudgetOf(mMemoryMb, resident);
  if (budget.bytes != mContext.readerBudget.bytes) {
    mContext.log.Write("budget_changed",
                       { { "resident", resident },
                         { "limit_mb", mMemoryMb },
                         { "budget", budget.bytes },
                         { "former", mContext.readerBudget.bytes } });
    ApplyBudget(budget);
  }
  mIsBudgetLowered = budget.bytes < fleet::ReaderBudgetOf(mMemoryMb).bytes;
  if (mIsBudgetLowered) {
    OnIntakeWait(); // It is raised again when the memory is free.
  }
}

} // namespace rhubarbtrail
