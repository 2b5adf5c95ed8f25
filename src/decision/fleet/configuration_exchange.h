/* Decides how daemons tell each other of the configuration, and pass it on to those that the store
 * does not answer. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_CONFIGURATION_EXCHANGE_H
#define RHUBARBTRAIL_DECISION_FLEET_CONFIGURATION_EXCHANGE_H

#include "core/unit_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbtrail::fleet {

/* What a daemon states about its configuration. */
struct ConfigurationStatement
{
  ConfigVersion version; ///< In force at the daemon; 0 if it has none.
  /* Time since the daemon began the last call to the store whose answer showed that there was no
   * newer one. Not set if there was no such call since it started or was suspended. Never what
   * other daemons have stated, because passing that on in circles would make it look recent. */
  std::optional<Duration> age;

  bool operator==(const ConfigurationStatement&) const = default;
};

/* Asks a daemon for a statement, and for a part of the document if its version is newer. */
struct ConfigurationQuery
{
  std::uint64_t number = 0;
  std::string address;    ///< host:port for the reply.
  ConfigVersion known;    ///< In force at the sender.
  ConfigVersion partOf;   ///< Version of which the sender has the first bytes.
  std::size_t offset = 0; ///< Number of these bytes.
};

/* A part of a document, from an offset. */
struct ConfigurationPart
{
  std::uint64_t digest = 0; ///< Of the whole document.
  std::size_t size = 0;     ///< Of the whole document.
  std::size_t offset = 0;
  std::string bytes;
};

struct ConfigurationReply
{
  std::uint64_t number = 0; ///< Of the query.
  ConfigurationStatement statement;
  std::string dispatcher; ///< host:port of the dispatcher that the sender knows, or empty.
  std::optional<ConfigurationPart> part;
};

/* A query and the address to send it to. */
struct AddressedQuery
{
  std::string address;
  ConfigurationQuery query;
};

/* Largest size of a part. It takes 100 ms on the slowest hosts, which have 10 Mbit/s. */
constexpr std::size_t kMaxPartBytes = 128U << 10U;
/* Largest size of a document that is passed on. */
constexpr std::size_t kMaxDocumentBytes = 64U << 20U;
/* Bytes of replies that a daemon sends per second to all others, which is less than half of what
 * the slowest hosts can send. Each reply counts as kReplyCost bytes more than its part. */
constexpr double kReplyBytesPerSecond = 512.0 * 1024;
constexpr double kReplyCost = 1024.0;

/* Load pattern: the store answers no call of some daemons, the dispatcher perhaps among them, while
 * the operator takes a key away. All daemons state their versions with their heartbeats. One that
 * hears of a newer version than its own, and does not get it from the store, asks the daemons that
 * it knows in turn. So does one that for some time has neither an answer of the store nor a recent
 * statement: its dispatcher may be the one that the store does not answer. Each daemon has at most
 * one query open, and what it replies per second is bounded.
 *
 * The versions are the operator's, which never go back, unlike those of the store's rows.
 *
 * All times must come from a clock that keeps counting while the host is suspended. */
class ConfigurationExchange
{
public:
  struct Options
  {
    /* Time without a confirmation after which other daemons are asked. */
    Duration silenceLimit = 3s;
  };

  /* The first daemon to be asked depends on the seed, so that not all ask the same one. */
  ConfigurationExchange(TimePoint aNow, std::string aOwnAddress, std::size_t aSeed);

  void SetOptions(const Options& aOptions) { mOptions = aOptions; }

  /* A configuration has been applied. Without accounts, daemons are asked only for versions that
   * were heard of. */
  void OnApplied(ConfigVersion aVersion, std::string aDocument, bool aHasAccounts);
  /* The document of a version is invalid here, so it is not asked for again. */
  void OnRejected(ConfigVersion aVersion);
  /* The store has shown that there is no newer configuration, in answer to a call that began at
   * this time. */
  void OnStoreAnswer(TimePoint aCallStartedAt);
  /* This process was suspended. What is known is unconfirmed from now on, and messages that are
   * handled soon may be old. */
  void OnResumed(TimePoint aNow);
  /* Another daemon has stated its version, with a heartbeat. */
  void OnStatement(TimePoint aNow, const ConfigurationStatement& aStatement);
  /* Other daemons have these addresses. */
  void OnPeers(const std::vector<std::string>& aAddresses);

  /* Returns a query to send, if one is due, to one of the addresses or of the known peers. */
  std::optional<AddressedQuery> Tick(TimePoint aNow, std::vector<std::string> aAddresses);
  /* Returns the reply to a query, or nothing if this daemon has replied too much. */
  std::optional<ConfigurationReply> Answer(TimePoint aNow, const ConfigurationQuery& aQuery);

  struct ReplyOutcome
  {
    std::optional<std::string> document; ///< A newer one, complete.
    ConfigVersion version;               ///< Its version, as the other daemon states it.
    std::optional<AddressedQuery> next;  ///< The query for the next part.
  };
  ReplyOutcome OnReply(TimePoint aNow, const ConfigurationReply& aReply);

  /* Returns the latest time at which it is known that there was no newer version than the one in
   * force, or nothing if there is none since the start or the last suspension. */
  std::optional<TimePoint> confirmedAt() const { return mConfirmedAt; }
  bool IsConfirmed(TimePoint aNow, Duration aLimit) const
  {
    return mConfirmedAt && aNow - *mConfirmedAt <= aLimit;
  }
  ConfigurationStatement Statement(TimePoint aNow) const;
  ConfigVersion heardVersion() const { return mHeardVersion; }
  bool IsOutdated() const { return mHeardVersion > mVersion; }
  std::uint64_t queries() const { return mNumber; }
  std::uint64_t replies() const { return mReplies; }

private:
  void Hear(TimePoint aNow, ConfigVersion aVersion);
  /* It is known that there was no newer version than aVersion at this time. */
  void Confirm(ConfigVersion aVersion, TimePoint aAt);
  AddressedQuery MakeQuery(TimePoint aNow, const std::string& aAddress);
  /* Adds a part to the document that is being received. */
  void AddPart(ConfigVersion aVersion, const ConfigurationPart& aPart);

  /* The document that is being received. */
  struct Incoming
  {
    ConfigVersion version;
    std::uint64_t digest = 0;
    std::size_t size = 0;
    std::string bytes;
  };

  Options mOptions;
  std::string mOwnAddress;
  ConfigVersion mVersion;
  std::string mDocument;
  std::uint64_t mDigest = 0; ///< Of mDocument.
  bool mHasAccounts = false;
  TimePoint mResumedAt{}; ///< When this process started or resumed after a suspension.
  std::optional<TimePoint> mConfirmedAt;
  std::optional<TimePoint> mStoreAnswerAt; ///< When the last answered call to the store began.
  ConfigVersion mHeardVersion;             ///< The newest that any daemon has stated.
  ConfigVersion mRejectedVersion;          ///< The newest whose document is invalid here.
  TimePoint mHeardAt{};                    ///< When it was first stated.
  /* A newer version than the one in force, and when there was none newer than that. */
  ConfigVersion mUnappliedVersion;
  TimePoint mUnappliedConfirmedAt{};
  std::deque<std::string> mPeers; ///< Addresses, the most recent last.
  std::size_t mTurn = 0;
  std::uint64_t mNumber = 0;
  std::string mAskedAddress;
  TimePoint mAskedAt{};
  TimePoint mNextQueryAt{};
  Incoming mIncoming;
  double mReplyBudget = kReplyBytesPerSecond;
  TimePoint mBudgetAt{};
  std::uint64_t mReplies = 0;
};

} // namespace rhubarbtrail::fleet

#endif
