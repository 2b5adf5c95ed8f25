/* Small stand-ins for the platform's side: for tests and the demo only, never installed. */
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

/* Options that the command line gives; each role reads its own. */
struct Options
{
  std::string role;
  std::string id;
  std::string addressFile;
  std::string platform; ///< host:port of the platform stand-in, for loads.
  bool checksFence = true;
  long memoryMb = 80'000;
  int slots = 16;
  int tokenMs = 5;
  int writesPerSecond = 400;
  int readsPerSecond = 2'000;
  int storeMbPerSecond = 20'000;
  int storeSlots = 4;
  int hostLagMs = 0;
};

/* Faults that POST /admin/fault switches on: a name and a number, 0 for off. */
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
  /* Takes one from a counted fault; false when none is left. */
  bool Take(const std::string& aName)
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

/* What happened, in order; tests judge by it. */
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
  json All() const
  {
    const std::lock_guard lock(mMutex);
    return mEntries;
  }

private:
  mutable std::mutex mMutex;
  json mEntries = json::array();
};

/* A stand-in's server with its faults and its journal. */
struct Server
{
  httplib::Server http;
  Faults faults;
  Journal journal;

  /* Adds the calls for faults, journal and health. */
  void AddAdmin();
};

/* Answers and closes before the whole answer is out, as if the answer were lost. */
void LoseAnswer(httplib::Response& aResponse);

void AddPlatform(Server& aServer, const Options& aOptions);
void AddEngine(Server& aServer, const Options& aOptions);
void AddService(Server& aServer, const Options& aOptions);

} // namespace standin

#endif
