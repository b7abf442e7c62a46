#ifndef QUETZALLEAD_TESTS_CORE_TOKENFAULTOF_H
#define QUETZALLEAD_TESTS_CORE_TOKENFAULTOF_H

#include "core/session/TokenFault.h"
#include "quetzallead/Error.h"
#include <optional>

namespace quetzallead {

/// The TokenFault that the Result of \p Try failed with; none if it succeeded.
template <typename Fn> std::optional<TokenFault> tokenFaultOf(Fn &&Try) {
  using Outcome = std::optional<TokenFault>;
  return leaf::try_handle_all(
      [&]() -> leaf::result<Outcome> {
        auto R = Try();
        if (!R)
          return R.error();
        return Outcome();
      },
      [](TokenFault Fault, const Error &E) {
        return E.Code == ErrorCode::PermissionDenied ? Outcome(Fault)
                                                     : Outcome();
      },
      [] { return Outcome(); });
}

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_CORE_TOKENFAULTOF_H
