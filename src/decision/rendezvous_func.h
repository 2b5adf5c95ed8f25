/* Rendezvous hashing: every daemon ranks the same candidates alike, without agreement. */
#ifndef RHUBARBTRAIL_DECISION_RENDEZVOUS_FUNC_H
#define RHUBARBTRAIL_DECISION_RENDEZVOUS_FUNC_H

#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarbtrail {

/* Returns the weight of a candidate for a key; the highest weight goes first. */
std::uint64_t RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

} // namespace rhubarbtrail

#endif
