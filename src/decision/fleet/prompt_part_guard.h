/* Detects prompt parts that crash runners, whatever else the requests with them hold. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_PROMPT_PART_GUARD_H
#define RHUBARBTRAIL_DECISION_FLEET_PROMPT_PART_GUARD_H

#include "core/id_type.h"
#include "core/unit_type.h"
#include "decision/fleet/crash_guard.h"
#include "decision/fleet/work_type.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace rhubarbtrail::fleet {

/* Number of crashed processes of runners after which a part is quarantined. One or two may be
 * chance. */
constexpr std::size_t kPartCrashThreshold = 3;
/* The same, if processes count that had begun to answer another suspect but not one with the part.
 * It is the largest number that operators accept. */
constexpr std::size_t kWeakPartCrashThreshold = 5;
/* Greatest number of parts of one request that are suspected or recorded as sound. Prompts of the
 * platform's callers have fewer than ten. */
constexpr std::size_t kMaxRecordedParts = 256;
/* Number of crashed processes whose suspects are kept. Sets of them are stored as bits. */
constexpr std::size_t kMaxCrashRecords = 64;
/* Greatest number of entries of one crashed process, one for each part of each request, and of one
 * client account among them. */
constexpr std::size_t kMaxRecordEntries = 512;
constexpr std::size_t kMaxAccountEntries = 256;
/* Greatest number of sound parts that are remembered. */
constexpr std::size_t kMaxSoundParts = 32'768;
/* Time after its last sound answer until a part may be suspected again. */
constexpr Duration kSoundPartLifetime = 600s;
/* Greatest number of software versions at which a part is remembered as sound. */
constexpr std::size_t kMaxSoundVersions = 4;
/* Greatest number of quarantined groups of parts, and of parts in one group. */
constexpr std::size_t kMaxQuarantinedGroups = 64;
constexpr std::size_t kMaxGroupParts = 16;

/* Requests that are sent with a quarantined group of parts to find out whether it is sound after
 * all: their number in all, and the time until the first. Each further one comes after three times
 * as long. Operators accept three. */
constexpr std::uint32_t kMaxPartTrials = 2;
constexpr Duration kFirstTrialDelay = 9s;
constexpr int kTrialDelayFactor = 3;

/* How often a quarantined group was tried, and when it may be tried again. */
struct PartTrials
{
  std::uint32_t count = 0;
  Duration timeUntilNext{};

  bool operator==(const PartTrials&) const = default;
};

/* Parts of which at least one crashes runners. They have come only together so far, so that it is
 * not known which, and only requests with all of them are quarantined. Normally it is one part. In
 * ascending order. */
using PartGroup = std::vector<PromptPartId>;

/* A request that was in flight at a runner's process that has ended. It has no parts if its stream
 * had gone on for a while, which proves them sound. */
struct CrashSuspect
{
  FingerprintId request;
  ClientAccountId account;
  std::vector<PromptPartId> parts; ///< All but the last part of the prompt.
  SoftwareVersion version;         ///< Of the process; empty if not known.
  /* The head of a success had arrived, so that the runner had begun to answer. */
  bool hasHead = false;

  bool operator==(const CrashSuspect&) const = default;
};

/* Finds the parts that explain the crashes of runners with as few parts as possible. A crash is
 * attributed to the requests that the runner had begun to answer, if there are any. A part of a
 * request that was answered is sound: a crashing part crashes each runner that begins to answer it.
 * That holds for the software version that answered; a newer one may crash on the part. An empty
 * version, of a former release, stands for any.
 * The state is bounded, also for each client account, so that the parts of one account cannot push
 * out those of others. */
class PromptPartGuard
{
public:
  /* What has changed, for the log and for the other daemons. */
  struct Change
  {
    std::vector<PartGroup> quarantined;
    std::vector<PartGroup> released;
    /* Parts that were suspects or quarantined and turn out to be sound. */
    std::vector<PromptPartId> cleared;
    /* Number of crashed processes that the suspect's parts may explain at most. */
    std::size_t crashes = 0;
  };

  /* Records that a runner's process ended while the request was in flight there.
   * Reports about one process are merged. */
  Change RecordCrash(TimePoint aNow, const EndpointProcess& aProcess, const CrashSuspect& aSuspect);
  /* Records that these parts are sound, because a request with them was answered by a runner of a
   * version. */
  Change RecordSound(TimePoint aNow,
                     const ClientAccountId& aAccount,
                     std::span<const PromptPartId> aParts,
                     const SoftwareVersion& aVersion = {});
  /* Takes over a group that another daemon or the store knows to be quarantined, and its trials if
   * they are known. Parts that are sound at all versions in use, or at any if none is given, are
   * cleared instead. */
  Change RecordQuarantined(TimePoint aNow,
                           const PartGroup& aGroup,
                           const std::optional<PartTrials>& aTrials = std::nullopt,
                           const std::set<SoftwareVersion>& aVersionsInUse = {});
  /* Returns whether a request with these parts may be sent as a trial now: no group that it has was
   * tried too often or too recently. */
  bool IsTrialDue(TimePoint aNow, std::span<const PromptPartId> aParts) const;
  /* Returns the same for a daemon that must ask another one for the trial. One of a former release
   * states no trials and would permit each. */
  bool IsTrialOffered(TimePoint aNow, std::span<const PromptPartId> aParts) const;
  /* Counts a trial with these parts if one is due. Returns whether it was. An answer clears the
   * parts, and a crash counts like any other. */
  bool StartTrial(TimePoint aNow, std::span<const PromptPartId> aParts);
  /* Returns the trials of the quarantined groups, in the order of quarantined(). */
  std::vector<PartTrials> trials(TimePoint aNow) const;

  /* Returns whether a request with these parts, in any order, must not be sent to a runner. */
  bool IsQuarantined(TimePoint aNow, std::span<const PromptPartId> aParts);
  /* Returns those of the parts that are known to be sound at a version. */
  std::vector<PromptPartId> SoundAmong(TimePoint aNow,
                                       std::span<const PromptPartId> aParts,
                                       const SoftwareVersion& aVersion = {}) const;
  /* Returns the version whose answer was the last to show that a part is sound, or an empty one. */
  SoftwareVersion LastSoundVersion(PromptPartId aPart) const;
  std::vector<PartGroup> quarantined() const;
  std::size_t quarantinedCount() const { return mQuarantined.size(); }
  std::size_t recordCount() const { return mRecords.size(); }
  std::size_t soundCount() const { return mSound.size(); }

private:
  /* The suspects of one crashed process that have a certain part. */
  struct PartSuspects
  {
    std::set<std::size_t> requests; ///< Hashes.
    bool hasHead = false;           ///< One of them had the head of its answer.
  };
  /* The suspects of one crashed process. */
  struct CrashRecord
  {
    EndpointProcess process;
    std::map<PromptPartId, PartSuspects> parts;
    std::map<ClientAccountId, std::size_t> accountEntries;
    std::size_t entries = 0;
  };
  struct Proof
  {
    SoftwareVersion version;
    TimePoint at{};
  };
  struct SoundPart
  {
    ClientAccountId account;
    std::vector<Proof> proofs; ///< The last one of each version, the latest at the end.
    std::list<PromptPartId>::iterator place; ///< In the list of its account.
  };
  /* A part's crashes, as bits of the records with it. */
  struct Evidence
  {
    std::uint64_t records = 0;
    std::size_t request = 0; ///< Hash of one of the requests.
    bool hasSeveralRequests = false;
  };
  struct QuarantinedGroup
  {
    PartGroup parts;
    TimePoint lastAskedAt{};
    std::uint32_t trials = 0;
    TimePoint nextTrialAt{};
    bool areTrialsTold = false; ///< Another daemon has stated them.
  };

  /* Returns whether an answer of the version within kSoundPartLifetime has shown that a part is
   * sound. */
  bool IsSound(TimePoint aNow, PromptPartId aPart, const SoftwareVersion& aVersion) const;
  CrashRecord& RecordOf(const EndpointProcess& aProcess);
  void RememberSound(TimePoint aNow,
                     const ClientAccountId& aAccount,
                     PromptPartId aPart,
                     const SoftwareVersion& aVersion);
  void ForgetOneSoundPart();
  /* Removes a sound part from the records and the quarantined groups. Returns whether it was there.
   */
  bool Acquit(PromptPartId aPart, Change& aChange);
  /* Quarantines the groups of parts that explain the records, beyond what is quarantined. */
  void Recompute(TimePoint aNow, Change& aChange);
  using EvidenceByPart = std::unordered_map<PromptPartId, Evidence>;
  /* Quarantines groups by this evidence and adds the records that they explain. */
  void QuarantineByEvidence(TimePoint aNow,
                            const EvidenceByPart& aEvidence,
                            std::size_t aThreshold,
                            std::uint64_t& aExplained,
                            Change& aChange);
  /* Returns the evidence of all suspects, or only of those to which the crashes are attributed. */
  EvidenceByPart CollectEvidence(bool aOnlyAttributed) const;
  std::uint64_t ExplainedRecords(const EvidenceByPart& aEvidence) const;
  bool IsCertain(PromptPartId aPart) const;
  static bool IsTrialDue(TimePoint aNow, const QuarantinedGroup& aGroup);
  static bool HasGroup(std::span<const PromptPartId> aParts, const QuarantinedGroup& aGroup);
  void Quarantine(TimePoint aNow, const PartGroup& aGroup, Change& aChange);
  void EraseGroups(const std::function<bool(const QuarantinedGroup&)>& aIsErased, Change& aChange);
  void UpdateQuarantinedParts();

  std::deque<CrashRecord> mRecords; ///< Oldest first.
  std::unordered_map<PromptPartId, SoundPart> mSound;
  /* Sound parts by the account that proved them last, least recent first. */
  std::map<ClientAccountId, std::list<PromptPartId>> mSoundByAccount;
  std::vector<QuarantinedGroup> mQuarantined;
  std::unordered_set<PromptPartId> mQuarantinedParts; ///< The parts of all groups.
};

} // namespace rhubarbtrail::fleet

#endif
