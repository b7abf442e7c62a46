#include "core/relay/HandOver.h"

namespace quetzallead {

HandOver chooseHandOver(const HandOverQuestion &Question) {
  if (!Question.ServersLost && !Question.OutOfReach)
    return HandOver::None;
  const bool AsksOthers = Question.ServersLost || !Question.HandedOver;
  if (Question.FromInstance) {
    if (Question.Begun)
      return Question.MayBeRepeated ? HandOver::Abandon : HandOver::None;
    return AsksOthers ? HandOver::PassBack : HandOver::None;
  }
  if (Question.HandedOver || !Question.HomeAvailable || !Question.MayBeRepeated)
    return HandOver::None;
  return Question.ServersLost || !Question.KnownUnservable ? HandOver::ToHome
                                                           : HandOver::None;
}

} // namespace quetzallead
