/* Small stand-ins for the platform, for model engines and for plain services. Tests, the demo and
 * the benchmarks use them. They are never installed. */
#ifndef RHUBARBTRAIL_STANDIN_STANDIN_H
#define RHUBARBTRAIL_STANDIN_STANDIN_H

#include <atomic>
#include <chrono>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace standin {

using nlohmann::json;

/* Command line options of all roles. Each role reads only its own. */
struct Options
{
  std::string role;
  std::string id;
  std::string addressFile;
  std::string platform; ///< host:port of the platform stand-in, from which an engine loads weights.
  bool checksFence = true;    ///< Whether an engine rejects orders with an outdated fencing token.
  long memoryMb = 80'000;     ///< Accelerator memory of an engine.
  int slots = 16;             ///< Maximum number of requests that an engine runs at the same time.
  int tokenMs = 5;            ///< Time that an engine takes for a token.
  int writesPerSecond = 400;  ///< Maximum rate of table transactions.
  int readsPerSecond = 2'000; ///< Maximum rate of table reads.
  int storeMbPerSecond = 20'000; ///< Speed of a load from the weight store at full speed.
  int storeSlots = 4; ///< Number of concurrent loads that the weight store serves at full speed.
  int hostLagMs = 0;  ///< Delay after which a change of the host list becomes visible.
};

/* Faults that POST /admin/fault sets. Each has a name and a number, and 0 switches it off. The
 * number is a parameter of the fault, or says how many more times it occurs. */
class Faults
{
public:
  void Set(const std::string& aName, long aValue)
  {
    const std::lock_guard lock(mMutex);
    mValues[aName] = aValue;
  }
  long Value(const std::string& aName) const
  {
    const std::lock_guard lock(mMutex);
    const auto found = mValues.find(aName);
    return found == mValues.end() ? 0 : found->second;
  }
  /* Uses up one occurrence of a counted fault. Returns false if none is left. */
  bool Consume(const std::string& aName)
  {
    const std::lock_guard lock(mMutex);
    long& value = mValues[aName];
    if (value <= 0) {
      return false;
    }
    --value;
    return true;
  }

private:
  mutable std::mutex mMutex;
  std::map<std::string, long> mValues;
};

/* Records what happened, in order. Tests read it with GET /journal. */
class Journal
{
public:
  void Add(json aEntry)
  {
    const std::lock_guard lock(mMutex);
    aEntry["at_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::steady_clock::now().time_since_epoch())
                        .count();
    mEntries.push_back(std::move(aEntry));
  }
  json Entries() const
  {
    const std::lock_guard lock(mMutex);
    return mEntries;
  }

private:
  mutable std::mutex mMutex;
  json mEntries = json::array();
};

/* The HTTP server of a stand-in, with its faults and its journal. */
struct Server
{
  httplib::Server http;
  Faults faults;
  Journal journal;

  /* Adds the routes for faults, journal and health check. */
  void AddAdminRoutes();
};

/* Makes the server close the connection after the header, without the announced body, so that the
 * caller gets no complete answer. */
void LoseAnswer(httplib::Response& aResponse);

/* Add the routes of a role to the server. */
void AddPlatformRoutes(Server& aServer, const Options& aOptions);
void AddEngineRoutes(Server& aServer, const Options& aOptions);
void AddServiceRoutes(Server& aServer, const Options& aOptions);

} // namespace standin

#endif
