/* What the lease row names besides the lease, cut to the size that the platform's store accepts. */
#include "decision/fleet/lease_row_content.h"

#include <algorithm>
#include <string_view>

namespace rhubarbtrail::fleet {

namespace {

/* Bytes of the brackets, commas and names of the members around the content. */
constexpr std::size_t kFrameBytes = 100;
/* Part of the room that versions may take. Quarantined parts get the rest and what versions leave.
 */
constexpr std::size_t kVersionsNumerator = 2;
constexpr std::size_t kVersionsDenominator = 3;
/* Greatest sizes of a number and its comma, and of the trials of a group. */
constexpr std::size_t kNumberBytes = 21;
constexpr std::size_t kTrialsBytes = 36;

/* Returns the size of a string in JSON, with its quotes and a comma. */
std::size_t JsonBytes(std::string_view aText)
{
  constexpr std::size_t kEscapeBytes = 6; // \u0000
  std::size_t bytes = 3;
  for (const char character : aText) {
    const auto code = static_cast<unsigned char>(character);
    bytes += code < 0x20 || code == 0x7f             ? kEscapeBytes
             : character == '"' || character == '\\' ? 2
                                                     : 1;
  }
  return bytes;
}

/* Adds versions to a content as long as they fit. */
class VersionPacker
{
public:
  VersionPacker(VersionsByService& aPacked, std::size_t aBytes)
    : mPacked(aPacked)
    , mBytesLeft(aBytes)
  {
  }

  /* Adds the versions in turns, one of each service. */
  void Add(const VersionsByService& aVersions)
  {
    std::size_t most = 0;
    for (const auto& [service, versions] : aVersions) {
      most = std::max(most, versions.size());
    }
    std::map<ServiceId, std::set<SoftwareVersion>::const_iterator> next;
    for (const auto& [service, versions] : aVersions) {
      next[service] = versions.begin();
    }
    for (std::size_t turn = 0; turn < most; ++turn) {
      for (const auto& [service, versions] : aVersions) {
        if (auto& version = next[service]; version != versions.end()) {
          AddOne(service, *version);
          ++version;
        }
      }
    }
  }

  bool isComplete() const { return mIsComplete; }
  std::size_t bytesLeft() const { return mBytesLeft; }

private:
  void AddOne(const ServiceId& aService, const SoftwareVersion& aVersion)
  {
    const bool isNew = !mPacked.contains(aService);
    const std::size_t bytes =
      JsonBytes(aVersion.str()) + (isNew ? JsonBytes(aService.str()) + kServiceFrameBytes : 0);
    if (bytes > mBytesLeft) {
      mIsComplete = false;
      return;
    }
    mBytesLeft -= bytes;
    mPacked[aService].insert(aVersion);
  }

  static constexpr std::size_t kServiceFrameBytes = 3; ///< The colon and brackets.

  VersionsByService& mPacked;
  std::size_t mBytesLeft;
  bool mIsComplete = true;
};

} // namespace

LeaseRowContent FitLeaseRow(const LeaseRowContent& aContent,
                            const RecordedVersions& aRecorded,
                            std::size_t aBytes)
{
  std::size_t bytesLeft = aBytes - std::min(aBytes, kFrameBytes);
  VersionsByService recorded;
  VersionsByService others;
  for (const auto& [service, versions] : aContent.versions) {
    for (const SoftwareVersion& version : versions) {
      (aRecorded.Has(service, version) ? recorded : others)[service].insert(version);
    }
  }
  LeaseRowContent fitted;
  const std::size_t versionBytes = bytesLeft / kVersionsDenominator * kVersionsNumerator;
  VersionPacker packer{ fitted.versions, versionBytes };
  packer.Add(recorded);
  packer.Add(others);
  if (!packer.isComplete()) {
    fitted.versions.insert(kUnknownVersions.begin(), kUnknownVersions.end());
  }
  bytesLeft -= versionBytes - packer.bytesLeft();
  for (std::size_t index = 0; index < aContent.quarantinedParts.size(); ++index) {
    const PartGroup& group = aContent.quarantinedParts[index];
    const std::size_t bytes = kTrialsBytes + 3 + group.size() * kNumberBytes;
    if (bytes > bytesLeft) {
      continue;
    }
    bytesLeft -= bytes;
    fitted.quarantinedParts.push_back(group);
    if (index < aContent.partTrials.size()) {
      fitted.partTrials.push_back(aContent.partTrials[index]);
    }
  }
  for (const FingerprintId& request : aContent.quarantinedRequests) {
    const std::size_t bytes = JsonBytes(request.str());
    if (bytes > bytesLeft) {
      break;
    }
    bytesLeft -= bytes;
    fitted.quarantinedRequests.push_back(request);
  }
  return fitted;
}

} // namespace rhubarbtrail::fleet
