/* Chooses among the endpoints of a plain service that state how slow they are. */
#include "decision/fleet/endpoint_choice.h"

#include "decision/rendezvous_func.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbtrail::fleet {

namespace {

/* Endpoints in a sample. With three endpoints and two of them sampled, the best one gets at most
 * two thirds of the requests, however old the reports are. */
constexpr std::size_t kSampleSize = 2;
/* Time that each share of the slots in use adds. It keeps endpoints balanced below their slots,
 * where a request does not wait. */
constexpr double kSharingCost = 0.25;
/* Time of the round trip to another zone, which decides between equally good endpoints. */
constexpr double kOtherZoneCost = 0.05;

bool IsSecondChoice(const EndpointCandidate& aCandidate)
{
  return aCandidate.isLimited || aCandidate.isBeyondWindow;
}

/* Returns the candidates that the choice is among: those that are not avoided, if there are any,
 * and of these those without a limit on requests and within their windows, if one has a free slot.
 */
std::vector<const EndpointCandidate*> Eligible(std::span<const EndpointCandidate> aCandidates)
{
  const bool areAllAvoided =
    std::all_of(aCandidates.begin(), aCandidates.end(), [](const auto& aCandidate) {
      return aCandidate.isAvoided;
    });
  const auto isAvoided = [&](const EndpointCandidate& aCandidate) {
    return aCandidate.isAvoided && !areAllAvoided;
  };
  const bool hasFreeSlot =
    std::any_of(aCandidates.begin(), aCandidates.end(), [&](const EndpointCandidate& aCandidate) {
      return !isAvoided(aCandidate) && !IsSecondChoice(aCandidate) &&
             aCandidate.requestsAhead < aCandidate.slots;
    });
  std::vector<const EndpointCandidate*> eligible;
  for (const EndpointCandidate& candidate : aCandidates) {
    if (!isAvoided(candidate) && !(IsSecondChoice(candidate) && hasFreeSlot)) {
      eligible.push_back(&candidate);
    }
  }
  return eligible;
}

} // namespace

double ExpectedTime(const EndpointCandidate& aCandidate)
{
  const double use = aCandidate.requestsAhead / std::max<double>(aCandidate.slots, 1.0);
  const double work =
    std::max(1.0, use + 1.0 / std::max<double>(aCandidate.slots, 1.0)) + kSharingCost * use;
  return aCandidate.slowness.factor * work + (aCandidate.isInOtherZone ? kOtherZoneCost : 0.0);
}

const EndpointCandidate* ChooseFromSample(std::span<const EndpointCandidate> aCandidates,
                                          std::uint64_t aSeed)
{
  const std::string seed = std::to_string(aSeed);
  std::vector<std::pair<std::uint64_t, const EndpointCandidate*>> drawn;
  for (const EndpointCandidate* candidate : Eligible(aCandidates)) {
    drawn.emplace_back(RendezvousWeight(seed, candidate->id.str()), candidate);
  }
  std::sort(drawn.begin(), drawn.end(), std::greater{});
  drawn.resize(std::min(drawn.size(), kSampleSize));
  const auto best =
    std::min_element(drawn.begin(), drawn.end(), [](const auto& aLeft, const auto& aRight) {
      return ExpectedTime(*aLeft.second) < ExpectedTime(*aRight.second);
    });
  return best == drawn.end() ? nullptr : best->second;
}

} // namespace rhubarbtrail::fleet
