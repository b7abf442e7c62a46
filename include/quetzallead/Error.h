#ifndef QUETZALLEAD_ERROR_H
#define QUETZALLEAD_ERROR_H

#include "absl/strings/string_view.h"
#include <boost/leaf.hpp>
#include <string>
#include <utility>
#include <variant>

namespace quetzallead {

namespace leaf = boost::leaf;

/// What kind of failure an operation ended with.
enum class ErrorCode {
  InvalidArgument,   ///< The input breaks a rule; the message says which.
  NotFound,          ///< The named thing does not exist.
  Conflict,          ///< Another writer was first.
  Unavailable,       ///< The other side could not be reached; nothing was done.
  Unknown,           ///< It cannot be told whether the operation took effect.
  PermissionDenied,  ///< A credential is missing, forged or expired.
  ResourceExhausted, ///< A limit was reached.
  Internal,          ///< A defect of this program.
};

/// The stable lower-case name of \p Code, used in logs and on the wire.
absl::string_view errorCodeName(ErrorCode Code);

/// The error object that travels with a failed Result.
struct Error {
  ErrorCode Code = ErrorCode::Internal;
  /// One sentence that says what to change.
  std::string Message;
  /// File, line or field at fault; empty if none applies.
  std::string Where;

  /// "where: message", or the message alone.
  std::string text() const;
};

template <typename T> using Result = leaf::result<T>;

/// A failed Result that carries one Error.
inline leaf::error_id fail(ErrorCode Code, std::string Message,
                           std::string Where = std::string()) {
  return leaf::new_error(Error{Code, std::move(Message), std::move(Where)});
}

/// Runs \p Try, which returns a Result<T>, and returns either its value or its
/// Error. Every Result is consumed through this, on the thread that made it.
template <typename Fn>
auto capture(Fn &&Try)
    -> std::variant<std::decay_t<decltype(Try().value())>, Error> {
  using T = std::decay_t<decltype(Try().value())>;
  using Outcome = std::variant<T, Error>;
  return leaf::try_handle_all(
      [&]() -> leaf::result<Outcome> {
        auto R = Try();
        if (!R)
          return R.error();
        return Outcome(std::move(R.value()));
      },
      [](const Error &E) { return Outcome(E); },
      [] {
        return Outcome(Error{ErrorCode::Internal, "unclassified error", ""});
      });
}

} // namespace quetzallead

#endif // QUETZALLEAD_ERROR_H
