/* Open-loop load generator: the start times of all requests are planned in advance, and slow
 * answers do not change them. */
#include "load/load_run.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace rhubarbtrail {

namespace {

using Clock = std::chrono::steady_clock;

/* Limit of the requests of one group in progress. Further requests wait, and the wait counts in
 * their latency. */
constexpr std::size_t kMaxWorkersPerGroup = 512;
/* Longest wait for the next bytes of an answer. */
constexpr std::chrono::seconds kReadTimeout{ 120 };
constexpr std::chrono::seconds kProgressInterval{ 1 };

double SecondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double>(Clock::now() - aStart).count();
}

RequestOutcome Send(const LoadGroup& aGroup,
                    const PlannedRequest& aPlanned,
                    const std::string& aAddress,
                    Clock::time_point aPlannedStart)
{
  httplib::Client client("http://" + aAddress);
  client.set_read_timeout(kReadTimeout);
  RequestOutcome outcome{ .group = aPlanned.group };
  const nlohmann::json body{
    { "model", aPlanned.model },
    { "messages", { { { "role", "user" }, { "content", "hello" } } } },
    { "max_tokens", aGroup.maxTokens },
    { "stream", aGroup.isStreaming },
  };
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = { { "Authorization", "Bearer " + aGroup.key },
                      { "Content-Type", "application/json" } };
  request.body = body.dump();
  request.content_receiver = [&](const char*, std::size_t, std::uint64_t, std::uint64_t) {
    if (outcome.firstByteSeconds == 0) {
      outcome.firstByteSeconds = SecondsSince(aPlannedStart);
    }
    return true;
  };
  const auto result = client.send(request);
  outcome.status = result ? result->status : 0;
  outcome.totalSeconds = SecondsSince(aPlannedStart);
  return outcome;
}

} // namespace

std::vector<RequestOutcome> RunScenario(const Scenario& aScenario,
                                        const std::vector<std::string>& aDaemonAddresses)
{
  const auto plan = PlanRequests(aScenario, aDaemonAddresses.size());
  std::vector<RequestOutcome> outcomes(plan.size());
  std::atomic<std::size_t> endedCount = 0;
  // The delay leaves time to start the worker threads.
  const Clock::time_point start = Clock::now() + std::chrono::milliseconds{ 200 };
  // Each group has its own workers, so that the many requests of one group do not delay those of
  // another.
  std::vector<std::vector<std::size_t>> requestsByGroup(aScenario.groups.size());
  for (std::size_t i = 0; i < plan.size(); ++i) {
    requestsByGroup[plan[i].group].push_back(i);
  }
  std::vector<std::atomic<std::size_t>> nextInGroup(requestsByGroup.size());
  const auto sendRequestsOf = [&](std::size_t aGroup) {
    const std::vector<std::size_t>& indices = requestsByGroup[aGroup];
    for (std::size_t position = nextInGroup[aGroup]++; position < indices.size();
         position = nextInGroup[aGroup]++) {
      const PlannedRequest& planned = plan[indices[position]];
      const Clock::time_point plannedStart = start + planned.plannedStart;
      std::this_thread::sleep_until(plannedStart);
      outcomes[indices[position]] =
        Send(aScenario.groups[aGroup], planned, aDaemonAddresses[planned.daemon], plannedStart);
      ++endedCount;
    }
  };
  std::vector<std::jthread> workers;
  for (std::size_t group = 0; group < requestsByGroup.size(); ++group) {
    for (std::size_t i = 0; i < std::min(requestsByGroup[group].size(), kMaxWorkersPerGroup); ++i) {
      workers.emplace_back(sendRequestsOf, group);
    }
  }
  while (endedCount < plan.size()) {
    std::this_thread::sleep_for(kProgressInterval);
    std::fprintf(stderr, "%zu of %zu requests answered\n", endedCount.load(), plan.size());
  }
  return outcomes;
}

} // namespace rhubarbtrail
