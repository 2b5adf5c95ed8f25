/* Remembers where streams began. */
#include "decision/fleet/stream_origins.h"

#include <xxhash.h>

namespace rhubarbtrail::fleet {

StreamKey StreamKeyOf(std::string_view aRequestId)
{
  return { XXH3_64bits(aRequestId.data(), aRequestId.size()) };
}

void StreamOrigins::Record(TimePoint aNow, const BegunStream& aStream)
{
  mEntries.insert_or_assign(aStream.key.value,
                            Entry{ .origin = aStream.origin, .recordedAt = aNow });
  mByAge.emplace_back(aNow, aStream.key);
  DropOld(aNow);
}

void StreamOrigins::DropOld(TimePoint aNow)
{
  while (!mByAge.empty() &&
         (mByAge.size() > mCapacity || aNow - mByAge.front().first > kStreamRetention)) {
    const auto [recordedAt, key] = mByAge.front();
    mByAge.pop_front();
    const auto found = mEntries.find(key.value);
    if (found != mEntries.end() && found->second.recordedAt == recordedAt) {
      mEntries.erase(found);
    }
  }
}

std::optional<StreamOrigin> StreamOrigins::Find(TimePoint aNow, StreamKey aKey) const
{
  const auto found = mEntries.find(aKey.value);
  if (found == mEntries.end() || aNow - found->second.recordedAt > kStreamRetention) {
    return std::nullopt;
  }
  return found->second.origin;
}

std::vector<BegunStream> StreamOrigins::streams(TimePoint aNow) const
{
  std::vector<BegunStream> streams;
  streams.reserve(mEntries.size());
  for (const auto& [key, entry] : mEntries) {
    if (aNow - entry.recordedAt <= kStreamRetention) {
      streams.push_back({ .key = { key }, .origin = entry.origin });
    }
  }
  return streams;
}

} // namespace rhubarbtrail::fleet
