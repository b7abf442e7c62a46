#include "core/relay/SplitPicker.h"

namespace quetzallead {

std::size_t SplitPicker::pick(const Route &R) {
  std::map<std::string, double> &Credit = Owed[R.Name];
  std::map<std::string, double> Next;
  double Total = 0;
  std::size_t Best = 0;
  double BestCredit = 0;
  for (std::size_t I = 0; I < R.Services.size(); ++I) {
    const RouteService &S = R.Services[I];
    auto Known = Credit.find(S.Name);
    const double Value = (Known == Credit.end() ? 0 : Known->second) + S.Weight;
    Next[S.Name] = Value;
    Total += S.Weight;
    if (S.Weight > 0 && (BestCredit == 0 || Value > BestCredit)) {
      Best = I;
      BestCredit = Value;
    }
  }
  Next[R.Services[Best].Name] -= Total;
  Credit = std::move(Next);
  return Best;
}

} // namespace quetzallead
