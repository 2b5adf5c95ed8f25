/* Measures the latency that a daemon adds to a call of an engine. Sends the same requests to the
 * engine and through the daemon, at the same time and at the same fixed rate. */
#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

struct Options
{
  std::string direct;
  std::string daemon;
  std::string key;
  std::string model = "m0";
  int rate = 500; ///< Requests per second on each path. With 0, a thread sends after each answer.
  int seconds = 10;
  int threads = 32;
};

/* Latencies and failures of one path. */
class Latencies
{
public:
  void Add(Clock::duration aLatency)
  {
    const std::lock_guard lock(mMutex);
    mValues.push_back(std::chrono::duration<double, std::micro>(aLatency).count());
  }
  void AddFailure() { ++mFailures; }

  /* Returns counts and percentiles as JSON. Call it after all requests have ended. */
  nlohmann::json Summary()
  {
    std::sort(mValues.begin(), mValues.end());
    const auto percentile = [this](double aShare) {
      return mValues.empty() ? 0.0
                             : mValues[static_cast<std::size_t>(
                                 aShare * static_cast<double>(mValues.size() - 1))];
    };
    return { { "count", mValues.size() },    { "failures", mFailures.load() },
             { "p50_us", percentile(0.5) },  { "p90_us", percentile(0.9) },
             { "p99_us", percentile(0.99) }, { "max_us", percentile(1.0) } };
  }

private:
  std::mutex mMutex;
  std::vector<double> mValues;
  std::atomic<int> mFailures{ 0 };
};

void Send(httplib::Client& aClient, const Options& aOptions, Latencies& aLatencies)
{
  const std::string body = nlohmann::json{
    { "model", aOptions.model },
    { "max_tokens", 1 },
    { "messages", { { { "role", "user" }, { "content", "hello" } } } }
  }.dump();
  const httplib::Headers headers{ { "Authorization", "Bearer " + aOptions.key } };
  const auto started = Clock::now();
  const auto result = aClient.Post("/v1/chat/completions", headers, body, "application/json");
  if (result && result->status == 200) {
    aLatencies.Add(Clock::now() - started);
  } else {
    aLatencies.AddFailure();
  }
}

/* Sends requests on one path. Each thread has one connection and takes the next send time of a
 * schedule that all threads share. The latency of a request counts from its sending, which is after
 * its send time if all threads were busy then. */
void SendRequests(const Options& aOptions, const std::string& aAddress, Latencies& aLatencies)
{
  const auto start = Clock::now() + std::chrono::milliseconds{ 200 };
  const auto end = start + std::chrono::seconds{ aOptions.seconds };
  std::atomic<int> nextSendIndex{ 0 };
  const auto sendOnSchedule = [&] {
    httplib::Client client("http://" + aAddress);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    while (true) {
      const auto sendTime = aOptions.rate == 0
                              ? Clock::now()
                              : start + std::chrono::seconds{ 1 } * nextSendIndex++ / aOptions.rate;
      if (sendTime >= end) {
        return;
      }
      std::this_thread::sleep_until(sendTime);
      Send(client, aOptions, aLatencies);
    }
  };
  std::vector<std::thread> threads;
  for (int index = 0; index < aOptions.threads; ++index) {
    threads.emplace_back(sendOnSchedule);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

} // namespace

int main(int aArgc, char** aArgv)
{
  Options options;
  CLI::App app{ "Measures the latency that a daemon adds to a call of an engine." };
  app.add_option(
    "--direct", options.direct, "host:port of the engine; if empty, only the daemon is called");
  app.add_option("--daemon", options.daemon, "host:port of the daemon")->required();
  app.add_option("--key", options.key, "API key of a customer")->required();
  app.add_option("--model", options.model, "Model of the requests; it must be loaded");
  app.add_option("--rate",
                 options.rate,
                 "Requests per second on each path; with 0, each thread sends after each answer");
  app.add_option("--seconds", options.seconds, "Duration of the run in seconds");
  app.add_option("--threads", options.threads, "Threads on each path, with one connection each");
  CLI11_PARSE(app, aArgc, aArgv);

  Latencies direct;
  Latencies daemon;
  std::thread directThread;
  if (!options.direct.empty()) {
    directThread = std::thread([&] { SendRequests(options, options.direct, direct); });
  }
  SendRequests(options, options.daemon, daemon);
  if (directThread.joinable()) {
    directThread.join();
  }
  std::cout << nlohmann::json{
    { "direct", direct.Summary() }, { "daemon", daemon.Summary() }
  }.dump() << "\n";
  return 0;
}
