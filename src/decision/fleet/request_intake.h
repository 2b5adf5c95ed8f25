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
#include <optional>
#include <tuple>
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

/* Time over which the pace of a body is measured. */
constexpr Duration kPaceInterval = 100ms;

/* What comes next of a request that is arriving. */
enum class ArrivingPart : std::uint8_t
{
  kSmall, ///< Its head, or a body that is announced as no longer than one read.
  kBody,
};

/* How much of a body has come. */
struct BodyProgress
{
  std::uint64_t received = 0;
  /* What is still to come as announced, or at most if nothing is announced. */
  std::uint64_t remaining = 0;
};

/* A request that may not be read further for now. */
struct WaitingArrival
{
  std::uint64_t id = 0;  ///< Of its connection.
  TimePoint arrivedAt{}; ///< When its first byte came.
  ArrivingPart part = ArrivingPart::kBody;
  BodyProgress body;
};

struct RequestIntakeOptions
{
  ReaderBudget budget;
  std::uint64_t bodyLimit = 0; ///< Largest body that a client may send, in bytes.
};

/* The requests that are arriving at one daemon. Bodies are read while three quarters of the budget
 * are not held. Above that mark, those that wait are read in turn to their end, a few at a time,
 * and heads and small bodies as they come. Nothing is read once the budget is held. Waiting costs
 * O(log n); Take() looks at all that wait.
 *
 * Load pattern: clients that came first send a little of large bodies now and then. So the next
 * turn goes to the body that is expected to be complete first, by what remains of it and the pace
 * of its last turn, and a turn ends when another body would be complete before. */
class RequestIntake
{
public:
  void SetOptions(const RequestIntakeOptions& aOptions) { mOptions = aOptions; }

  /* Returns whether a request may be read further while aHeldBytes are held by the daemon. */
  bool MayRead(std::uint64_t aId, ArrivingPart aPart, std::size_t aHeldBytes) const;
  /* Adds a request that may not. */
  void Wait(const WaitingArrival& aArrival);
  /* Removes the waiting requests that may be read now, those that will be complete first before
   * others, and returns their ids. */
  std::vector<std::uint64_t> Take(std::size_t aHeldBytes);
  /* Ends the turn of a request whose client does not send, so that another one gets it. */
  void EndTurn(std::uint64_t aId) { mTurns.erase(aId); }
  /* Measures the pace of a body in turn, and ends its turn if one that waits would be complete
   * before. To be called now and then; does nothing within kPaceInterval of the last time. */
  void ReviewTurn(TimePoint aNow, std::uint64_t aId, const BodyProgress& aBody);
  /* Removes a request that is complete, rejected or closed. */
  void Remove(std::uint64_t aId);

  bool hasWaiting() const { return !mWaiting.empty(); }
  std::size_t waitingCount() const { return mWaiting.size(); }
  /* Returns whether a request is read in turn, and the ids of those that are. */
  bool HasTurn(std::uint64_t aId) const { return mTurns.contains(aId); }
  std::vector<std::uint64_t> turns() const;
  /* Returns the held bytes from which bodies are read in turn only. */
  std::size_t SharedMark() const;

private:
  /* A place among those that wait: the expected time until the request is complete, when it
   * arrived, and its id. */
  using Place = std::tuple<Duration, TimePoint, std::uint64_t>;
  /* Since when the pace of a body in turn is measured, and what had come then. */
  struct Turn
  {
    std::optional<TimePoint> measuredSince;
    std::uint64_t received = 0;
  };

  std::size_t MaxTurns() const;
  Duration TimeToComplete(std::uint64_t aId, std::uint64_t aRemaining) const;

  RequestIntakeOptions mOptions;
  std::map<Place, ArrivingPart> mWaiting;
  std::map<std::uint64_t, Place> mPlaces; ///< Of those that wait.
  std::map<std::uint64_t, Turn> mTurns;
  std::map<std::uint64_t, double> mPaces; ///< Of bodies that had a turn, in bytes per second.
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
