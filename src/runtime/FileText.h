#ifndef QUETZALLEAD_RUNTIME_FILETEXT_H
#define QUETZALLEAD_RUNTIME_FILETEXT_H

#include "quetzallead/Error.h"
#include <cstddef>
#include <string>

namespace quetzallead {

/// The content of the file at \p Path. Fails with NotFound if it cannot be
/// read and with InvalidArgument if it is longer than \p MaxBytes.
Result<std::string> readFileText(const std::string &Path, std::size_t MaxBytes);

/// Runs \p Read, which reads from the file at \p Path, and puts the path in
/// front of the Where of its error.
template <typename Fn>
auto namingFile(const std::string &Path, Fn &&Read) -> decltype(Read()) {
  auto Outcome = capture(Read);
  if (auto *Failure = std::get_if<Error>(&Outcome)) {
    std::string Field = std::move(Failure->Where);
    Failure->Where = Field.empty() ? Path : Path + ": " + Field;
    return leaf::new_error(std::move(*Failure));
  }
  return std::move(std::get<0>(Outcome));
}

} // namespace quetzallead

#endif // QUETZALLEAD_RUNTIME_FILETEXT_H
