/* Reports of crashed runners between the daemons. */
#include "daemon/crash_reports.h"

#include "core/boot_clock.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <spdlog/fmt/fmt.h>

namespace rhubarbtrail {

namespace {

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

void CrashReports::OnOwnCrash(const fleet::EndpointProcess& aProcess,
                              const fleet::CrashSuspect& aSuspect)
{
  fleet::CrashSuspect suspect = aSuspect;
  suspect.parts.resize(std::min(suspect.parts.size(), fleet::kMaxRecordedParts));
  RemoveParts(suspect.parts, mGateway.promptParts.SoundAmong(BootClockNow(), suspect.parts));
  RecordCrash(aProcess, suspect);
  mMember.ReportSuspect({ .request = suspect.request,
                          .process = aProcess,
                          .account = suspect.account,
                          .parts = suspect.parts,
                          .hasHead = suspect.hasHead });
}

void CrashReports::OnOwnAnswer(const ClientAccountId& aAccount,
                               std::span<const fleet::PromptPartId> aParts)
{
  const auto change = mGateway.promptParts.RecordSound(BootClockNow(), aAccount, aParts);
  Apply(change, "answer");
  AnnounceSound(aAccount, change.cleared);
}

std::optional<SuspectMessage> CrashReports::OnReport(const SuspectMessage& aReport)
{
  const TimePoint now = BootClockNow();
  const auto sound = mGateway.promptParts.SoundAmong(now, aReport.parts);
  SuspectMessage news = aReport;
  RemoveParts(news.parts, sound);
  if (!aReport.isCleared) {
    RecordCrash(aReport.process,
                { .request = news.request,
                  .account = news.account,
                  .parts = news.parts,
                  .hasHead = news.hasHead });
    AnnounceSound(news.account, sound);
    return news;
  }
  if (!news.request.empty()) {
    mGateway.crashes.RecordAnswer(news.request);
  }
  Apply(mGateway.promptParts.RecordSound(now, news.account, news.parts), "told");
  return news.request.empty() && news.parts.empty() ? std::nullopt : std::optional{ news };
}

void CrashReports::OnQuarantined(const std::vector<fleet::PartGroup>& aGroups)
{
  for (const fleet::PartGroup& group : aGroups) {
    const auto change = mGateway.promptParts.RecordQuarantined(BootClockNow(), group);
    Apply(change, "told");
    AnnounceSound({}, change.cleared);
  }
}

void CrashReports::RecordCrash(const fleet::EndpointProcess& aProcess,
                               const fleet::CrashSuspect& aSuspect)
{
  const TimePoint now = BootClockNow();
  mGateway.crashes.RecordCrash(now, aSuspect.request, aProcess);
  if (aSuspect.parts.empty()) {
    return;
  }
  const auto change = mGateway.promptParts.RecordCrash(now, aProcess, aSuspect);
  mLog.Write("part_suspected",
             { { "endpoint", aProcess.endpoint },
               { "bytes", aSuspect.request },
               { "account", aSuspect.account },
               { "parts", aSuspect.parts.size() },
               { "begun", aSuspect.hasHead },
               { "crashes", change.crashes },
               { "limit", fleet::kPartCrashThreshold } });
  Apply(change, "crash");
}

void CrashReports::AnnounceSound(const ClientAccountId& aAccount,
                                 std::vector<fleet::PromptPartId> aParts)
{
  if (!aParts.empty()) {
    mMember.ReportSuspect({ .isCleared = true, .account = aAccount, .parts = std::move(aParts) });
  }
}

void CrashReports::Apply(const fleet::PromptPartGuard::Change& aChange, std::string_view aSource)
{
  for (const fleet::PartGroup& group : aChange.quarantined) {
    mLog.Write("part_quarantined",
               { { "parts", Describe(group) },
                 { "source", aSource },
                 { "crashes", aChange.crashes },
                 { "limit", fleet::kPartCrashThreshold },
                 { "quarantined", mGateway.promptParts.quarantinedCount() } });
  }
  for (const fleet::PartGroup& group : aChange.released) {
    mLog.Write("part_released",
               { { "parts", Describe(group) },
                 { "source", aSource },
                 { "quarantined", mGateway.promptParts.quarantinedCount() } });
  }
  if (!aChange.cleared.empty()) {
    mLog.Write("part_cleared", { { "parts", Describe(aChange.cleared) }, { "source", aSource } });
  }
  if (!aChange.quarantined.empty() || !aChange.cleared.empty()) {
    // Later, because the change may come from a request that is just about to end.
    boost::asio::post(mGateway.loop, [&gateway = mGateway] { EndQuarantinedRequests(gateway); });
  }
}

} // namespace rhubarbtrail
