/* The administration API. */
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
  std::uint16_t port = 0;
  std::uint64_t bodyLimit = 8U << 20U; ///< Bytes.
  std::vector<OperatorKey> keys;
};

/* What the administration API needs of the daemon. */
struct AdminHooks
{
  std::function<std::vector<DumpEntry>()> dump;
  std::function<std::string()> metrics;
  std::function<void(ConfigurationRow)> accepted; ///< A version was accepted here.
  std::function<void()> drain;
  std::function<void(FingerprintId)> release; ///< Takes a request out of quarantine everywhere.
};

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

  /* Binds and starts to serve; returns the port, or 0 when it cannot be bound. */
  std::uint16_t Start();
  void Stop();

  /* Returns the calls that are served. */
  const std::vector<AdminRoute>& routes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rhubarbtrail

#endif
