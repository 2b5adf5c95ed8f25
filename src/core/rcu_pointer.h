/* A pointer that many threads read without locks and one thread replaces (read-copy-update). */
#ifndef RHUBARBTRAIL_CORE_RCU_POINTER_H
#define RHUBARBTRAIL_CORE_RCU_POINTER_H

#include <memory>
#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace rhubarbtrail {

/* Tells ThreadSanitizer, which does not understand read-copy-update, that a reader has finished. */
inline void AnnotateReaderEnd([[maybe_unused]] const void* aPointer)
{
#if defined(__SANITIZE_THREAD__)
  __tsan_release(const_cast<void*>(aPointer));
#endif
}

/* Tells ThreadSanitizer that all earlier readers have finished. */
inline void AnnotateGracePeriod([[maybe_unused]] const void* aPointer)
{
#if defined(__SANITIZE_THREAD__)
  __tsan_acquire(const_cast<void*>(aPointer));
#endif
}

/* Registers the calling thread as an RCU reader until the thread ends. */
class RcuReaderThread
{
public:
  static void Ensure() { thread_local const RcuReaderThread sThread; }

private:
  RcuReaderThread() { urcu_memb_register_thread(); }
  ~RcuReaderThread() { urcu_memb_unregister_thread(); }
};

/* Owns a value. Many threads read it without locks while one thread replaces it. */
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

  /* Calls aReader with the current value, which stays valid until aReader returns. Returns its
   * result. */
  template<typename Reader>
  auto Read(Reader&& aReader) const
  {
    RcuReaderThread::Ensure();
    struct ReadSection
    {
      explicit ReadSection(const void* aPointer)
        : pointer(aPointer)
      {
        urcu_memb_read_lock();
      }
      ~ReadSection()
      {
        AnnotateReaderEnd(pointer);
        urcu_memb_read_unlock();
      }
      const void* pointer;
    } const section{ &mValue };
    return aReader(*__atomic_load_n(&mValue, __ATOMIC_CONSUME));
  }

  /* Replaces the value, waits until no reader uses the old one, and deletes the old one. Must not
   * be called by two threads at once, nor from within Read(). */
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
