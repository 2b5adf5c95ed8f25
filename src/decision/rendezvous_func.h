/* Rendezvous hashing, by which all daemons rank the same candidates in the same order without
 * communication. */
#ifndef RHUBARBTRAIL_DECISION_RENDEZVOUS_FUNC_H
#define RHUBARBTRAIL_DECISION_RENDEZVOUS_FUNC_H

#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarbtrail {

/* Returns the weight of a candidate for a key. Candidates are ranked by descending weight. */
std::uint64_t RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

} // namespace rhubarbtrail

#endif
