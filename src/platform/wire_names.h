/* The platform's names on the wire: header fields, paths, tables and row keys. */
#ifndef RHUBARBTRAIL_PLATFORM_WIRE_NAMES_H
#define RHUBARBTRAIL_PLATFORM_WIRE_NAMES_H

#include <string_view>

namespace rhubarbtrail::platform {

namespace field {
constexpr std::string_view kRequestId = "X-Request-Id";
constexpr std::string_view kDeadline = "X-Deadline-Ms";
constexpr std::string_view kModel = "X-Model";
constexpr std::string_view kTokens = "X-Token-Usage";        ///< Tokens requested, not used so far.
constexpr std::string_view kPromptParts = "X-Prompt-Prefix"; ///< All parts, not only a prefix.
constexpr std::string_view kLengthHint = "X-Length-Hint";
constexpr std::string_view kLastEventId = "Last-Event-Id";
constexpr std::string_view kResumes = "Resumes"; ///< Id of the request that began the stream.
constexpr std::string_view kTargetEndpoint = "X-Target-Instance";
constexpr std::string_view kPriority = "X-Request-Priority";
constexpr std::string_view kSignature = "X-Response-Signature";
constexpr std::string_view kNotExecuted = "X-Not-Executed";
constexpr std::string_view kLeaving = "Server-Leaving"; ///< "1" while the endpoint is leaving.
/* Requests per second that the endpoint takes from all daemons together. */
constexpr std::string_view kRequestLimit = "Server-Limit";
constexpr std::string_view kLoad = "X-Server-Load";
constexpr std::string_view kHold = "X-Hold";
constexpr std::string_view kPin = "X-Pin-Ms";
constexpr std::string_view kBackup = "X-Kv-Backup";
constexpr std::string_view kResumeFrom = "Kv-From";
constexpr std::string_view kFetchFrom = "Kv-Fetch";
constexpr std::string_view kExpectVersion = "X-Expect-Version";
constexpr std::string_view kRetryAfter = "Retry-After";
constexpr std::string_view kStoreEra = "Store-Era"; ///< Rises when the store loses rows.
constexpr std::string_view kContentEncoding = "Content-Encoding";
constexpr std::string_view kAuthorization = "Authorization";
constexpr std::string_view kAuthenticate = "WWW-Authenticate";
constexpr std::string_view kAccount = "X-Tenant"; ///< Set by daemons, on requests to endpoints.
} // namespace field

namespace path {
constexpr std::string_view kReady = "/rhubarbtrail/readyz";
constexpr std::string_view kOrder = "/rhubarbtrail/order";
constexpr std::string_view kReport = "/rhubarbtrail/report";
constexpr std::string_view kTransaction = "/rhubarbtrail/rows-tx";
constexpr std::string_view kRows = "/rhubarbtrail/rows-get";
constexpr std::string_view kChanges = "/rhubarbtrail/rows-feed";
} // namespace path

namespace table {
constexpr std::string_view kOperator = "op";
constexpr std::string_view kRunners = "servers";
} // namespace table

/* Key of the row in the operators' table that holds the newest configuration. */
constexpr std::string_view kConfigurationKey = "config";

/* Authentication scheme of clients' API keys. */
constexpr std::string_view kKeyScheme = "Token";
/* The adapters of a model are named by this and a number from 1. */
constexpr std::string_view kAdapterPrefix = "a";

} // namespace rhubarbtrail::platform

#endif
