/* Blocking HTTP calls on cpp-httplib. */
#include "core/httplib_client_func.h"

#include "core/connect_probe_func.h"

#include <httplib.h>

#include <memory>
#include <unordered_map>

namespace rhubarbtrail {

namespace {

/* Largest number of connections that a thread keeps open. A call to a further address closes them
 * all. */
constexpr std::size_t kMaxConnectionsPerThread = 64;

using ClientMap = std::unordered_map<std::string, std::unique_ptr<httplib::Client>>;

/* Returns the client for an address and creates it if there is none. */
httplib::Client& ClientForAddress(ClientMap& aClients, const std::string& aAddress)
{
  if (aClients.size() >= kMaxConnectionsPerThread && !aClients.contains(aAddress)) {
    aClients.clear();
  }
  auto& client = aClients[aAddress];
  if (client == nullptr) {
    client = std::make_unique<httplib::Client>("http://" + aAddress);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
  }
  return *client;
}

} // namespace

HttplibAnswer SendHttplibCall(const HttplibCall& aCall)
{
  thread_local ClientMap sClients;
  httplib::Client& client = ClientForAddress(sClients, aCall.address);
  client.set_connection_timeout(aCall.timeout);
  client.set_read_timeout(aCall.timeout);
  client.set_write_timeout(aCall.timeout);
  httplib::Request request;
  request.method = aCall.method;
  request.path = aCall.path;
  request.body = aCall.body;
  if (!aCall.body.empty()) {
    request.set_header("Content-Type", aCall.contentType);
  }
  for (const auto& [name, value] : aCall.headers) {
    request.set_header(name, value);
  }
  const httplib::Result result = client.send(request);
  if (result) {
    return { HttplibOutcome::kAnswered, result->status, result->body };
  }
  sClients.erase(aCall.address);
  const bool isUnsent = result.error() == httplib::Error::Connection ||
                        result.error() == httplib::Error::ConnectionTimeout;
  if (!isUnsent) {
    return { HttplibOutcome::kLost, 0, {} };
  }
  return {
    HttplibOutcome::kNotConnected, 0, {}, IsConnectionRefused(aCall.address, aCall.timeout)
  };
}

} // namespace rhubarbtrail
