/* Runs one stand-in: platform, engine or service. */
#include "standin/standin.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <fstream>
#include <thread>

namespace standin {

void Server::AddAdmin()
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
    aResponse.set_content(journal.All().dump(), "application/json");
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
  CLI::App app{ "A stand-in for the platform's side." };
  app.add_option("role", options.role, "platform, engine or service")->required();
  app.add_option("--id", options.id, "Name of the endpoint");
  app.add_option("--address-file", options.addressFile, "Receives host:port")->required();
  app.add_option("--platform", options.platform, "host:port of the platform stand-in");
  app.add_option("--checks-fence", options.checksFence, "Refuse orders with an old number");
  app.add_option("--memory-mb", options.memoryMb, "Accelerator memory");
  app.add_option("--slots", options.slots, "Requests in a batch");
  app.add_option("--token-ms", options.tokenMs, "Time of a token");
  app.add_option("--writes", options.writesPerSecond, "Table writes a second");
  app.add_option("--reads", options.readsPerSecond, "Table reads a second");
  app.add_option("--store-mb", options.storeMbPerSecond, "Store MB a second for one load");
  app.add_option("--store-slots", options.storeSlots, "Loads at full speed");
  app.add_option("--host-lag-ms", options.hostLagMs, "Lag of the host list");
  CLI11_PARSE(app, aArgc, aArgv);

  standin::Server server;
  server.http.new_task_queue = [] { return new httplib::ThreadPool(192); };
  server.http.set_tcp_nodelay(true);
  server.http.set_keep_alive_max_count(1'000'000);
  server.AddAdmin();
  if (options.role == "platform") {
    standin::AddPlatform(server, options);
  } else if (options.role == "engine") {
    standin::AddEngine(server, options);
  } else {
    standin::AddService(server, options);
  }
  int listener = -1;
  server.http.set_socket_options([&listener](int aSocket) { listener = aSocket; });
  const int port = server.http.bind_to_any_port("127.0.0.1");
  listen(listener, 1'024); // The library asks for 5, which drops bursts of connections.
  const std::string partial = options.addressFile + ".partial";
  std::ofstream(partial) << "127.0.0.1:" << port << "\n";
  std::rename(partial.c_str(), options.addressFile.c_str());
  return server.http.listen_after_bind() ? 0 : 1;
}
