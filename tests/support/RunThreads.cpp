#include "support/RunThreads.h"
#include <thread>
#include <vector>

namespace quetzallead {

void runThreads(int Count, const std::function<void(int)> &Fn) {
  std::vector<std::thread> Threads;
  Threads.reserve(static_cast<std::size_t>(Count));
  for (int Index = 0; Index < Count; ++Index)
    Threads.emplace_back(Fn, Index);
  for (std::thread &Thread : Threads)
    Thread.join();
}

} // namespace quetzallead
