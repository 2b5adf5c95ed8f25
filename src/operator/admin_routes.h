/* The calls of the administration API, and who may make them. */
#ifndef RHUBARBTRAIL_OPERATOR_ADMIN_ROUTES_H
#define RHUBARBTRAIL_OPERATOR_ADMIN_ROUTES_H

#include "operator/operator_keys.h"

#include <optional>
#include <string>

namespace rhubarbtrail {

/* One call of the administration API. */
struct AdminRoute
{
  std::string method;
  std::string path;
  std::optional<OperatorRole> role; ///< The least role; nothing means that no key is needed.
};

} // namespace rhubarbtrail

#endif
