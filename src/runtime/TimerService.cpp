#include "runtime/TimerService.h"

#include "absl/time/clock.h"
#include <algorithm>
#include <cassert>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace quetzallead {
namespace {

using SteadyClock = std::chrono::steady_clock;

/// Cancelled timers that may stand in the heap before it is rebuilt.
constexpr std::size_t MinCancelledToCompact = 256;

/// Wall time at construction, plus the steady clock's progress since.
class AnchoredClock {
public:
  TimePoint now() const {
    return WallStart + absl::FromChrono(SteadyClock::now() - SteadyStart);
  }
  SteadyClock::time_point toSteady(TimePoint When) const {
    return SteadyStart + absl::ToChronoNanoseconds(When - WallStart);
  }

private:
  TimePoint WallStart = absl::Now();
  SteadyClock::time_point SteadyStart = SteadyClock::now();
};

struct Timer {
  TimePoint When;
  /// Zero for a timer that fires once.
  Duration Period;
  TimerService::Callback Fn;
  /// Order among timers of the same time.
  std::uint64_t Sequence = 0;
  bool Cancelled = false;
  bool InHeap = false;
};

using TimerPtr = std::shared_ptr<Timer>;

bool firesLater(const TimerPtr &A, const TimerPtr &B) {
  if (A->When != B->When)
    return A->When > B->When;
  return A->Sequence > B->Sequence;
}

/// The timers and the loop that fires them. Shared with the subscriptions,
/// which may outlive the service. Callbacks run and are destroyed without the
/// lock.
class TimerQueue {
public:
  TimePoint now() const { return Clock.now(); }

  void add(const TimerPtr &T) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Stopped)
      return;
    T->Sequence = NextSequence++;
    push(T);
    if (Heap.front() == T)
      Changed.notify_one();
  }

  /// Returns once the callback of \p T is not running and never will again.
  void cancel(const TimerPtr &T) {
    TimerService::Callback Dropped;
    std::unique_lock<std::mutex> Lock(Mutex);
    T->Cancelled = true;
    if (Running == T) {
      if (std::this_thread::get_id() != LoopThread)
        Finished.wait(Lock, [&] { return Running != T; });
      return;
    }
    Dropped = std::move(T->Fn);
    if (T->InHeap)
      ++CancelledInHeap;
    compactIfWorthwhile();
    Lock.unlock();
  }

  void runLoop() {
    std::unique_lock<std::mutex> Lock(Mutex);
    LoopThread = std::this_thread::get_id();
    while (!Stopped) {
      if (Heap.empty()) {
        Changed.wait(Lock);
        continue;
      }
      const TimePoint Now = Clock.now();
      const TimePoint Next = Heap.front()->When;
      if (Next > Now)
        waitUntil(Lock, std::min(Next, Now + longestWait()));
      else
        fire(Lock, pop());
    }
  }

  void stop() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopped = true;
    Changed.notify_one();
  }

  /// Drops the remaining timers; called after the loop has ended.
  void clear() {
    std::vector<TimerService::Callback> Dropped;
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const TimerPtr &T : Heap) {
      Dropped.push_back(std::move(T->Fn));
      T->InHeap = false;
    }
    Heap.clear();
  }

private:
  /// Bounds one wait, so that times far in the future do not overflow.
  static Duration longestWait() { return absl::Hours(1); }

  void push(const TimerPtr &T) {
    T->InHeap = true;
    Heap.push_back(T);
    std::push_heap(Heap.begin(), Heap.end(), firesLater);
  }

  TimerPtr pop() {
    std::pop_heap(Heap.begin(), Heap.end(), firesLater);
    TimerPtr T = std::move(Heap.back());
    Heap.pop_back();
    T->InHeap = false;
    if (T->Cancelled)
      --CancelledInHeap;
    return T;
  }

  void compactIfWorthwhile() {
    if (CancelledInHeap < MinCancelledToCompact ||
        CancelledInHeap * 2 < Heap.size())
      return;
    const auto NewEnd =
        std::remove_if(Heap.begin(), Heap.end(), [](const TimerPtr &T) {
          T->InHeap = !T->Cancelled;
          return T->Cancelled;
        });
    Heap.erase(NewEnd, Heap.end());
    std::make_heap(Heap.begin(), Heap.end(), firesLater);
    CancelledInHeap = 0;
  }

  void waitUntil(std::unique_lock<std::mutex> &Lock, TimePoint When) {
    Changed.wait_until(Lock, Clock.toSteady(When));
  }

  void fire(std::unique_lock<std::mutex> &Lock, const TimerPtr &T) {
    if (T->Cancelled)
      return;
    Running = T;
    Lock.unlock();
    const TimePoint Now = Clock.now();
    T->Fn(Now);
    Lock.lock();
    if (T->Period > absl::ZeroDuration() && !T->Cancelled && !Stopped) {
      T->When = std::max(T->When + T->Period, Now);
      T->Sequence = NextSequence++;
      push(T);
    } else {
      TimerService::Callback Dropped = std::move(T->Fn);
      T->Fn = nullptr;
      Lock.unlock();
      Dropped = nullptr;
      Lock.lock();
    }
    Running = nullptr;
    Finished.notify_all();
  }

  AnchoredClock Clock;
  std::mutex Mutex;
  /// The first timer of the heap is another, or the queue was stopped.
  std::condition_variable Changed;
  /// A callback has ended.
  std::condition_variable Finished;
  std::vector<TimerPtr> Heap;
  std::size_t CancelledInHeap = 0;
  std::uint64_t NextSequence = 0;
  TimerPtr Running;
  std::thread::id LoopThread;
  bool Stopped = false;
};

} // namespace

class TimerService::Subscription {
public:
  Subscription(std::shared_ptr<TimerQueue> OwningQueue, TimerPtr OwnTimer)
      : Queue(std::move(OwningQueue)), Own(std::move(OwnTimer)) {}
  Subscription(const Subscription &) = delete;
  Subscription &operator=(const Subscription &) = delete;
  ~Subscription() { Queue->cancel(Own); }

private:
  std::shared_ptr<TimerQueue> Queue;
  TimerPtr Own;
};

namespace {

class ThreadedTimerService : public TimerService {
public:
  ThreadedTimerService() : Loop([Q = Queue] { Q->runLoop(); }) {}

  ~ThreadedTimerService() override {
    assert(std::this_thread::get_id() != Loop.get_id());
    Queue->stop();
    Loop.join();
    Queue->clear();
  }

  TimePoint now() const override { return Queue->now(); }

  std::shared_ptr<Subscription> every(Duration Period, Callback Fn) override {
    assert(Period > absl::ZeroDuration());
    return subscribe(now() + Period, Period, std::move(Fn));
  }

  std::shared_ptr<Subscription> at(TimePoint When, Callback Fn) override {
    return subscribe(When, absl::ZeroDuration(), std::move(Fn));
  }

private:
  std::shared_ptr<Subscription> subscribe(TimePoint When, Duration Period,
                                          Callback Fn) {
    auto T = std::make_shared<Timer>();
    T->When = When;
    T->Period = Period;
    T->Fn = std::move(Fn);
    auto Sub = std::make_shared<Subscription>(Queue, T);
    Queue->add(T);
    return Sub;
  }

  std::shared_ptr<TimerQueue> Queue = std::make_shared<TimerQueue>();
  std::thread Loop;
};

} // namespace

std::unique_ptr<TimerService> TimerService::make() {
  return std::make_unique<ThreadedTimerService>();
}

} // namespace quetzallead
