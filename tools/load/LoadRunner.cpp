#include "load/LoadRunner.h"
#include "load/Arrival.h"
#include "load/CountDown.h"
#include "runtime/TimerService.h"
#include <memory>

namespace quetzallead {

std::vector<LoadRecord> runLoad(const std::vector<Arrival> &Arrivals,
                                TimePoint Start, TimerService &Timer,
                                const LoadSender &Send) {
  std::vector<LoadRecord> Records(Arrivals.size());
  CountDown Waiting(static_cast<int>(Arrivals.size()));
  std::vector<std::shared_ptr<TimerService::Subscription>> Timers;
  Timers.reserve(Arrivals.size());
  for (std::size_t I = 0; I < Arrivals.size(); ++I) {
    const Arrival &Next = Arrivals[I];
    const TimePoint Intended = Start + Next.Offset;
    const RecordSink Sink = [&Records, &Waiting, I](LoadRecord Record) {
      Records[I] = std::move(Record);
      Waiting.decrement();
    };
    Timers.push_back(
        Timer.at(Intended, [&Next, &Send, Intended, Sink](TimePoint) {
          Send(Next, Intended, Sink);
        }));
  }
  Waiting.wait();
  return Records;
}

} // namespace quetzallead
