/* HTTP server of the administration API, through which operators inspect and control a daemon. */
#ifndef RHUBARBTRAIL_OPERATOR_ADMIN_SERVER_H
#define RHUBARBTRAIL_OPERATOR_ADMIN_SERVER_H

#include "caller/snapshot_type.h"
#include "core/rcu_pointer.h"
#include "decision/decision.h"
#include "operator/admin_routes.h"
#include "operator/configuration_store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rhubarbtrail {

struct AdminServerOptions
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;              ///< With 0, the kernel chooses a free port.
  std::uint64_t bodyLimit = 8U << 20U; ///< Largest request body in bytes.
  std::vector<OperatorKey> keys;
};

/* Callbacks into the daemon. They are called on the threads of the HTTP server. */
struct AdminHooks
{
  /* Returns the state dump of the daemon. */
  std::function<std::vector<DumpEntry>()> dump;
  /* Returns the metrics in the Prometheus text format. */
  std::function<std::string()> metrics;
  /* Called after this server has accepted a configuration version. */
  std::function<void(ConfigurationRow)> onConfigurationAccepted;
  /* Shuts the daemon down, which first finishes its open requests within the shutdown limit. */
  std::function<void()> drain;
  /* Releases a request from quarantine on all daemons. */
  std::function<void(FingerprintId)> releaseFromQuarantine;
};

/* Serves the administration API. Requests are answered on the threads of an HTTP server. */
class AdminServer
{
public:
  AdminServer(AdminServerOptions aOptions,
              const RcuPointer<Snapshot>& aSnapshot,
              const ConfigurationStore& aStore,
              AdminHooks aHooks);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /* Binds the port and starts to serve. Returns the port, or 0 if it cannot be bound. */
  std::uint16_t Start();

  /* Closes the listening socket and waits for the requests in progress. */
  void Stop();

  /* Returns the served routes. Start() registers them. */
  const std::vector<AdminRoute>& routes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail

#endif
