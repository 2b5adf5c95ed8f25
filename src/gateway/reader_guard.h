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
  fleet::ReaderState state;
};

/* Ends the readers that are furthest behind when the daemon holds more than its budget. Bytes that
 * the kernel has received and the daemon has not read are counted for paused answers; for others
 * they are read as they come. */
class ReaderGuard
{
public:
  /* The references must outlive this object. */
  ReaderGuard(GatewayContext& aContext, http::Server& aServer);

  /* Sets the budget; without a limit, nothing is checked and nothing ends. */
  void SetBudget(const fleet::ReaderBudget& aBudget);
  /* Starts to count the unread bytes of paused answers. */
  void OnReadingPaused();

  /* Returns the readers for which the daemon holds bytes, in no order. */
  std::vector<HeldReader> Readers() const;
  std::uint64_t endedCount() const { return mEndedCount; }
  std::uint64_t endedBytes() const { return mEndedBytes; }
  std::size_t kernelBytes() const { return mKernelHeld.bytes(); }

private:
  /* Checks the budget soon, but not more often than each kCheckInterval. */
  void ScheduleCheck();
  void Check();
  void EndReader(const HeldReader& aReader, const fleet::ReaderToEnd& aChoice);
  /* Counts the bytes that the kernel holds unread of paused answers. Returns whether there are
   * paused answers. */
  bool CountUnread();
  void ScheduleCountUnread();

  GatewayContext& mContext;
  http::Server& mServer;
  HeldBytes mKernelHeld;
  boost::asio::steady_timer mCheckTimer;
  boost::asio::steady_timer mUnreadTimer;
  bool mIsCheckScheduled = false;
  bool mIsCountingUnread = false;
  TimePoint mCheckedAt{};
  std::uint64_t mEndedCount = 0;
  std::uint64_t mEndedBytes = 0;
};

} // namespace rhubarbtrail

#endif
