/* Time limits and bounds of the decisions, and the mechanisms that tests may switch off. */
#ifndef RHUBARBTRAIL_DECISION_DECISION_SETTINGS_TYPE_H
#define RHUBARBTRAIL_DECISION_DECISION_SETTINGS_TYPE_H

#include "core/unit_type.h"

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace rhubarbtrail {

struct DecisionSettings
{
  Duration leaseLength = 6s;        ///< Silence after which a cell's lease may be taken over.
  Duration leaseRenewal = 2s;       ///< Time between renewals.
  Duration orderFlight = 2s;        ///< Longest time that an order can be under way.
  Duration heartbeatInterval = 1s;  ///< Time between heartbeats to another daemon.
  Duration freshnessLimit = 3500ms; ///< Age at which the configuration counts as stale.
  Duration configurationPoll = 1s;  ///< Time between reads of the configuration's head.
  Duration memberTimeout = 4s;      ///< Silence after which a daemon counts as unreachable.
  Duration demandInterval = 500ms;  ///< Time between repeats of an unanswered demand.
  Duration replicaLifetime = 10s;   ///< Time for which a router may use a location unasked.
  Duration orderRetry = 500ms;      ///< Time before an order with unknown outcome is repeated.
  Duration progressLimit = 3s;      ///< Longest silence of an attempt.
  Duration tableRetryDelay = 500ms; ///< Time before a failed table call is repeated.
  Duration quarantineLength = 600s; ///< Time for which a convicted request is refused.
  std::uint32_t candidateRunners =
    4;                            ///< Runners a model may be loaded on without a written placement.
  std::uint32_t attemptLimit = 4; ///< Attempts of one request.
  std::uint32_t queueLimit = 4'096; ///< Requests that one daemon holds in all.
  std::uint32_t claimBatch = 64;    ///< Claims in one transaction.
  double retryBudgetRatio = 0.2;    ///< Retries earned by each first attempt.
  double retryBudgetBurst = 10.0;   ///< Retries that can be saved up.
};

/* A mechanism that keeps a promise. Tests switch one off to show that they notice. */
enum class Mechanism : std::uint8_t
{
  kFencedRecovery,      ///< A new holder asks every runner before it decides.
  kWrittenIntent,       ///< A load on an unchecked runner is written before it is ordered.
  kReservedIntent,      ///< A foreign intent is reserved until its issuer gives it up.
  kLeaseMargin,         ///< An unchecked runner gets no order near the end of the lease.
  kPossibleReplicas,    ///< A replica on an unreachable runner counts.
  kMemoryReservation,   ///< Memory is taken when a load is decided, not when it is done.
  kDrainBeforeUnload,   ///< Routers give a replica up before it is unloaded.
  kDemandMerging,       ///< Demands for one model lead to one load.
  kClaimBeforeSend,     ///< A non-idempotent request is claimed before it is sent.
  kFinalOutcomeUnknown, ///< A sent non-idempotent request is never sent again.
  kDeadlineRefusal,     ///< A waiting request is refused when its deadline comes.
  kLeavingNotice,       ///< The word that an endpoint leaves is passed on.
  kFreshnessLimit,      ///< A daemon with a stale configuration takes no requests.
  kVersionMonotonic,    ///< An older configuration never replaces a newer one.
  kQuarantine,          ///< A request that crashed endpoints is refused.
  kRetryBudget,         ///< Retries are limited to a share of first attempts.
  kShutdownDrain,       ///< A stopping daemon finishes its requests.
  kResumeOffset,        ///< A repeated stream goes on where the caller's part ends.
  kCount,
};

using MechanismSet = std::bitset<static_cast<std::size_t>(Mechanism::kCount)>;

} // namespace rhubarbtrail

#endif
