#include "absl/strings/str_cat.h"
#include "core/relay/RelayRequest.h"
#include <algorithm>

// What a RelayRequest tells logs, metrics and the account of memory.

namespace quetzallead {

std::size_t RelayRequest::heldBytes() const {
  std::size_t Bytes = 0;
  for (const Part &P : Parts)
    for (const auto &Response : {P.Response, P.ErrorResponse})
      Bytes += Response != nullptr ? Response->Body.size() : 0;
  return Bytes;
}

std::size_t RelayRequest::hedgesWithheld(HedgeWithheldReason Obstacle) const {
  return static_cast<std::size_t>(
      std::count_if(Parts.begin(), Parts.end(), [Obstacle](const Part &P) {
        return P.Obstacle == Obstacle;
      }));
}

std::string RelayRequest::describe(bool OnlyMissing) const {
  std::string Text;
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    if (OnlyMissing && Parts[I].State == PartState::Answered)
      continue;
    absl::StrAppend(&Text, Text.empty() ? "" : " ", Plan.Targets[I].Service,
                    "(");
    const char *Separator = "";
    for (const Attempt &A : Attempts) {
      if (A.Part != I)
        continue;
      absl::StrAppend(&Text, Separator, A.Server->Info.Id, "@",
                      absl::ToInt64Milliseconds(A.Sent - Plan.ArrivalTime),
                      A.InFlight ? "" : "!");
      Separator = ",";
    }
    if (Parts[I].Obstacle != HedgeWithheldReason::None)
      absl::StrAppend(&Text, Separator,
                      nameOf(HedgeWithheldReasonNames, Parts[I].Obstacle));
    absl::StrAppend(&Text, ")");
  }
  return Text;
}

} // namespace quetzallead
