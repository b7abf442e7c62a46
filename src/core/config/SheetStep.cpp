#include "core/config/SheetStep.h"
#include <algorithm>

namespace quetzallead {

std::uint64_t heldRevision(const SheetStoreState &S) {
  return S.Held ? S.Held->Revision : 0;
}

std::uint64_t beginCall(SheetStoreState &S, StoreCall Purpose) {
  S.Current = Purpose;
  S.CurrentCall = ++S.LastCall;
  return S.CurrentCall;
}

Duration jitteredPause(SheetStoreState &S, int Failures) {
  constexpr int MaxDoublings = 16;
  Duration Longest =
      S.Options.RetryLeast * (1 << std::min(Failures, MaxDoublings));
  Longest = std::min(Longest, S.Options.RetryMost);
  std::uniform_real_distribution<double> Share(0.5, 1.0);
  return Longest * Share(S.Random);
}

void pauseStore(SheetStep &Step) {
  Step.S.RetryAt = Step.Now + jitteredPause(Step.S, Step.S.Failures);
  ++Step.S.Failures;
}

void writeDocument(SheetStep &Step, StoreCall Purpose,
                   std::shared_ptr<const SheetDocument> Document,
                   std::string Text, std::uint64_t Index) {
  SheetAction::Write Write;
  Write.Call = beginCall(Step.S, Purpose);
  Write.Key = Step.S.Options.SheetKey;
  Write.Value = std::move(Text);
  Write.Index = Index;
  Step.S.Written = std::move(Document);
  Step.act(std::move(Write));
}

} // namespace quetzallead
