/* Counts the bytes that a process holds in buffers, against a limit. */
#ifndef RHUBARBTRAIL_CORE_BYTE_ACCOUNT_H
#define RHUBARBTRAIL_CORE_BYTE_ACCOUNT_H

#include <cstddef>
#include <functional>
#include <utility>

namespace rhubarbtrail {

/* The sum of what all holders hold. Not thread-safe. */
class ByteAccount
{
public:
  /* Sets the limit, 0 for none, and the handler that is called whenever a holder takes more while
   * the sum exceeds it. The handler must not change what is held; it runs inside the holder. */
  void SetLimit(std::size_t aLimit, std::function<void()> aOnExceeded)
  {
    mLimit = aLimit;
    mOnExceeded = std::move(aOnExceeded);
  }

  std::size_t held() const { return mHeld; }
  std::size_t peak() const { return mPeak; }

private:
  friend class HeldBytes;

  void Replace(std::size_t aFormer, std::size_t aPresent)
  {
    mHeld += aPresent - aFormer; // Unsigned arithmetic: right also if it is less.
    if (aPresent > aFormer) {
      mPeak = mHeld > mPeak ? mHeld : mPeak;
      if (mLimit > 0 && mHeld > mLimit) {
        mOnExceeded();
      }
    }
  }

  std::size_t mHeld = 0;
  std::size_t mPeak = 0;
  std::size_t mLimit = 0;
  std::function<void()> mOnExceeded;
};

/* What one holder holds. The account, which may be null, must outlive it. */
class HeldBytes
{
public:
  explicit HeldBytes(ByteAccount* aAccount)
    : mAccount(aAccount)
  {
  }
  ~HeldBytes() { Set(0); }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  void Set(std::size_t aBytes)
  {
    const std::size_t former = std::exchange(mBytes, aBytes);
    if (mAccount != nullptr && former != aBytes) {
      mAccount->Replace(former, aBytes);
    }
  }
  std::size_t bytes() const { return mBytes; }

private:
  ByteAccount* mAccount;
  std::size_t mBytes = 0;
};

} // namespace rhubarbtrail

#endif
