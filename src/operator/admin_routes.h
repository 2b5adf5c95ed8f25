/* A route of the administration API and the operator role that it requires. */
#ifndef RHUBARBTRAIL_OPERATOR_ADMIN_ROUTES_H
#define RHUBARBTRAIL_OPERATOR_ADMIN_ROUTES_H

#include "operator/operator_keys.h"

#include <optional>
#include <string>

namespace rhubarbtrail {

/* An HTTP method and path that the administration API serves. */
struct AdminRoute
{
  std::string method;
  std::string path;
  /* Lowest role that may make the call. Without a value, no key is needed. */
  std::optional<OperatorRole> requiredRole;
};

} // namespace rhubarbtrail

#endif
