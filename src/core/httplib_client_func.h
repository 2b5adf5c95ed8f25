/* Blocking HTTP calls with time limits, on cpp-httplib. The event-driven client is in
 * http/http_client.h. */
#ifndef RHUBARBTRAIL_CORE_HTTPLIB_CLIENT_FUNC_H
#define RHUBARBTRAIL_CORE_HTTPLIB_CLIENT_FUNC_H

#include "core/unit_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbtrail {

enum class HttplibOutcome : std::uint8_t
{
  kAnswered,
  kNotConnected, ///< No connection could be opened, so no byte of the request was sent.
  kLost,         ///< The request may have arrived, but no complete answer was received.
};

struct HttplibCall
{
  std::string address; ///< host:port
  std::string method = "GET";
  std::string path = "/";
  std::string body;
  std::string contentType = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  Duration timeout = 2s; ///< For the connect, and for each read and each write.
};

struct HttplibAnswer
{
  HttplibOutcome outcome = HttplibOutcome::kLost;
  int status = 0;
  std::string body;
  /* With kNotConnected: the host refused the connection, because no process listens on the port. */
  bool isConnectionRefused = false;
};

/* Sends a request and waits for the answer. Each thread keeps its connections open for later calls.
 * After a failed call its connection is closed, because a connection that timed out may never
 * answer again. */
HttplibAnswer SendHttplibCall(const HttplibCall& aCall);

} // namespace rhubarbtrail

#endif
