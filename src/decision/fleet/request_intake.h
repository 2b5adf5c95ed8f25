/* Decides which requests that are still arriving a daemon reads further while it is short of
 * memory. The load it answers: many clients send large bodies at once, and some stop before the end
 * or send far more than announced, so that reading all of them fills the memory with bodies of
 * which none is complete. Bytes that are not read stay with their clients, which the kernel makes
 * wait. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_REQUEST_INTAKE_H
#define RHUBARBTRAIL_DECISION_FLEET_REQUEST_INTAKE_H

#include "core/unit_type.h"
#include "decision/fleet/reader_budget.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace rhubarbtrail::fleet {

/* Largest number of bytes that a connection takes at once. */
constexpr std::size_t kReadBytes = 16U << 10U;
/* An upload progresses when this many bytes of it have arrived. Single bytes that come now and then
 * are no progress. */
constexpr std::size_t kProgressBytes = 1U << 10U;

/* A request whose client sends nothing for this time loses its turn, so that others are read
 * meanwhile. It gets a turn again when more of it comes. */
constexpr Duration kTurnSilence = 100ms;

/* What comes next of a request that is arriving. */
enum class ArrivingPart : std::uint8_t
{
  kSmall, ///< Its head, or a body that is announced as no longer than one read.
  kBody,
};

/* A request that may not be read further for now. */
struct WaitingArrival
{
  std::uint64_t id = 0;  ///< Of its connection.
  TimePoint arrivedAt{}; ///< When its first byte came.
  ArrivingPart part = ArrivingPart::kBody;
};

struct RequestIntakeOptions
{
  ReaderBudget budget;
  std::uint64_t bodyLimit = 0; ///< Largest body that a client may send, in bytes.
};

/* The requests that are arriving at one daemon. Bodies are read while three quarters of the budget
 * are not held. Above that mark, the oldest ones that wait are read in turn to their end, a few at
 * a time, and heads and small bodies as they come. Nothing is read once the budget is held. Waiting
 * costs O(log n); Take() looks at all that wait. */
class RequestIntake
{
public:
  void SetOptions(const RequestIntakeOptions& aOptions) { mOptions = aOptions; }

  /* Returns whether a request may be read further while aHeldBytes are held by the daemon. */
  bool MayRead(std::uint64_t aId, ArrivingPart aPart, std::size_t aHeldBytes) const;
  /* Adds a request that may not. */
  void Wait(const WaitingArrival& aArrival);
  /* Removes the waiting requests that may be read now, oldest first, and returns their ids. */
  std::vector<std::uint64_t> Take(std::size_t aHeldBytes);
  /* Ends the turn of a request whose client does not send, so that another one gets it. */
  void EndTurn(std::uint64_t aId) { mTurns.erase(aId); }
  /* Removes a request that is complete, rejected or closed. */
  void Remove(std::uint64_t aId);

  bool hasWaiting() const { return !mWaiting.empty(); }
  std::size_t waitingCount() const { return mWaiting.size(); }
  const std::set<std::uint64_t>& turns() const { return mTurns; }
  /* Returns the held bytes from which bodies are read in turn only. */
  std::size_t SharedMark() const;

private:
  std::size_t MaxTurns() const;

  RequestIntakeOptions mOptions;
  std::map<std::pair<TimePoint, std::uint64_t>, ArrivingPart> mWaiting; ///< By arrival and id.
  std::map<std::uint64_t, TimePoint> mArrivedAt;                        ///< Of those that wait.
  std::set<std::uint64_t> mTurns;
};

/* Returns the uploads to end while others wait for memory: those that have not progressed for
 * kReaderGrace or longer, the one with the most bytes first, until aHeldBytes is below the mark. A
 * slow upload thus ends only if the daemon is short of memory. */
std::vector<ReaderToEnd> ChooseUploadsToEnd(std::size_t aMark,
                                            std::size_t aHeldBytes,
                                            std::vector<ReaderState> aUploads);

/* Returns the size of the kernel's receive buffer of a client's connection, or 0 to leave it to the
 * kernel: bytes that are not read take memory, too. */
std::size_t UploadBufferLimit(const ReaderBudget& aBudget, std::size_t aConnections);

} // namespace rhubarbtrail::fleet

#endif
