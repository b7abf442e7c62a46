#ifndef QUETZALLEAD_POSIXMUTEX_H
#define QUETZALLEAD_POSIXMUTEX_H

#include "absl/base/thread_annotations.h"
#include <mutex>

namespace quetzallead {

/// A mutex of the POSIX threads library. Used in place of absl::Mutex, whose
/// packaged build the thread sanitizer cannot see into.
class ABSL_LOCKABLE PosixMutex {
public:
  void lock() ABSL_EXCLUSIVE_LOCK_FUNCTION() { M.lock(); }
  void unlock() ABSL_UNLOCK_FUNCTION() { M.unlock(); }
  /// Tells static analysis that the caller holds the mutex.
  void assertHeld() const ABSL_ASSERT_EXCLUSIVE_LOCK() {}
  /// For waiting on a std::condition_variable.
  std::mutex &native() { return M; }

private:
  std::mutex M;
};

/// Holds a PosixMutex while it lives.
class ABSL_SCOPED_LOCKABLE PosixMutexLock {
public:
  explicit PosixMutexLock(PosixMutex *Mutex) ABSL_EXCLUSIVE_LOCK_FUNCTION(Mutex)
      : Held(Mutex) {
    Held->lock();
  }
  ~PosixMutexLock() ABSL_UNLOCK_FUNCTION() { Held->unlock(); }
  PosixMutexLock(const PosixMutexLock &) = delete;
  PosixMutexLock &operator=(const PosixMutexLock &) = delete;

private:
  PosixMutex *Held;
};

} // namespace quetzallead

#endif // QUETZALLEAD_POSIXMUTEX_H
