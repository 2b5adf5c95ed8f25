/* The connections of callers: bounded requests, prompt shutdown, and word when a caller goes. */
#ifndef RHUBARBTRAIL_CALLER_CALLER_CONNECTION_H
#define RHUBARBTRAIL_CALLER_CALLER_CONNECTION_H

#include "core/unit_type.h"

#include <atomic>
#include <httplib.h>

namespace rhubarbtrail {

struct CallerConnectionOptions
{
  std::size_t requestLimit = 2U << 20U; ///< Bytes of one request, headers included.
  Duration requestTime = 30s;           ///< For a request to arrive whole.
  Duration idleTime = 60s;              ///< Between two requests on one connection.
  Duration writeTime = 10s;             ///< For a caller that reads nothing.
};

/* An HTTP server that reads its sockets itself, since the library bounds neither the sum of the
 * headers nor the time that a request takes to arrive. */
class BoundedServer : public httplib::Server
{
public:
  explicit BoundedServer(CallerConnectionOptions aOptions);

  /* Closes the listening socket and the connections that wait for a next request. */
  void Close();

  /* Returns a queue for connections that wait for a thread. While some wait, connections without a
   * request give their threads up, so that idle callers do not keep others out. */
  httplib::TaskQueue* MakeQueue(std::size_t aThreads);

  /* Refuses the request that this thread reads, and closes its connection afterwards: where its
   * body ends is not certain. */
  static void RefuseFraming(httplib::Response& aResponse);

  /* Returns whether the caller that this thread serves has closed its connection. */
  static bool IsCallerGone();
  /* Returns whether the request that this thread reads has exceeded its limit. */
  static bool IsRequestTooLarge();

private:
  bool process_and_close_socket(socket_t aSocket) override;
  bool WaitForRequest(httplib::Stream& aStream) const;

  const CallerConnectionOptions mOptions;
  std::atomic<bool> mIsClosing{ false };
  std::atomic<int> mWaiting{ 0 }; ///< Connections that wait for a thread.
};

} // namespace rhubarbtrail

#endif
