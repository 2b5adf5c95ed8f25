/* The numbered result codes. Every request ends with one of them. docs/RESULT_CODES.md explains
 * them. */
#ifndef RHUBARBTRAIL_CORE_RESULT_CODE_TYPE_H
#define RHUBARBTRAIL_CORE_RESULT_CODE_TYPE_H

#include <cstdint>
#include <span>
#include <string_view>

namespace rhubarbtrail {

enum class ResultCode : std::uint16_t
{
  kOk = 1000,
  kKeyMissing = 1101,
  kKeyWrong = 1102,
  kModelUnknown = 1103,
  kServiceUnknown = 1104,
  kKeyNotAccepted = 1105,
  kRequestMalformed = 1201,
  kBodyTooLarge = 1202,
  kIdempotencyKeyRequired = 1301,
  kIdempotencyKeyInProgress = 1302,
  kIdempotencyKeyReused = 1303,
  kQueueFull = 2101,
  kDeadlineUnreachable = 2102,
  kClaimUnavailable = 2103,
  kReplicaUnavailable = 2104,
  kConfigurationStale = 2105,
  kShuttingDown = 2106,
  kEndpointUnavailable = 2107,
  kDeadlinePassed = 2108,
  kStreamVersionGone = 2109,
  kStreamOriginUnknown = 2110,
  kPromptPartQuarantined = 2111,
  kQuotaExceeded = 2112,
  kOutcomeUnknown = 3101,
  kEarlierOutcomeUnknown = 3102,
  kAttemptsExhausted = 3103,
  kAnswerLost = 4101,
  kQuarantined = 5101,
  kRetryBudgetSpent = 5102,
  kCrashedEndpoints = 5103,
};

/* What a caller may conclude about whether its request was executed. */
enum class Execution : std::uint8_t
{
  kCompleted,     ///< It was executed, and this is its answer.
  kNotRun,        ///< It was not executed.
  kMayHaveRun,    ///< It may have been executed.
  kRanAnswerLost, ///< It was executed, but the answer is lost.
};

/* One row of the result code table. */
struct ResultCodeInfo
{
  ResultCode code;
  std::uint16_t httpStatus;
  Execution execution;
  std::string_view name;    ///< In metrics and JSON errors.
  std::string_view message; ///< One sentence for the caller.
};

/* Returns all rows, ordered by number. */
std::span<const ResultCodeInfo> ResultCodes();

/* Returns the row of a code. Every enumerator has one. */
const ResultCodeInfo& Describe(ResultCode aCode);

/* Returns the name of an execution state in JSON errors. */
std::string_view ToString(Execution aExecution);

} // namespace rhubarbtrail

#endif
