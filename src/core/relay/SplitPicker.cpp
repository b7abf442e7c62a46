#include "core/relay/SplitPicker.h"

namespace quetzallead {

std::size_t SplitPicker::pick(const Route &R) {
  std::map<std::string, double> &RouteCredits = Credits[R.Name];
  std::map<std::string, double> NewCredits;
  double Total = 0;
  std::size_t Best = 0;
  double BestCredit = 0;
  for (std::size_t I = 0; I < R.Services.size(); ++I) {
    const RouteService &S = R.Services[I];
    auto Previous = RouteCredits.find(S.Name);
    const double Credit =
        (Previous == RouteCredits.end() ? 0 : Previous->second) + S.Weight;
    NewCredits[S.Name] = Credit;
    Total += S.Weight;
    if (S.Weight > 0 && (BestCredit == 0 || Credit > BestCredit)) {
      Best = I;
      BestCredit = Credit;
    }
  }
  NewCredits[R.Services[Best].Name] -= Total;
  RouteCredits = std::move(NewCredits);
  return Best;
}

} // namespace quetzallead
