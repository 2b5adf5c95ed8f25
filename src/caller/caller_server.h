/* The HTTP server for callers. */
#ifndef RHUBARBTRAIL_CALLER_CALLER_SERVER_H
#define RHUBARBTRAIL_CALLER_CALLER_SERVER_H

#include "caller/session.h"
#include "caller/snapshot_type.h"
#include "core/metrics.h"
#include "core/rcu_pointer.h"

#include <functional>
#include <memory>
#include <string>

namespace rhubarbtrail {

struct CallerServerOptions
{
  std::string address = "127.0.0.1"; ///< IP address to listen on.
  std::uint16_t port = 0;            ///< 0: the kernel chooses a port.
  /* From this number on, each new connection closes an idle one, if there is one. */
  std::uint32_t connectionLimit = 4'096;
  std::uint64_t bodyLimit = 1U << 20U;               ///< Size of the body of a request, in bytes.
  std::string requestIdPrefix;                       ///< Makes request ids unique across processes.
  std::function<void(RequestSample)> onRequestEnded; ///< Called for each request that has ended.
};

/* Serves callers on an event loop with its own thread. Checks each request against the snapshot.
 * For a valid one, adds a session and passes a RequestArrived event to the decision code. */
class CallerServer
{
public:
  /* aPostEvent passes an event to the decision code. It is called on the thread of the event loop.
   */
  CallerServer(CallerServerOptions aOptions,
               const RcuPointer<Snapshot>& aSnapshot,
               SessionMap& aSessions,
               std::function<void(Event)> aPostEvent);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /* Starts to listen and to serve. Returns the port, or 0 when listening fails. */
  std::uint16_t Start();

  /* Waits up to 3 s until open requests are answered, then closes all connections. */
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail

#endif
