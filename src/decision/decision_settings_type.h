/* Settings of the decision library, and the mechanisms that tests can disable. */
#ifndef RHUBARBTRAIL_DECISION_DECISION_SETTINGS_TYPE_H
#define RHUBARBTRAIL_DECISION_DECISION_SETTINGS_TYPE_H

#include "core/unit_type.h"

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace rhubarbtrail {

struct DecisionSettings
{
  /* Validity of a cell's lease, counted from the sending of its last renewal. Another daemon takes
   * the lease over when it has seen the row unchanged for a quarter longer than this, because its
   * clock may run faster than the holder's. */
  Duration leaseLength = 6s;
  Duration leaseRenewal = 2s; ///< Interval between renewals of a held lease.
  /* Maximum delivery time of an order. A runner that does not check the fencing token gets no order
   * that could arrive after the end of the lease. */
  Duration orderFlight = 2s;
  Duration heartbeatInterval = 1s; ///< Interval between heartbeats to another daemon.
  /* The configuration counts as stale unless the table or a majority of the daemons confirmed
   * within this time that there is no newer version. */
  Duration freshnessLimit = 3500ms;
  Duration configurationPoll = 1s; ///< Interval between reads of the row of the newest version.
  Duration memberTimeout = 4s;     ///< Time without a message after which a daemon is unreachable.
  /* Interval between demands for the same artifact, and between repeats of an isolation request. */
  Duration demandInterval = 500ms;
  Duration replicaLifetime = 10s;   ///< Validity of the replica locations in a demand reply.
  Duration orderRetryDelay = 500ms; ///< Delay before a failed or unanswered order is repeated.
  Duration progressLimit = 3s;      ///< Maximum time without bytes during an attempt.
  Duration tableRetryDelay = 500ms; ///< Delay before a failed table call is repeated.
  /* Time for which a quarantined request is refused, and for which a suspect remains marked. */
  Duration quarantineLength = 600s;
  /* Number of runners on which a model may be loaded while the table is unreachable, so that the
   * placement row cannot be written. Only runners that check the fencing token are used then. */
  std::uint32_t candidateRunners = 4;
  /* Maximum number of attempts of a request that may have run. Refused attempts do not count. */
  std::uint32_t attemptLimit = 4;
  std::uint32_t queueLimit = 4'096; ///< Requests that one daemon holds, waiting or in flight.
  std::uint32_t claimBatch = 64;    ///< Maximum number of claims in one transaction.
  double retryBudgetRatio = 0.2;    ///< Retries that each first attempt adds to a retry budget.
  double retryBudgetBurst = 10.0;   ///< Maximum number of retries in a retry budget.
};

/* Safeguards of the decision library. Tests disable one to show that they detect the fault that it
 * prevents. */
enum class Mechanism : std::uint8_t
{
  /* A new lease holder uses a runner only after it has received an inventory from it. */
  kInventoryBeforeUse,
  /* An order is sent only after the placement row records it. Runners that check the fencing token
   * may get some orders earlier while the table is unreachable. */
  kPlacementBeforeOrder,
  /* Memory on a runner that does not check the fencing token stays reserved for an order of a
   * former holder until that holder withdraws the order or is proven dead. */
  kFormerOrderReservation,
  /* A runner that does not check the fencing token gets no order that could arrive after the end of
   * the lease. */
  kLeaseMargin,
  /* A candidate runner that has not answered yet counts as having a replica, because a former
   * holder may have loaded one there while the table was unreachable. */
  kPossibleReplicas,
  kMemoryReservation, ///< Memory is reserved for a replica in any phase, not only when loaded.
  kDrainBeforeUnload, ///< A replica is unloaded only when no router uses it and no request is left.
  kDemandMerging,     ///< Demands load no more replicas of a model than its target number.
  kClaimBeforeSend,   ///< An at-most-once request is claimed before it is sent.
  kFinalOutcomeUnknown, ///< An at-most-once request that may have run is never sent again.
  kDeadlineRefusal,     ///< A request without an answer is refused when its deadline passes.
  kLeavingNotice,       ///< Daemons notify each other when an endpoint reports that it is leaving.
  kFreshnessLimit,      ///< A daemon with a stale configuration accepts no requests.
  kVersionMonotonic,    ///< An older configuration never replaces a newer one.
  kQuarantine,          ///< Suspects run isolated, and requests that crash endpoints are refused.
  kRetryBudget,         ///< Retries are limited to a fraction of the first attempts.
  kShutdownDrain,       ///< A stopping daemon serves its requests to their end.
  kResumeOffset,        ///< A retried stream resumes after the events that the caller has.
  kCount,
};

using MechanismSet = std::bitset<static_cast<std::size_t>(Mechanism::kCount)>;

} // namespace rhubarbtrail

#endif
