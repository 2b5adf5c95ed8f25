/* Remembers where streams began, so that they are resumed only at a runner of the same service with
 * the same software version. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_STREAM_ORIGINS_H
#define RHUBARBTRAIL_DECISION_FLEET_STREAM_ORIGINS_H

#include "core/id_type.h"
#include "core/unit_type.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rhubarbtrail::fleet {

/* Time for which a client may still resume a stream. It exceeds the deadlines of clients. */
constexpr Duration kStreamRetention = 120s;

/* The service and the software version of the runner that sent a stream's first event. Versions of
 * one service write streams that do not fit together, and runners do not check this. */
struct StreamOrigin
{
  ServiceId service;
  SoftwareVersion version;

  bool operator==(const StreamOrigin&) const = default;
};

/* Software versions by service. */
using VersionsByService = std::map<ServiceId, std::set<SoftwareVersion>>;

/* Identifies a stream: a hash of the id of the client's request that brought its first event. */
struct StreamKey
{
  std::uint64_t value = 0;

  auto operator<=>(const StreamKey&) const = default;
  bool operator==(const StreamKey&) const = default;
};

StreamKey StreamKeyOf(std::string_view aRequestId);

/* A stream that has begun, with its origin. */
struct BegunStream
{
  StreamKey key;
  StreamOrigin origin;
};

/* The origins of streams that began within kStreamRetention. */
class StreamOrigins
{
public:
  /* aCapacity is the largest number of streams to keep. The oldest ones are dropped first. */
  explicit StreamOrigins(std::size_t aCapacity = 200'000)
    : mCapacity(aCapacity)
  {
  }

  void Record(TimePoint aNow, const BegunStream& aStream);
  std::optional<StreamOrigin> Find(TimePoint aNow, StreamKey aKey) const;
  std::vector<BegunStream> streams(TimePoint aNow) const;

private:
  struct Entry
  {
    StreamOrigin origin;
    TimePoint recordedAt{};
  };

  void DropOld(TimePoint aNow);

  std::size_t mCapacity;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  /* When each entry was recorded, oldest first. A key that was recorded again is in it twice. */
  std::deque<std::pair<TimePoint, StreamKey>> mByAge;
};

} // namespace rhubarbtrail::fleet

#endif
