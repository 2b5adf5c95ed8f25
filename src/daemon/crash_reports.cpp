/* Reports of crashed runners between the daemons. */
#include "daemon/crash_reports.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace rhubarbtrail {

namespace {

/* Number of crashed processes under requests with a part from which all members are asked whether
 * they know it to be sound: one less than quarantines it. */
constexpr std::size_t kAskThreshold = fleet::kPartCrashThreshold - 1;
/* Time after which members are asked again about a part, and after which a part is announced again
 * as sound. */
constexpr Duration kAskInterval = 60s;
constexpr Duration kAnnounceInterval = 1s;
/* Greatest number of crashes and of parts that are remembered. */
constexpr std::size_t kMaxKnownCrashes = 4'096;
constexpr std::size_t kMaxKnownParts = 4'096;
/* Greatest number of quarantined requests that a daemon which joins is told of. */
constexpr std::size_t kMaxToldRequests = 256;

/* Returns the ids of parts as clients write them, separated by "+". */
std::string Describe(const fleet::PartGroup& aParts)
{
  std::string text;
  for (const fleet::PromptPartId part : aParts) {
    text += fmt::format("{}{:x}", text.empty() ? "" : "+", part.value);
  }
  return text;
}

void RemoveParts(std::vector<fleet::PromptPartId>& aParts,
                 const std::vector<fleet::PromptPartId>& aRemoved)
{
  std::erase_if(aParts, [&](fleet::PromptPartId aPart) {
    return std::find(aRemoved.begin(), aRemoved.end(), aPart) != aRemoved.end();
  });
}

} // namespace

void CrashReports::KeepDue(TimePoint aNow,
                           Duration aInterval,
                           const SoftwareVersion& aVersion,
                           PartTimes& aTimes,
                           std::vector<fleet::PromptPartId>& aParts)
{
  if (aTimes.size() > kMaxKnownParts) {
    std::erase_if(aTimes, [&](const auto& aItem) { return aNow - aItem.second >= aInterval; });
  }
  std::erase_if(aParts, [&](fleet::PromptPartId aPart) {
    const auto [item, isNew] = aTimes.try_emplace({ aPart, aVersion }, aNow);
    const bool isDue = isNew || aNow - item->second >= aInterval;
    if (isDue) {
      item->second = aNow;
    }
    return !isDue;
  });
}

CrashReports::CrashReports(CrashReportServices aServices)
  : mServices(std::move(aServices))
{
}

void CrashReports::OnOwnCrash(TimePoint aNow,
                              const fleet::EndpointProcess& aProcess,
                              const fleet::CrashSuspect& aSuspect)
{
  fleet::CrashSuspect suspect = aSuspect;
  suspect.parts.resize(std::min(suspect.parts.size(), fleet::kMaxRecordedParts));
  RemoveParts(suspect.parts,
              mServices.promptParts.SoundAmong(aNow, suspect.parts, suspect.version));
  const auto change = RecordCrash(aNow, aProcess, suspect);
  const SuspectMessage report{ .request = suspect.request,
                               .process = aProcess,
                               .account = suspect.account,
                               .parts = suspect.parts,
                               .hasHead = suspect.hasHead,
                               .version = suspect.version };
  IsNews(aNow, report);
  Report(ReportAudience::kCopies, report);
  PublishCrash(aNow, report, change.crashes);
}

void CrashReports::OnOwnAnswer(TimePoint aNow,
                               const ClientAccountId& aAccount,
                               std::span<const fleet::PromptPartId> aParts,
                               const SoftwareVersion& aVersion)
{
  const auto change = mServices.promptParts.RecordSound(aNow, aAccount, aParts, aVersion);
  Apply(change, "answer");
  AnnounceSound(aNow, aAccount, change.cleared, aVersion);
}

void CrashReports::OnOwnCleared(const FingerprintId& aRequest, bool aWasQuarantined)
{
  Report(aWasQuarantined ? ReportAudience::kAllMembers : ReportAudience::kCopies,
         { .request = aRequest, .isCleared = true });
}

std::vector<SuspectMessage> CrashReports::QuarantineReports(TimePoint aNow) const
{
  std::vector<SuspectMessage> reports;
  for (const FingerprintId& request : mServices.crashes.Quarantined(aNow, kMaxToldRequests)) {
    for (const auto& process : mServices.crashes.CrashedProcesses(request)) {
      reports.push_back({ .request = request, .process = process });
    }
  }
  return reports;
}

void CrashReports::OnReport(TimePoint aNow,
                            const std::string& aSender,
                            const SuspectMessage& aReport)
{
  if (aReport.isQuestion) {
    AnnounceSound(aNow,
                  aReport.account,
                  mServices.promptParts.SoundAmong(aNow, aReport.parts, aReport.version),
                  aReport.version);
  } else if (aReport.isCleared) {
    OnClearance(aNow, aReport);
  } else {
    OnCrashReport(aNow, aSender, aReport);
  }
}

void CrashReports::OnCrashReport(TimePoint aNow,
                                 const std::string& aSender,
                                 const SuspectMessage& aReport)
{
  const auto sound = mServices.promptParts.SoundAmong(aNow, aReport.parts, aReport.version);
  SuspectMessage news = aReport;
  RemoveParts(news.parts, sound);
  const auto change = RecordCrash(aNow,
                                  aReport.process,
                                  { .request = news.request,
                                    .account = news.account,
                                    .parts = news.parts,
                                    .version = news.version,
                                    .hasHead = news.hasHead });
  if (!mServices.isDispatcher()) {
    AnnounceSound(aNow, news.account, sound, news.version);
    return;
  }
  if (!sound.empty() && !aSender.empty()) {
    mServices.send(
      ReportAudience::kSender,
      aSender,
      { .isCleared = true, .account = news.account, .parts = sound, .version = news.version });
  }
  if (IsNews(aNow, news)) {
    mServices.send(ReportAudience::kCopies, {}, news);
  }
  PublishCrash(aNow, news, change.crashes);
}

void CrashReports::PublishCrash(TimePoint aNow, const SuspectMessage& aReport, std::size_t aCrashes)
{
  if (!mServices.isDispatcher()) {
    return;
  }
  if (mServices.crashes.IsQuarantined(aNow, aReport.request)) {
    for (const fleet::EndpointProcess& process :
         mServices.crashes.CrashedProcesses(aReport.request)) {
      mServices.send(
        ReportAudience::kAllMembers, {}, { .request = aReport.request, .process = process });
    }
  }
  std::vector<fleet::PromptPartId> parts = aReport.parts;
  if (aCrashes < kAskThreshold) {
    return;
  }
  KeepDue(aNow, kAskInterval, aReport.version, mAskedAt, parts);
  if (!parts.empty()) {
    mServices.send(ReportAudience::kAllMembers,
                   {},
                   { .account = aReport.account,
                     .parts = std::move(parts),
                     .isQuestion = true,
                     .version = aReport.version });
  }
}

void CrashReports::OnClearance(TimePoint aNow, const SuspectMessage& aReport)
{
  if (!aReport.request.empty()) {
    const bool wasQuarantined = mServices.crashes.IsQuarantined(aNow, aReport.request);
    if (mServices.crashes.RecordAnswer(aReport.request) && mServices.isDispatcher()) {
      OnOwnCleared(aReport.request, wasQuarantined);
    }
  }
  const auto change =
    mServices.promptParts.RecordSound(aNow, aReport.account, aReport.parts, aReport.version);
  Apply(change, "told");
  if (mServices.isDispatcher()) {
    AnnounceSound(aNow, aReport.account, change.cleared, aReport.version);
  }
}

void CrashReports::OnQuarantined(TimePoint aNow,
                                 const std::vector<fleet::PartGroup>& aGroups,
                                 const std::vector<fleet::PartTrials>& aTrials)
{
  const auto versions = aGroups.empty() ? std::set<SoftwareVersion>{} : mServices.versionsInUse();
  for (std::size_t index = 0; index < aGroups.size(); ++index) {
    const auto trials = index < aTrials.size() ? std::optional{ aTrials[index] } : std::nullopt;
    const auto change =
      mServices.promptParts.RecordQuarantined(aNow, aGroups[index], trials, versions);
    Apply(change, "told");
    for (const fleet::PromptPartId part : change.cleared) {
      AnnounceSound(aNow, {}, { part }, mServices.promptParts.LastSoundVersion(part));
    }
  }
}

fleet::PromptPartGuard::Change CrashReports::RecordCrash(TimePoint aNow,
                                                         const fleet::EndpointProcess& aProcess,
                                                         const fleet::CrashSuspect& aSuspect)
{
  mServices.crashes.RecordCrash(aNow, aSuspect.request, aProcess);
  if (aSuspect.parts.empty()) {
    return {};
  }
  auto change = mServices.promptParts.RecordCrash(aNow, aProcess, aSuspect);
  mServices.log.Write("part_suspected",
                      { { "endpoint", aProcess.endpoint },
                        { "bytes", aSuspect.request },
                        { "account", aSuspect.account },
                        { "parts", aSuspect.parts.size() },
                        { "begun", aSuspect.hasHead },
                        { "crashes", change.crashes },
                        { "limit", fleet::kPartCrashThreshold } });
  Apply(change, "crash");
  return change;
}

void CrashReports::Report(ReportAudience aMembers, const SuspectMessage& aReport)
{
  mServices.send(mServices.isDispatcher() ? aMembers : ReportAudience::kDispatcher, {}, aReport);
}

void CrashReports::AnnounceSound(TimePoint aNow,
                                 const ClientAccountId& aAccount,
                                 std::vector<fleet::PromptPartId> aParts,
                                 const SoftwareVersion& aVersion)
{
  KeepDue(aNow, kAnnounceInterval, aVersion, mAnnouncedAt, aParts);
  if (!aParts.empty()) {
    Report(
      ReportAudience::kAllMembers,
      { .isCleared = true, .account = aAccount, .parts = std::move(aParts), .version = aVersion });
  }
}

bool CrashReports::IsNews(TimePoint aNow, const SuspectMessage& aReport)
{
  if (mKnownCrashes.size() >= kMaxKnownCrashes) {
    std::erase_if(mKnownCrashes, [&](const auto& aItem) {
      return aNow - aItem.second >= fleet::kCrashCountLifetime;
    });
  }
  const auto [item, isNew] =
    mKnownCrashes.try_emplace({ .process = aReport.process, .request = aReport.request }, aNow);
  const bool isNews = isNew || aNow - item->second >= fleet::kCrashCountLifetime;
  item->second = aNow;
  return isNews;
}

void CrashReports::Apply(const fleet::PromptPartGuard::Change& aChange, std::string_view aSource)
{
  for (const fleet::PartGroup& group : aChange.quarantined) {
    mServices.log.Write("part_quarantined",
                        { { "parts", Describe(group) },
                          { "source", aSource },
                          { "crashes", aChange.crashes },
                          { "limit", fleet::kPartCrashThreshold },
                          { "quarantined", mServices.promptParts.quarantinedCount() } });
  }
  for (const fleet::PartGroup& group : aChange.released) {
    mServices.log.Write("part_released",
                        { { "parts", Describe(group) },
                          { "source", aSource },
                          { "quarantined", mServices.promptParts.quarantinedCount() } });
  }
  if (!aChange.cleared.empty()) {
    mServices.log.Write("part_cleared",
                        { { "parts", Describe(aChange.cleared) }, { "source", aSource } });
  }
  if (!aChange.quarantined.empty() || !aChange.cleared.empty()) {
    mServices.onPartsChanged();
  }
}

} // namespace rhubarbtrail
