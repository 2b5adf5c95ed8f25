/* Passes the configuration on to daemons that the store does not answer. */
#include "decision/fleet/configuration_exchange.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace rhubarbtrail::fleet {

namespace {

/* Time for a version that was heard of to arrive from the store, before other daemons are asked. */
constexpr Duration kStoreTime = 300ms;
/* Time after which an unanswered query for a part is sent to another daemon. */
constexpr Duration kPartInterval = 400ms;
/* Time between queries that no known newer version causes. */
constexpr Duration kQueryInterval = 1s;
/* Time after a suspension in which statements do not confirm: they may have arrived during it. */
constexpr Duration kOldMessageTime = 1s;
constexpr std::size_t kMaxPeers = 16;

} // namespace

ConfigurationExchange::ConfigurationExchange(TimePoint aNow,
                                             std::string aOwnAddress,
                                             std::size_t aSeed)
  : mOwnAddress(std::move(aOwnAddress))
  , mResumedAt(aNow)
  , mTurn(aSeed)
  , mBudgetAt(aNow)
{
}

void ConfigurationExchange::OnApplied(ConfigVersion aVersion,
                                      std::string aDocument,
                                      bool aHasAccounts)
{
  mVersion = aVersion;
  mDocument = std::move(aDocument);
  mDigest = XXH3_64bits(mDocument.data(), mDocument.size());
  mHasAccounts = aHasAccounts;
  mHeardVersion = std::max(mHeardVersion, aVersion);
  mIncoming = {};
  if (mUnappliedVersion <= mVersion) {
    Confirm(mUnappliedVersion, mUnappliedConfirmedAt);
  }
}

void ConfigurationExchange::OnRejected(ConfigVersion aVersion)
{
  if (mHeardVersion <= aVersion) {
    mHeardVersion = mVersion;
  }
  mRejectedVersion = std::max(mRejectedVersion, aVersion);
  mIncoming = {};
}

void ConfigurationExchange::OnStoreAnswer(TimePoint aCallStartedAt)
{
  if (aCallStartedAt >= mResumedAt) {
    mStoreAnswerAt = aCallStartedAt;
    Confirm(mVersion, aCallStartedAt);
  }
}

void ConfigurationExchange::OnResumed(TimePoint aNow)
{
  mResumedAt = aNow;
  mConfirmedAt.reset();
  mStoreAnswerAt.reset();
}

void ConfigurationExchange::OnStatement(TimePoint aNow, const ConfigurationStatement& aStatement)
{
  Hear(aNow, aStatement.version);
  if (aStatement.age && aNow - mResumedAt >= kOldMessageTime) {
    Confirm(aStatement.version, aNow - *aStatement.age);
  }
}

void ConfigurationExchange::OnPeers(const std::vector<std::string>& aAddresses)
{
  for (const std::string& address : aAddresses) {
    if (address.empty() || address == mOwnAddress ||
        std::find(mPeers.begin(), mPeers.end(), address) != mPeers.end()) {
      continue;
    }
    mPeers.push_back(address);
    if (mPeers.size() > kMaxPeers) {
      mPeers.pop_front();
    }
  }
}

void ConfigurationExchange::Hear(TimePoint aNow, ConfigVersion aVersion)
{
  if (aVersion > mHeardVersion && aVersion > mRejectedVersion) {
    mHeardVersion = aVersion;
    mHeardAt = aNow;
  }
}

void ConfigurationExchange::Confirm(ConfigVersion aVersion, TimePoint aAt)
{
  if (aAt < mResumedAt) {
    return;
  }
  if (aVersion > mVersion) {
    mUnappliedVersion = aVersion;
    mUnappliedConfirmedAt = aAt;
  } else if (!mConfirmedAt || aAt > *mConfirmedAt) {
    mConfirmedAt = aAt;
  }
}

std::optional<AddressedQuery> ConfigurationExchange::Tick(TimePoint aNow,
                                                          std::vector<std::string> aAddresses)
{
  const bool mustFetch = IsOutdated() && aNow - mHeardAt >= kStoreTime;
  const bool isSilent =
    mConfirmedAt ? aNow - *mConfirmedAt > mOptions.silenceLimit : aNow - mResumedAt >= kStoreTime;
  if (!(mustFetch || (mHasAccounts && isSilent)) || aNow < mNextQueryAt) {
    return std::nullopt;
  }
  aAddresses.insert(aAddresses.end(), mPeers.begin(), mPeers.end());
  if (aAddresses.empty()) {
    return std::nullopt;
  }
  mNextQueryAt = aNow + (mustFetch ? kPartInterval : kQueryInterval);
  return MakeQuery(aNow, aAddresses[mTurn++ % aAddresses.size()]);
}

AddressedQuery ConfigurationExchange::MakeQuery(TimePoint aNow, const std::string& aAddress)
{
  mAskedAddress = aAddress;
  mAskedAt = aNow;
  return { .address = aAddress,
           .query = { .number = ++mNumber,
                      .address = mOwnAddress,
                      .known = mVersion,
                      .partOf = mIncoming.version,
                      .offset = mIncoming.bytes.size() } };
}

std::optional<ConfigurationReply> ConfigurationExchange::Answer(TimePoint aNow,
                                                                const ConfigurationQuery& aQuery)
{
  const double passed = std::chrono::duration<double>(aNow - mBudgetAt).count();
  mReplyBudget = std::min(mReplyBudget + passed * kReplyBytesPerSecond, kReplyBytesPerSecond);
  mBudgetAt = aNow;
  if (mReplyBudget <= 0.0) {
    return std::nullopt;
  }
  ++mReplies;
  ConfigurationReply reply{ .number = aQuery.number, .statement = Statement(aNow) };
  if (mVersion > aQuery.known) {
    const bool isContinued = aQuery.partOf == mVersion && aQuery.offset < mDocument.size();
    const std::size_t offset = isContinued ? aQuery.offset : 0;
    reply.part = ConfigurationPart{ .digest = mDigest,
                                    .size = mDocument.size(),
                                    .offset = offset,
                                    .bytes = mDocument.substr(offset, kMaxPartBytes) };
  }
  mReplyBudget -= kReplyCost + static_cast<double>(reply.part ? reply.part->bytes.size() : 0);
  return reply;
}

ConfigurationExchange::ReplyOutcome ConfigurationExchange::OnReply(TimePoint aNow,
                                                                   const ConfigurationReply& aReply)
{
  OnPeers({ aReply.dispatcher });
  Hear(aNow, aReply.statement.version);
  if (aReply.number != mNumber || mAskedAddress.empty()) {
    return {}; // The query was given up.
  }
  const std::string address = std::exchange(mAskedAddress, {});
  if (aReply.statement.age) {
    Confirm(aReply.statement.version, mAskedAt - *aReply.statement.age);
  }
  const ConfigVersion version = aReply.statement.version;
  if (!aReply.part || version <= mVersion || version <= mRejectedVersion) {
    return {};
  }
  AddPart(version, *aReply.part);
  if (mIncoming.bytes.empty()) {
    return {};
  }
  if (mIncoming.bytes.size() < mIncoming.size) {
    mNextQueryAt = aNow + kPartInterval;
    return { .document = std::nullopt, .version = version, .next = MakeQuery(aNow, address) };
  }
  const Incoming received = std::exchange(mIncoming, {});
  const bool isSound = XXH3_64bits(received.bytes.data(), received.bytes.size()) == received.digest;
  return { .document = isSound ? std::optional{ received.bytes } : std::nullopt,
           .version = version,
           .next = std::nullopt };
}

void ConfigurationExchange::AddPart(ConfigVersion aVersion, const ConfigurationPart& aPart)
{
  const bool isContinued = mIncoming.version == aVersion && mIncoming.digest == aPart.digest &&
                           mIncoming.size == aPart.size && mIncoming.bytes.size() == aPart.offset;
  if (!isContinued) {
    mIncoming = { .version = aVersion, .digest = aPart.digest, .size = aPart.size, .bytes = {} };
  }
  const bool isValid = !aPart.bytes.empty() && aPart.size <= kMaxDocumentBytes &&
                       aPart.offset == mIncoming.bytes.size() &&
                       aPart.bytes.size() <= aPart.size - aPart.offset;
  if (isValid) {
    mIncoming.bytes += aPart.bytes;
  } else {
    mIncoming = {};
  }
}

ConfigurationStatement ConfigurationExchange::Statement(TimePoint aNow) const
{
  return { .version = mVersion,
           .age = mStoreAnswerAt ? std::optional{ aNow - *mStoreAnswerAt } : std::nullopt };
}

} // namespace rhubarbtrail::fleet
