/* Rendezvous hashing with XXH3, seeded by the hash of the key. */
#include "decision/rendezvous_func.h"

#include <xxhash.h>

namespace rhubarbtrail {

std::uint64_t RendezvousWeight(std::string_view aKey, std::string_view aCandidate)
{
  const std::uint64_t seed = XXH3_64bits(aKey.data(), aKey.size());
  return XXH3_64bits_withSeed(aCandidate.data(), aCandidate.size(), seed);
}

} // namespace rhubarbtrail
