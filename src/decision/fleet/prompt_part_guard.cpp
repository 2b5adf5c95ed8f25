/* Detects prompt parts that crash runners. */
#include "decision/fleet/prompt_part_guard.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <optional>

namespace rhubarbtrail::fleet {

namespace {

/* Longest time until a trial that another daemon can state. */
constexpr Duration kMaxTrialDelay = std::chrono::hours{ 1 };

std::size_t CountBits(std::uint64_t aBits)
{
  return static_cast<std::size_t>(std::popcount(aBits));
}

} // namespace

PromptPartGuard::Change PromptPartGuard::RecordCrash(TimePoint aNow,
                                                     const EndpointProcess& aProcess,
                                                     const CrashSuspect& aSuspect)
{
  Change change;
  const auto parts =
    std::span{ aSuspect.parts }.first(std::min(aSuspect.parts.size(), kMaxRecordedParts));
  const bool areAllSound = std::all_of(parts.begin(), parts.end(), [&](PromptPartId aPart) {
    return IsSound(aNow, aPart, aSuspect.version);
  });
  if (areAllSound) {
    return change;
  }
  CrashRecord& record = RecordOf(aProcess);
  const std::size_t request = std::hash<FingerprintId>{}(aSuspect.request);
  std::size_t& accountEntries = record.accountEntries[aSuspect.account];
  for (const PromptPartId part : parts) {
    if (IsSound(aNow, part, aSuspect.version) || record.entries >= kMaxRecordEntries ||
        accountEntries >= kMaxAccountEntries) {
      continue;
    }
    PartSuspects& suspects = record.parts[part];
    suspects.hasHead = suspects.hasHead || aSuspect.hasHead;
    const bool isNew = suspects.requests.insert(request).second;
    record.entries += isNew ? 1 : 0;
    accountEntries += isNew ? 1 : 0;
  }
  Recompute(aNow, change);
  const auto evidence = CollectEvidence(false);
  for (const PromptPartId part : parts) {
    const auto found = evidence.find(part);
    if (found != evidence.end()) {
      change.crashes = std::max(change.crashes, CountBits(found->second.records));
    }
  }
  return change;
}

PromptPartGuard::Change PromptPartGuard::RecordSound(TimePoint aNow,
                                                     const ClientAccountId& aAccount,
                                                     std::span<const PromptPartId> aParts,
                                                     const SoftwareVersion& aVersion)
{
  Change change;
  bool isAcquitted = false;
  for (const PromptPartId part : aParts.first(std::min(aParts.size(), kMaxRecordedParts))) {
    const bool wasSound = IsSound(aNow, part, aVersion);
    RememberSound(aNow, aAccount, part, aVersion);
    // The crashes in the records of a part that was sound at this version are those of another one.
    const bool isNews = !wasSound || mQuarantinedParts.contains(part);
    isAcquitted = (isNews && Acquit(part, change)) || isAcquitted;
  }
  if (isAcquitted) {
    Recompute(aNow, change);
  }
  return change;
}

PromptPartGuard::Change PromptPartGuard::RecordQuarantined(
  TimePoint aNow,
  const PartGroup& aGroup,
  const std::optional<PartTrials>& aTrials,
  const std::set<SoftwareVersion>& aVersionsInUse)
{
  Change change;
  PartGroup group;
  for (const PromptPartId part : aGroup) {
    const bool isSound =
      IsSound(aNow, part, {}) &&
      std::all_of(aVersionsInUse.begin(), aVersionsInUse.end(), [&](const auto& aVersion) {
        return IsSound(aNow, part, aVersion);
      });
    (isSound ? change.cleared : group).push_back(part);
  }
  std::sort(group.begin(), group.end());
  group.erase(std::unique(group.begin(), group.end()), group.end());
  const bool isKnown =
    std::any_of(group.begin(), group.end(), [&](PromptPartId aPart) { return IsCertain(aPart); });
  if (!group.empty() && group.size() <= kMaxGroupParts && !isKnown) {
    Quarantine(aNow, group, change);
  }
  const auto known =
    std::find_if(mQuarantined.begin(), mQuarantined.end(), [&](const QuarantinedGroup& aItem) {
      return aItem.parts == group;
    });
  if (aTrials && known != mQuarantined.end()) {
    known->areTrialsTold = true;
    known->trials = std::max(known->trials, aTrials->count);
    known->nextTrialAt =
      aNow + std::clamp(aTrials->timeUntilNext, Duration::zero(), kMaxTrialDelay);
  }
  return change;
}

bool PromptPartGuard::HasGroup(std::span<const PromptPartId> aParts, const QuarantinedGroup& aGroup)
{
  return std::all_of(aGroup.parts.begin(), aGroup.parts.end(), [&](PromptPartId aPart) {
    return std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
  });
}

bool PromptPartGuard::IsTrialDue(TimePoint aNow, const QuarantinedGroup& aGroup)
{
  return aGroup.trials < kMaxPartTrials && aNow >= aGroup.nextTrialAt;
}

bool PromptPartGuard::IsTrialDue(TimePoint aNow, std::span<const PromptPartId> aParts) const
{
  return std::all_of(mQuarantined.begin(), mQuarantined.end(), [&](const QuarantinedGroup& aGroup) {
    return !HasGroup(aParts, aGroup) || IsTrialDue(aNow, aGroup);
  });
}

bool PromptPartGuard::IsTrialOffered(TimePoint aNow, std::span<const PromptPartId> aParts) const
{
  return std::all_of(mQuarantined.begin(), mQuarantined.end(), [&](const QuarantinedGroup& aGroup) {
    return !HasGroup(aParts, aGroup) || (aGroup.areTrialsTold && IsTrialDue(aNow, aGroup));
  });
}

bool PromptPartGuard::StartTrial(TimePoint aNow, std::span<const PromptPartId> aParts)
{
  if (!IsTrialDue(aNow, aParts)) {
    return false;
  }
  for (QuarantinedGroup& group : mQuarantined) {
    if (HasGroup(aParts, group)) {
      ++group.trials;
      Duration delay = kFirstTrialDelay;
      for (std::uint32_t trial = 0; trial < group.trials; ++trial) {
        delay *= kTrialDelayFactor;
      }
      group.nextTrialAt = aNow + delay;
    }
  }
  return true;
}

std::vector<PartTrials> PromptPartGuard::trials(TimePoint aNow) const
{
  std::vector<PartTrials> trials;
  for (const QuarantinedGroup& group : mQuarantined) {
    trials.push_back({ .count = group.trials,
                       .timeUntilNext = std::max(group.nextTrialAt - aNow, Duration::zero()) });
  }
  return trials;
}

bool PromptPartGuard::IsQuarantined(TimePoint aNow, std::span<const PromptPartId> aParts)
{
  if (mQuarantined.empty()) {
    return false;
  }
  PartGroup found;
  for (const PromptPartId part : aParts) {
    if (mQuarantinedParts.contains(part)) {
      found.push_back(part);
    }
  }
  std::sort(found.begin(), found.end());
  bool isQuarantined = false;
  for (QuarantinedGroup& group : mQuarantined) {
    if (std::includes(found.begin(), found.end(), group.parts.begin(), group.parts.end())) {
      group.lastAskedAt = aNow;
      isQuarantined = true;
    }
  }
  return isQuarantined;
}

std::vector<PromptPartId> PromptPartGuard::SoundAmong(TimePoint aNow,
                                                      std::span<const PromptPartId> aParts,
                                                      const SoftwareVersion& aVersion) const
{
  std::vector<PromptPartId> sound;
  std::copy_if(aParts.begin(), aParts.end(), std::back_inserter(sound), [&](PromptPartId aPart) {
    return IsSound(aNow, aPart, aVersion);
  });
  return sound;
}

SoftwareVersion PromptPartGuard::LastSoundVersion(PromptPartId aPart) const
{
  const auto found = mSound.find(aPart);
  return found == mSound.end() ? SoftwareVersion{} : found->second.proofs.back().version;
}

std::vector<PartGroup> PromptPartGuard::quarantined() const
{
  std::vector<PartGroup> groups;
  for (const QuarantinedGroup& group : mQuarantined) {
    groups.push_back(group.parts);
  }
  return groups;
}

bool PromptPartGuard::IsSound(TimePoint aNow,
                              PromptPartId aPart,
                              const SoftwareVersion& aVersion) const
{
  const auto found = mSound.find(aPart);
  return found != mSound.end() &&
         std::any_of(
           found->second.proofs.begin(), found->second.proofs.end(), [&](const Proof& aProof) {
             const bool isOfVersion =
               aVersion.empty() || aProof.version.empty() || aProof.version == aVersion;
             return isOfVersion && aNow - aProof.at <= kSoundPartLifetime;
           });
}

bool PromptPartGuard::IsCertain(PromptPartId aPart) const
{
  return std::any_of(mQuarantined.begin(), mQuarantined.end(), [&](const auto& aGroup) {
    return aGroup.parts.size() == 1 && aGroup.parts.front() == aPart;
  });
}

PromptPartGuard::CrashRecord& PromptPartGuard::RecordOf(const EndpointProcess& aProcess)
{
  const auto found = std::find_if(mRecords.begin(), mRecords.end(), [&](const auto& aRecord) {
    return aRecord.process == aProcess;
  });
  if (found != mRecords.end()) {
    return *found;
  }
  if (mRecords.size() >= kMaxCrashRecords) {
    mRecords.pop_front();
  }
  return mRecords.emplace_back(CrashRecord{ .process = aProcess });
}

void PromptPartGuard::RememberSound(TimePoint aNow,
                                    const ClientAccountId& aAccount,
                                    PromptPartId aPart,
                                    const SoftwareVersion& aVersion)
{
  if (const auto found = mSound.find(aPart); found != mSound.end()) {
    auto& recent = mSoundByAccount[found->second.account];
    recent.splice(recent.end(), recent, found->second.place);
    auto& proofs = found->second.proofs;
    std::erase_if(proofs, [&](const Proof& aProof) { return aProof.version == aVersion; });
    if (proofs.size() >= kMaxSoundVersions) {
      proofs.erase(proofs.begin());
    }
    proofs.push_back({ .version = aVersion, .at = aNow });
    return;
  }
  if (mSound.size() >= kMaxSoundParts) {
    ForgetOneSoundPart();
  }
  auto& recent = mSoundByAccount[aAccount];
  mSound[aPart] = { .account = aAccount,
                    .proofs = { { .version = aVersion, .at = aNow } },
                    .place = recent.insert(recent.end(), aPart) };
}

/* Forgets the part that was proven least recently by the account with the most parts. */
void PromptPartGuard::ForgetOneSoundPart()
{
  const auto largest = std::max_element(
    mSoundByAccount.begin(), mSoundByAccount.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.size() < aRight.second.size();
    });
  mSound.erase(largest->second.front());
  largest->second.pop_front();
  if (largest->second.empty()) {
    mSoundByAccount.erase(largest);
  }
}

bool PromptPartGuard::Acquit(PromptPartId aPart, Change& aChange)
{
  bool isFound = false;
  for (CrashRecord& record : mRecords) {
    const auto found = record.parts.find(aPart);
    if (found != record.parts.end()) {
      record.entries -= found->second.requests.size();
      record.parts.erase(found);
      isFound = true;
    }
  }
  std::erase_if(mRecords, [](const auto& aRecord) { return aRecord.parts.empty(); });
  if (mQuarantinedParts.contains(aPart)) {
    isFound = true;
    EraseGroups([&](const auto& aGroup) { return aGroup.parts == PartGroup{ aPart }; }, aChange);
    for (QuarantinedGroup& group : mQuarantined) {
      std::erase(group.parts, aPart);
    }
    UpdateQuarantinedParts();
  }
  if (isFound) {
    aChange.cleared.push_back(aPart);
  }
  return isFound;
}

PromptPartGuard::EvidenceByPart PromptPartGuard::CollectEvidence(bool aOnlyAttributed) const
{
  EvidenceByPart evidence;
  std::uint64_t bit = 1;
  for (const CrashRecord& record : mRecords) {
    const bool needsHead =
      aOnlyAttributed && std::any_of(record.parts.begin(),
                                     record.parts.end(),
                                     [](const auto& aItem) { return aItem.second.hasHead; });
    for (const auto& [part, suspects] : record.parts) {
      if (needsHead && !suspects.hasHead) {
        continue;
      }
      const auto& requests = suspects.requests;
      Evidence& item = evidence[part];
      if (item.records == 0) {
        item.request = *requests.begin();
      }
      item.records |= bit;
      item.hasSeveralRequests |= requests.size() > 1 || *requests.begin() != item.request;
    }
    bit <<= 1U;
  }
  return evidence;
}

/* Returns the records that are explained by a part that is certain to crash runners. */
std::uint64_t PromptPartGuard::ExplainedRecords(const EvidenceByPart& aEvidence) const
{
  std::uint64_t records = 0;
  for (const QuarantinedGroup& group : mQuarantined) {
    const auto found = aEvidence.find(group.parts.front());
    if (group.parts.size() == 1 && found != aEvidence.end()) {
      records |= found->second.records;
    }
  }
  return records;
}

void PromptPartGuard::Recompute(TimePoint aNow, Change& aChange)
{
  const auto evidence = CollectEvidence(false);
  std::uint64_t explained = ExplainedRecords(evidence);
  QuarantineByEvidence(aNow, CollectEvidence(true), kPartCrashThreshold, explained, aChange);
  QuarantineByEvidence(aNow, evidence, kWeakPartCrashThreshold, explained, aChange);
}

void PromptPartGuard::QuarantineByEvidence(TimePoint aNow,
                                           const EvidenceByPart& aEvidence,
                                           std::size_t aThreshold,
                                           std::uint64_t& aExplained,
                                           Change& aChange)
{
  while (true) {
    // The part with the most unexplained crashes is the likeliest cause, and the one with the most
    // crashes among equals.
    const Evidence* best = nullptr;
    const auto rank = [&](const Evidence& aItem) {
      return std::pair{ CountBits(aItem.records & ~aExplained), CountBits(aItem.records) };
    };
    for (const auto& [part, item] : aEvidence) {
      if (item.hasSeveralRequests && (best == nullptr || rank(item) > rank(*best))) {
        best = &item;
      }
    }
    if (best == nullptr || rank(*best).first < aThreshold) {
      return;
    }
    const std::uint64_t cause = best->records & ~aExplained;
    PartGroup group;
    for (const auto& [part, item] : aEvidence) {
      if ((item.records & ~aExplained) == cause) {
        group.push_back(part);
      }
    }
    std::sort(group.begin(), group.end());
    group.resize(std::min(group.size(), kMaxGroupParts));
    Quarantine(aNow, group, aChange);
    aExplained |= cause;
  }
}

void PromptPartGuard::Quarantine(TimePoint aNow, const PartGroup& aGroup, Change& aChange)
{
  const auto isWithin = [](const PartGroup& aInner, const PartGroup& aOuter) {
    return std::includes(aOuter.begin(), aOuter.end(), aInner.begin(), aInner.end());
  };
  const bool isKnown =
    std::any_of(mQuarantined.begin(), mQuarantined.end(), [&](const auto& aKnown) {
      return isWithin(aKnown.parts, aGroup);
    });
  if (isKnown) {
    return;
  }
  // The new group tells which parts of a larger one matter. Its trials go on where those of the
  // larger one ended, since each may crash a runner.
  QuarantinedGroup added{ .parts = aGroup,
                          .lastAskedAt = aNow,
                          .nextTrialAt = aNow + kFirstTrialDelay };
  for (const QuarantinedGroup& group : mQuarantined) {
    if (isWithin(aGroup, group.parts)) {
      added.trials = std::max(added.trials, group.trials);
      added.nextTrialAt = std::max(added.nextTrialAt, group.nextTrialAt);
    }
  }
  EraseGroups([&](const auto& aKnown) { return isWithin(aGroup, aKnown.parts); }, aChange);
  if (mQuarantined.size() >= kMaxQuarantinedGroups) {
    const auto oldest = std::min_element(
      mQuarantined.begin(), mQuarantined.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.lastAskedAt < aRight.lastAskedAt;
      });
    aChange.released.push_back(oldest->parts);
    mQuarantined.erase(oldest);
  }
  mQuarantined.push_back(std::move(added));
  UpdateQuarantinedParts();
  aChange.quarantined.push_back(aGroup);
}

void PromptPartGuard::EraseGroups(const std::function<bool(const QuarantinedGroup&)>& aIsErased,
                                  Change& aChange)
{
  for (const QuarantinedGroup& group : mQuarantined) {
    if (aIsErased(group)) {
      aChange.released.push_back(group.parts);
    }
  }
  std::erase_if(mQuarantined, aIsErased);
}

void PromptPartGuard::UpdateQuarantinedParts()
{
  mQuarantinedParts.clear();
  for (const QuarantinedGroup& group : mQuarantined) {
    mQuarantinedParts.insert(group.parts.begin(), group.parts.end());
  }
}

} // namespace rhubarbtrail::fleet
