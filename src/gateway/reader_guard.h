/* Keeps what a daemon buffers for slow readers within its budget. */
#ifndef RHUBARBTRAIL_GATEWAY_READER_GUARD_H
#define RHUBARBTRAIL_GATEWAY_READER_GUARD_H

#include "gateway/gateway.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbtrail {

/* A reader for which the daemon holds bytes. */
struct HeldReader
{
  std::uint64_t connection = 0; ///< Of the client; 0 if it has closed.
  RequestFlow* flow = nullptr;  ///< Null if the request has ended or is still arriving.
  std::string requestId;        ///< Empty while the request is arriving.
  bool isArriving = false;      ///< The request is still arriving.
  fleet::ReaderState state;
};

/* Lets requests that are arriving be read as the intake allows, and ends the readers that are
 * furthest behind when the daemon holds more than its budget. Bytes that the kernel has received
 * and the daemon has not read are counted for paused answers and for requests that wait for the
 * intake; for others they are read as they come. */
class ReaderGuard
{
public:
  /* The references must outlive this object. */
  ReaderGuard(GatewayContext& aContext, http::Server& aServer);

  /* Sets the memory of the host in megabytes, of which the budget is a part; without a limit, 0,
   * nothing is checked and nothing ends. */
  void SetMemoryLimit(std::uint32_t aMemoryMb);
  /* Sets the largest body that a client may send, in bytes. */
  void SetBodyLimit(std::uint64_t aBytes);
  /* Starts to let waiting requests be read as memory becomes free. */
  void OnIntakeWait();
  /* Starts to count the unread bytes of paused answers. */
  void OnReadingPaused();

  /* Returns the readers for which the daemon holds bytes, in no order. */
  std::vector<HeldReader> Readers() const;
  std::uint64_t endedCount() const { return mEndedCount; }
  std::uint64_t endedBytes() const { return mEndedBytes; }
  std::size_t kernelBytes() const { return mKernelHeld.bytes(); }

private:
  void ApplyBudget(const fleet::ReaderBudget& aBudget);
  /* Checks the budget soon, but not more often than each kCheckInterval. */
  void ScheduleCheck();
  void Check();
  void EndReader(const HeldReader& aReader, const fleet::ReaderToEnd& aChoice);
  /* Counts the bytes that the kernel holds unread of paused answers. Returns whether there are
   * paused answers. */
  bool CountUnread();
  void ScheduleCountUnread();
  /* Reads on at the requests that the intake lets through and, while others still wait, ends those
   * that do not progress. */
  void ServeIntake();
  void EndStoppedUploads();
  /* Returns free memory to the system and lowers the budget by what the process holds beside it
   * beyond the rest of the memory. */
  void AdaptBudget();

  GatewayContext& mContext;
  http::Server& mServer;
  HeldBytes mKernelHeld;
  boost::asio::steady_timer mCheckTimer;
  boost::asio::steady_timer mUnreadTimer;
  boost::asio::steady_timer mIntakeTimer;
  std::uint32_t mMemoryMb = 0; ///< Of the host, in megabytes; 0: no limit.
  std::uint64_t mBodyLimit = 0;
  bool mIsIntakeScheduled = false;
  bool mIsBudgetLowered = false;
  TimePoint mPressureCheckedAt{}; ///< When uploads and resident memory were last looked at.
  bool mIsCheckScheduled = false;
  bool mIsCountingUnread = false;
  TimePoint mCheckedAt{};
  std::uint64_t mEndedCount = 0;
  std::uint64_t mEndedBytes = 0;
};

} // namespace rhubarbtrail

#endif
