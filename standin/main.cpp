/* Runs a stand-in for the platform, a model engine or a plain service. */
#include "standin/standin.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <fstream>
#include <thread>

namespace standin {

void Server::AddAdminRoutes()
{
  http.Get("/health", [](const httplib::Request&, httplib::Response& aResponse) {
    aResponse.set_content("ok", "text/plain");
  });
  http.Post("/admin/fault", [this](const httplib::Request& aRequest, httplib::Response&) {
    const json body = json::parse(aRequest.body);
    for (const auto& [name, value] : body.items()) {
      faults.Set(name, value.get<long>());
    }
  });
  http.Get("/journal", [this](const httplib::Request&, httplib::Response& aResponse) {
    aResponse.set_content(journal.Entries().dump(), "application/json");
  });
}

void LoseAnswer(httplib::Response& aResponse)
{
  aResponse.body.clear();
  aResponse.set_content_provider(
    1'000, "application/json", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

} // namespace standin

int main(int aArgc, char** aArgv)
{
  standin::Options options;
  CLI::App app{ "Runs a stand-in for the platform, a model engine or a plain service." };
  app.add_option("role", options.role, "platform, engine or service")->required();
  app.add_option("--id", options.id, "Id of the endpoint");
  app
    .add_option(
      "--address-file", options.addressFile, "File to which the listening host:port is written")
    ->required();
  app.add_option("--platform", options.platform, "host:port of the platform stand-in, for loads");
  app.add_option(
    "--checks-fence", options.checksFence, "Reject orders with an outdated fencing token");
  app.add_option("--memory-mb", options.memoryMb, "Accelerator memory in MB");
  app.add_option("--slots", options.slots, "Maximum number of requests that run at the same time");
  app.add_option("--token-ms", options.tokenMs, "Time that a token takes, in milliseconds");
  app.add_option("--writes", options.writesPerSecond, "Maximum table transactions per second");
  app.add_option("--reads", options.readsPerSecond, "Maximum table reads per second");
  app.add_option(
    "--store-mb", options.storeMbPerSecond, "MB per second of a weight store load at full speed");
  app.add_option("--store-slots",
                 options.storeSlots,
                 "Concurrent loads that the weight store serves at full speed");
  app.add_option(
    "--host-lag-ms", options.hostLagMs, "Delay of changes to the host list, in milliseconds");
  CLI11_PARSE(app, aArgc, aArgv);

  standin::Server server;
  server.http.new_task_queue = [] { return new httplib::ThreadPool(192); };
  server.http.set_tcp_nodelay(true);
  server.http.set_keep_alive_max_count(1'000'000);
  server.AddAdminRoutes();
  if (options.role == "platform") {
    standin::AddPlatformRoutes(server, options);
  } else if (options.role == "engine") {
    standin::AddEngineRoutes(server, options);
  } else {
    standin::AddServiceRoutes(server, options);
  }
  int listeningSocket = -1;
  server.http.set_socket_options([&listeningSocket](int aSocket) { listeningSocket = aSocket; });
  const int port = server.http.bind_to_any_port("127.0.0.1");
  listen(listeningSocket,
         1'024); // The library's backlog of 5 drops connections that arrive in bursts.
  // The file is renamed when it is complete, so that nobody reads a part of the address.
  const std::string partialFile = options.addressFile + ".partial";
  std::ofstream(partialFile) << "127.0.0.1:" << port << "\n";
  std::rename(partialFile.c_str(), options.addressFile.c_str());
  return server.http.listen_after_bind() ? 0 : 1;
}
