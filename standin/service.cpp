/* Stand-in for a plain service, such as a ledger or a booking application. It answers every GET,
 * POST, PUT and DELETE with its id and the number of the run, and records each run in the journal.
 * After POST /admin/leave it refuses them with status 503. */
#include "standin/standin.h"

#include <memory>
#include <thread>

namespace standin {

void AddServiceRoutes(Server& aServer, const Options& aOptions)
{
  Server* server = &aServer;
  const auto runCount = std::make_shared<std::atomic<int>>(0);
  const auto isLeaving = std::make_shared<std::atomic<bool>>(false);
  const auto handleRequest = [=](const httplib::Request& aRequest, httplib::Response& aResponse) {
    aResponse.set_header("X-Request-Id", aRequest.get_header_value("X-Request-Id"));
    if (*isLeaving) {
      server->journal.Add({ { "what", "refused" }, { "why", "leaving" } });
      aResponse.status = 503;
      aResponse.set_header("X-Refusal", "leaving");
      return;
    }
    const int runNumber = ++*runCount;
    server->journal.Add({ { "what", "run" },
                          { "method", aRequest.method },
                          { "path", aRequest.path },
                          { "key", aRequest.get_header_value("Idempotency-Key") },
                          { "request", aRequest.get_header_value("X-Request-Id") } });
    std::this_thread::sleep_for(std::chrono::milliseconds{ server->faults.Value("slow_ms") });
    aResponse.set_content(
      json{ { "endpoint", aOptions.id }, { "number", runNumber }, { "done", true } }.dump(),
      "application/json");
    if (server->faults.Consume("lose_answers")) {
      LoseAnswer(aResponse);
    }
    if (server->faults.Consume("crash")) {
      std::_Exit(70);
    }
  };
  aServer.http.Post("/admin/leave",
                    [=](const httplib::Request&, httplib::Response&) { *isLeaving = true; });
  aServer.http.Get(R"(/.*)", handleRequest);
  aServer.http.Post(R"(/.*)", handleRequest);
  aServer.http.Put(R"(/.*)", handleRequest);
  aServer.http.Delete(R"(/.*)", handleRequest);
}

} // namespace standin
