/* Stand-ins for the table service, the host list and the weight store. */
#include "standin/standin.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <thread>

namespace standin {

namespace {

using Clock = std::chrono::steady_clock;

/* Limits the rate of calls by letting each one wait. Calls after an idle time may start at once, as
 * many as belong to 100 ms. */
class RateLimit
{
public:
  explicit RateLimit(int aPerSecond)
    : mInterval(std::chrono::microseconds{ 1'000'000 / std::max(1, aPerSecond) })
  {
  }
  void Wait()
  {
    Clock::time_point startTime;
    {
      const std::lock_guard lock(mMutex);
      startTime = std::max(mNextStart, Clock::now() - std::chrono::milliseconds{ 100 });
      mNextStart = startTime + mInterval;
    }
    std::this_thread::sleep_until(startTime);
  }

private:
  const Clock::duration mInterval;
  std::mutex mMutex;
  Clock::time_point mNextStart{};
};

struct TableRow
{
  std::uint64_t version = 0;
  std::string value;
};

/* The rows of the table service. */
class Table
{
public:
  /* Returns a row. A row that does not exist has version 0 and no value. */
  json RowAsJson(const std::string& aKey) const
  {
    const auto found = mRows.find(aKey);
    if (found == mRows.end()) {
      return { { "key", aKey }, { "version", 0 } };
    }
    return { { "key", aKey },
             { "version", found->second.version },
             { "value", found->second.value } };
  }

  /* Executes a transaction. Returns the HTTP status and the body of the answer. */
  std::pair<int, json> Commit(const json& aBody)
  {
    const std::lock_guard lock(mMutex);
    json unmetRows = json::array();
    for (const json& condition : aBody.at("conditions")) {
      const json row = RowAsJson(condition.at("key"));
      if (row["version"] != condition.at("version")) {
        unmetRows.push_back(row);
      }
    }
    if (!unmetRows.empty()) {
      return { 409, { { "rows", unmetRows } } };
    }
    json writtenRows = json::array();
    for (const json& write : aBody.at("writes")) {
      const std::string key = write.at("key");
      if (write.contains("value")) {
        mRows[key] = { ++mLastVersion, write["value"] };
      } else {
        mRows.erase(key);
      }
      writtenRows.push_back(RowAsJson(key));
    }
    return { 200, { { "rows", writtenRows } } };
  }

  json Read(const json& aKeys) const
  {
    const std::lock_guard lock(mMutex);
    json rows = json::array();
    for (const json& key : aKeys) {
      rows.push_back(RowAsJson(key));
    }
    return { { "rows", rows } };
  }

private:
  mutable std::mutex mMutex;
  std::map<std::string, TableRow> mRows;
  std::uint64_t mLastVersion = 0;
};

/* The host list. A change becomes visible after a fixed delay. */
class HostList
{
public:
  explicit HostList(int aLagMs)
    : mDelay(aLagMs)
  {
  }

  void QueueChange(const json& aHost, bool aIsRemoved)
  {
    const std::lock_guard lock(mMutex);
    mChanges.push_back({ Clock::now() + mDelay, aHost, aIsRemoved });
  }

  json VisibleHosts()
  {
    const std::lock_guard lock(mMutex);
    while (!mChanges.empty() && mChanges.front().visibleAt <= Clock::now()) {
      const std::string id = mChanges.front().host.at("id");
      if (mChanges.front().isRemoved) {
        mHosts.erase(id);
      } else {
        mHosts[id] = mChanges.front().host;
      }
      mChanges.pop_front();
    }
    json hosts = json::array();
    for (const auto& [id, host] : mHosts) {
      hosts.push_back(host);
    }
    return { { "hosts", hosts } };
  }

private:
  struct PendingChange
  {
    Clock::time_point visibleAt;
    json host;
    bool isRemoved = false;
  };
  const std::chrono::milliseconds mDelay;
  std::mutex mMutex;
  std::deque<PendingChange> mChanges;
  std::map<std::string, json> mHosts;
};

/* The weight store. A call of Load() returns after the time that the load takes. If more loads are
 * in progress than the store has slots, a new load takes longer in proportion. */
class WeightStore
{
public:
  void Load(long aMb, const Options& aOptions, long aSlowFactor)
  {
    const int inFlight = ++mInFlight;
    const double slowdown =
      std::max(1.0, static_cast<double>(inFlight) / std::max(1, aOptions.storeSlots));
    const double seconds = static_cast<double>(aMb) / aOptions.storeMbPerSecond * slowdown *
                           static_cast<double>(std::max(1L, aSlowFactor));
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    --mInFlight;
  }

private:
  std::atomic<int> mInFlight{ 0 };
};

struct Platform
{
  explicit Platform(const Options& aOptions)
    : writes(aOptions.writesPerSecond)
    , reads(aOptions.readsPerSecond)
    , hosts(aOptions.hostLagMs)
    , options(aOptions)
  {
  }
  Table table;
  RateLimit writes;
  RateLimit reads;
  HostList hosts;
  WeightStore store;
  Options options;
};

/* Applies the faults that all table calls have in common. Returns whether the call is refused. */
bool ApplyTableFaults(Server& aServer, httplib::Response& aResponse)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ aServer.faults.Value("table_slow_ms") });
  if (aServer.faults.Value("table_down") != 0) {
    aResponse.status = 503;
    return true;
  }
  return false;
}

} // namespace

void AddPlatformRoutes(Server& aServer, const Options& aOptions)
{
  const auto platform = std::make_shared<Platform>(aOptions);
  Server* server = &aServer;
  aServer.http.Post(
    "/table/transaction", [=](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (ApplyTableFaults(*server, aResponse)) {
        return;
      }
      platform->writes.Wait();
      const auto [status, body] = platform->table.Commit(json::parse(aRequest.body));
      if (server->faults.Consume("table_lose_answers")) {
        LoseAnswer(aResponse);
        return;
      }
      aResponse.status = status;
      aResponse.set_content(body.dump(), "application/json");
    });
  aServer.http.Post(
    "/table/read", [=](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (ApplyTableFaults(*server, aResponse)) {
        return;
      }
      platform->reads.Wait();
      aResponse.set_content(platform->table.Read(json::parse(aRequest.body).at("keys")).dump(),
                            "application/json");
    });
  aServer.http.Get("/hosts", [=](const httplib::Request&, httplib::Response& aResponse) {
    aResponse.set_content(platform->hosts.VisibleHosts().dump(), "application/json");
  });
  aServer.http.Post("/admin/hosts", [=](const httplib::Request& aRequest, httplib::Response&) {
    const json body = json::parse(aRequest.body);
    for (const json& host : body.value("set", json::array())) {
      platform->hosts.QueueChange(host, false);
    }
    for (const json& id : body.value("remove", json::array())) {
      platform->hosts.QueueChange({ { "id", id } }, true);
    }
  });
  aServer.http.Post("/store/load", [=](const httplib::Request& aRequest, httplib::Response&) {
    platform->store.Load(json::parse(aRequest.body).at("mb"),
                         platform->options,
                         server->faults.Value("store_slow_factor"));
  });
}

} // namespace standin
