/* Decides how many bytes a daemon may buffer for slow readers, and whose connection ends when it
 * holds more. A reader is a client that reads its answer, an endpoint that reads a request, or a
 * client whose request is still arriving. Designed for up to 10,000 readers: a decision sorts them
 * once, and is made only when the budget is exceeded. */
#ifndef RHUBARBTRAIL_DECISION_FLEET_READER_BUDGET_H
#define RHUBARBTRAIL_DECISION_FLEET_READER_BUDGET_H

#include "core/unit_type.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rhubarbtrail::fleet {

/* A reader that falls behind for less than this time ends only after all others that hold more than
 * their share. A sound reader takes a large answer in that time. */
constexpr Duration kReaderGrace = 1s;

/* The bytes that a daemon may buffer for all readers. */
struct ReaderBudget
{
  std::size_t bytes = 0; ///< 0: no limit.

  bool isLimited() const { return bytes > 0; }
  /* Returns what each of some readers may hold when all hold the same. */
  std::size_t ShareOf(std::size_t aReaders) const;
};

/* Returns the budget of a daemon on a host with this memory in megabytes; no limit for 0. */
ReaderBudget ReaderBudgetOf(std::uint32_t aMemoryMb);

/* Returns the budget while the process has this resident memory: less than usual if more than seven
 * eighths of the host's memory are resident, because of what no account holds. */
ReaderBudget ReaderBudgetOf(std::uint32_t aMemoryMb, std::size_t aResidentBytes);

/* Returns the number of unsent bytes of one answer from which reading from the endpoint is paused:
 * aUsual while most of the budget is free, and less when many readers hold much. */
std::size_t PauseThreshold(const ReaderBudget& aBudget,
                           std::size_t aHeldBytes,
                           std::size_t aReaders,
                           std::size_t aUsual);

/* Returns the size of the kernel's receive buffer of a new connection, or 0 to leave it to the
 * kernel, so that the bytes that many connections leave unread stay within the budget. */
std::size_t ReceiveBufferLimit(const ReaderBudget& aBudget, std::size_t aConnections);

/* Returns how many bytes of a new connection may wait in the kernel without being on the way, or 0
 * for no limit. */
std::size_t SendBacklogLimit(const ReaderBudget& aBudget, std::size_t aConnections);

/* Returns how many bytes of requests this daemon may have in flight at one endpoint, or 0 for no
 * limit. A request to an endpoint that has none is always within it. */
std::size_t EndpointBytesLimit(const ReaderBudget& aBudget);

/* Returns how many bytes the messages of other daemons that are arriving may take, or 0 for no
 * limit. */
std::size_t MessageBytesLimit(const ReaderBudget& aBudget);

/* What the daemon holds for one reader. */
struct ReaderState
{
  std::uint64_t id = 0;
  std::size_t bytes = 0;
  Duration behindFor{}; ///< Time since the reader last had taken everything; 0: it is not behind.
  bool isArriving = false; ///< The bytes are of a request that has not come whole.
};

/* A reader that is to end, with the figures that decided it. */
struct ReaderToEnd
{
  std::uint64_t id = 0;
  std::size_t bytes = 0;
  std::size_t shareBytes = 0;
  Duration behindFor{};
};

/* Returns the readers to end, the one furthest behind for its share first, until the daemon is
 * within its budget. Returns none if aHeldBytes, which is held for all readers, is within it. */
std::vector<ReaderToEnd> ChooseReadersToEnd(const ReaderBudget& aBudget,
                                            std::size_t aHeldBytes,
                                            std::vector<ReaderState> aReaders);

} // namespace rhubarbtrail::fleet

#endif
