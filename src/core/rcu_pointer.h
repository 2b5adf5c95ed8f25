/* A pointer that many threads read without waiting and one thread replaces. */
#ifndef RHUBARBTRAIL_CORE_RCU_POINTER_H
#define RHUBARBTRAIL_CORE_RCU_POINTER_H

#include <memory>
#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace rhubarbtrail {

/* Tells the thread sanitizer, which does not know read-copy-update, that a reader has finished. */
inline void AnnotateReaderEnd([[maybe_unused]] const void* aPointer)
{
#if defined(__SANITIZE_THREAD__)
  __tsan_release(const_cast<void*>(aPointer));
#endif
}

/* Tells the thread sanitizer that all earlier readers have finished. */
inline void AnnotateGracePeriod([[maybe_unused]] const void* aPointer)
{
#if defined(__SANITIZE_THREAD__)
  __tsan_acquire(const_cast<void*>(aPointer));
#endif
}

/* Registers the calling thread as a reader until it ends. */
class RcuReaderThread
{
public:
  static void Ensure() { thread_local const RcuReaderThread sThread; }

private:
  RcuReaderThread() { urcu_memb_register_thread(); }
  ~RcuReaderThread() { urcu_memb_unregister_thread(); }
};

template<typename Value>
class RcuPointer
{
public:
  explicit RcuPointer(std::unique_ptr<const Value> aValue)
    : mValue(aValue.release())
  {
  }
  ~RcuPointer() { delete mValue; }
  RcuPointer(const RcuPointer&) = delete;
  RcuPointer& operator=(const RcuPointer&) = delete;

  /* Calls aReader with the current value, which stays valid until it returns. */
  template<typename Reader>
  auto Read(Reader&& aReader) const
  {
    RcuReaderThread::Ensure();
    struct Section
    {
      explicit Section(const void* aPointer)
        : pointer(aPointer)
      {
        urcu_memb_read_lock();
      }
      ~Section()
      {
        AnnotateReaderEnd(pointer);
        urcu_memb_read_unlock();
      }
      const void* pointer;
    } const section{ &mValue };
    return aReader(*__atomic_load_n(&mValue, __ATOMIC_CONSUME));
  }

  /* Replaces the value, and deletes the old one once no reader can see it. One writer only. */
  void Publish(std::unique_ptr<const Value> aValue)
  {
    const Value* old = __atomic_exchange_n(&mValue, aValue.release(), __ATOMIC_ACQ_REL);
    urcu_memb_synchronize_rcu();
    AnnotateGracePeriod(&mValue);
    delete old;
  }

private:
  const Value* mValue;
};

} // namespace rhubarbtrail

#endif
