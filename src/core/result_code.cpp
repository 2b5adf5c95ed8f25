/* The table of result codes. */
#include "core/result_code_type.h"

#include <algorithm>
#include <array>

namespace rhubarbtrail {

namespace {

using enum ResultCode;
using enum Execution;

constexpr std::array kResultCodes{
  ResultCodeInfo{ kOk, 200, kCompleted, "ok", "The request was answered." },
  ResultCodeInfo{ kKeyMissing, 401, kNotRun, "key_missing", "The request carries no API key." },
  ResultCodeInfo{ kKeyWrong, 403, kNotRun, "key_wrong", "The API key belongs to no customer." },
  ResultCodeInfo{ kModelUnknown,
                  404,
                  kNotRun,
                  "model_unknown",
                  "The model does not exist or is not allowed for this customer." },
  ResultCodeInfo{ kServiceUnknown,
                  404,
                  kNotRun,
                  "service_unknown",
                  "The service does not exist or is not allowed for this customer." },
  ResultCodeInfo{ kKeyNotAccepted,
                  401,
                  kNotRun,
                  "key_not_accepted",
                  "The request carries no API key of an account." },
  ResultCodeInfo{ kRequestMalformed,
                  400,
                  kNotRun,
                  "request_malformed",
                  "The request could not be read." },
  ResultCodeInfo{ kBodyTooLarge,
                  413,
                  kNotRun,
                  "body_too_large",
                  "The body is larger than the limit." },
  ResultCodeInfo{ kIdempotencyKeyRequired,
                  400,
                  kNotRun,
                  "idempotency_key_required",
                  "This class of request needs an Idempotency-Key header." },
  ResultCodeInfo{ kIdempotencyKeyInProgress,
                  409,
                  kNotRun,
                  "idempotency_key_in_progress",
                  "A request with this key is running; this one was not started." },
  ResultCodeInfo{ kIdempotencyKeyReused,
                  422,
                  kNotRun,
                  "idempotency_key_reused",
                  "The key was used before with another request." },
  ResultCodeInfo{ kQueueFull, 429, kNotRun, "queue_full", "The customer's queue is full." },
  ResultCodeInfo{ kDeadlineUnreachable,
                  503,
                  kNotRun,
                  "deadline_unreachable",
                  "The request could not be answered before its deadline." },
  ResultCodeInfo{ kClaimUnavailable,
                  503,
                  kNotRun,
                  "claim_unavailable",
                  "The request could not be claimed, so it was not run." },
  ResultCodeInfo{ kReplicaUnavailable,
                  503,
                  kNotRun,
                  "replica_unavailable",
                  "No replica of the model can be provided now." },
  ResultCodeInfo{ kConfigurationStale,
                  503,
                  kNotRun,
                  "configuration_stale",
                  "This daemon cannot confirm that its configuration is current." },
  ResultCodeInfo{ kShuttingDown, 503, kNotRun, "shutting_down", "This daemon is shutting down." },
  ResultCodeInfo{ kEndpointUnavailable,
                  503,
                  kNotRun,
                  "endpoint_unavailable",
                  "No endpoint could be reached." },
  ResultCodeInfo{ kDeadlinePassed,
                  504,
                  kNotRun,
                  "deadline_passed",
                  "The deadline passed before the request was started." },
  ResultCodeInfo{ kStreamVersionGone,
                  503,
                  kNotRun,
                  "stream_version_gone",
                  "No endpoint runs the software version that began the stream any more." },
  ResultCodeInfo{ kStreamOriginUnknown,
                  503,
                  kNotRun,
                  "stream_origin_unknown",
                  "It is not known which software version began the stream." },
  ResultCodeInfo{ kPromptPartQuarantined,
                  503,
                  kNotRun,
                  "prompt_part_quarantined",
                  "A part of the prompt crashed the endpoints that ran it." },
  ResultCodeInfo{ kQuotaExceeded,
                  429,
                  kNotRun,
                  "quota_exceeded",
                  "The account has sent more than its quota allows." },
  ResultCodeInfo{ kOutcomeUnknown,
                  502,
                  kMayHaveRun,
                  "outcome_unknown",
                  "The request was sent and its outcome is unknown; it will not be repeated." },
  ResultCodeInfo{ kEarlierOutcomeUnknown,
                  409,
                  kMayHaveRun,
                  "earlier_outcome_unknown",
                  "A request with this key was started earlier; its outcome is unknown." },
  ResultCodeInfo{ kAttemptsExhausted,
                  502,
                  kMayHaveRun,
                  "attempts_exhausted",
                  "The request was sent to endpoints, and none gave a whole answer." },
  ResultCodeInfo{ kAnswerLost,
                  502,
                  kRanAnswerLost,
                  "answer_lost",
                  "The request ran, and its answer is lost." },
  ResultCodeInfo{ kQuarantined,
                  422,
                  kNotRun,
                  "quarantined",
                  "This request crashed endpoints before and was not started again." },
  ResultCodeInfo{ kRetryBudgetSpent,
                  503,
                  kMayHaveRun,
                  "retry_budget_spent",
                  "The request failed, and the budget for repeating it is spent." },
  ResultCodeInfo{ kCrashedEndpoints,
                  422,
                  kMayHaveRun,
                  "crashed_endpoints",
                  "The endpoints that ran this request crashed; it will not be repeated." },
};

} // namespace

std::span<const ResultCodeInfo> ResultCodes()
{
  return kResultCodes;
}

const ResultCodeInfo& Describe(ResultCode aCode)
{
  const auto* row = std::find_if(kResultCodes.begin(),
                                 kResultCodes.end(),
                                 [aCode](const auto& aRow) { return aRow.code == aCode; });
  return row == kResultCodes.end() ? kResultCodes.front() : *row;
}

std::string_view ToString(Execution aExecution)
{
  switch (aExecution) {
    case kCompleted:
      return "completed";
    case Execution::kNotRun:
      return "not_run";
    case Execution::kMayHaveRun:
      return "may_have_run";
    case kRanAnswerLost:
      return "ran_answer_lost";
  }
  return "unknown";
}

} // namespace rhubarbtrail
