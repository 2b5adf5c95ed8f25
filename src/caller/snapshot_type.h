/* What request threads read without locks: the configuration, an index of its API keys, and the
 * readiness of the daemon. */
#ifndef RHUBARBTRAIL_CALLER_SNAPSHOT_TYPE_H
#define RHUBARBTRAIL_CALLER_SNAPSHOT_TYPE_H

#include "decision/action_type.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace rhubarbtrail {

struct Snapshot
{
  std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
  /* The customers by the SHA-256 of their API key, in hex. */
  std::unordered_map<std::string, CustomerId> customersByKeyHash;
  Readiness readiness = Readiness::kStarting;
};

} // namespace rhubarbtrail

#endif
