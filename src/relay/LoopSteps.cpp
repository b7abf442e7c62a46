#include "relay/LoopSteps.h"
#include "relay/LoopTimers.h"

namespace quetzallead {

LoopSteps::Step::Step(const LoopSteps &GivenSteps, LoopTask GivenTask)
    : Steps(GivenSteps), Task(GivenTask), Begun(LoopTimers::now()) {}

LoopSteps::Step::~Step() {
  const Duration Time = LoopTimers::now() - Begun;
  if (Time > MaxStep && Steps.OnLongStep)
    Steps.OnLongStep(Task, Time);
}

} // namespace quetzallead
