/* Plain HTTP calls with time limits. */
#ifndef RHUBARBTRAIL_CORE_HTTP_CLIENT_FUNC_H
#define RHUBARBTRAIL_CORE_HTTP_CLIENT_FUNC_H

#include "core/unit_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbtrail {

enum class HttpOutcome : std::uint8_t
{
  kAnswered,
  kNotConnected, ///< No byte of the request can have left.
  kLost,         ///< The request may have arrived; there is no whole answer.
};

struct HttpCall
{
  std::string address; ///< host:port
  std::string method = "GET";
  std::string path = "/";
  std::string body;
  std::string contentType = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  Duration timeout = 2s;
};

struct HttpAnswer
{
  HttpOutcome outcome = HttpOutcome::kLost;
  int status = 0;
  std::string body;
  bool isRefused = false; ///< With kNotConnected: the host answered that nobody listens there.
};

/* Makes one call. A thread keeps its connections open for its next calls; a connection that
 * timed out is closed, since it may have gone silent for good. */
HttpAnswer CallHttp(const HttpCall& aCall);

} // namespace rhubarbtrail

#endif
