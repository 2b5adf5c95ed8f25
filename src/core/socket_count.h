/* Counts the sockets that a process has open, against the limit on its descriptors. */
#ifndef RHUBARBTRAIL_CORE_SOCKET_COUNT_H
#define RHUBARBTRAIL_CORE_SOCKET_COUNT_H

#include <cstddef>
#include <utility>

namespace rhubarbtrail {

/* The number of open sockets of all holders. Not thread-safe. */
class SocketCount
{
public:
  std::size_t open() const { return mOpen; }

private:
  friend class CountedSocket;
  std::size_t mOpen = 0;
};

/* One open socket, counted from Open() to Close(). The count, which may be null, must outlive it.
 */
class CountedSocket
{
public:
  explicit CountedSocket(SocketCount* aCount)
    : mCount(aCount)
  {
  }
  ~CountedSocket() { Close(); }
  CountedSocket(const CountedSocket&) = delete;
  CountedSocket& operator=(const CountedSocket&) = delete;

  void Open()
  {
    if (mCount != nullptr && !std::exchange(mIsOpen, true)) {
      ++mCount->mOpen;
    }
  }
  void Close()
  {
    if (std::exchange(mIsOpen, false)) {
      --mCount->mOpen;
    }
  }

private:
  SocketCount* mCount;
  bool mIsOpen = false;
};

} // namespace rhubarbtrail

#endif
