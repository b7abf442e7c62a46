#include "core/relay/AdmissionPolicy.h"
#include <algorithm>

namespace quetzallead {

AdmissionDecision decideAdmission(const std::vector<ServiceOutlook> &Services,
                                  std::size_t NeededParts,
                                  Duration TimeToStart) {
  AdmissionDecision Out;
  std::vector<std::size_t> Paused;
  Duration LongestWait = absl::ZeroDuration();
  std::size_t InTimeCount = 0;
  for (std::size_t I = 0; I < Services.size(); ++I) {
    const ServiceOutlook &S = Services[I];
    Out.InTime.push_back(S.Reachable && S.Wait <= TimeToStart);
    if (Out.InTime.back())
      ++InTimeCount;
    else if (S.PauseLeft > absl::ZeroDuration())
      Paused.push_back(I);
    else if (S.Reachable && S.Wait != absl::InfiniteDuration() &&
             S.Wait > LongestWait) {
      LongestWait = S.Wait;
      Out.Decisive = I;
    }
  }
  if (InTimeCount >= NeededParts)
    return Out;
  const std::size_t Lacking = NeededParts - InTimeCount;
  if (LongestWait > absl::ZeroDuration()) {
    Out.Verdict = AdmissionVerdict::TooSlow;
    Out.Excess = LongestWait - TimeToStart;
  } else if (Paused.size() >= Lacking) {
    // The request can be served once enough of the pauses are over.
    auto Last = Paused.begin() + static_cast<std::ptrdiff_t>(Lacking - 1);
    std::nth_element(Paused.begin(), Last, Paused.end(),
                     [&](std::size_t A, std::size_t B) {
                       return Services[A].PauseLeft < Services[B].PauseLeft;
                     });
    Out.Verdict = AdmissionVerdict::Paused;
    Out.Decisive = *Last;
  } else {
    Out.Verdict = AdmissionVerdict::Unservable;
  }
  return Out;
}

} // namespace quetzallead
