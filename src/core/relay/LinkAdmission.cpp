#include "core/relay/LinkAdmission.h"

namespace quetzallead {

PassBackReason passBackReason(const LinkAdmission &A) {
  if (A.Stopping)
    return PassBackReason::Stopping;
  if (!A.Ready)
    return PassBackReason::NotReady;
  // A request that has been passed back once is served, so that it does not
  // circle.
  if (A.HandsOver && !A.PassedBack)
    return PassBackReason::StoreLost;
  if (A.SheetVersion < A.AskersVersion)
    return PassBackReason::OlderSheet;
  if (A.AskerRepeats && A.Matched != nullptr &&
      !permitsSecondHome(*A.Matched, 0))
    return PassBackReason::NotRepeatable;
  return PassBackReason::None;
}

} // namespace quetzallead
