#ifndef QUETZALLEAD_TESTS_SUPPORT_RUNTHREADS_H
#define QUETZALLEAD_TESTS_SUPPORT_RUNTHREADS_H

#include <functional>

namespace quetzallead {

/// Calls \p Fn with 0 to \p Count - 1, each on a thread of its own, and waits
/// for all.
void runThreads(int Count, const std::function<void(int)> &Fn);

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_RUNTHREADS_H
