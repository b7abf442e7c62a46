#include "runtime/FileText.h"
#include "absl/strings/str_cat.h"
#include <cerrno>
#include <cstring>
#include <fstream>

namespace quetzallead {

Result<std::string> readFileText(const std::string &Path,
                                 std::size_t MaxBytes) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return fail(ErrorCode::NotFound,
                absl::StrCat("cannot be opened: ", std::strerror(errno)), Path);
  std::string Text(MaxBytes + 1, '\0');
  In.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<std::size_t>(In.gcount()));
  if (In.bad())
    return fail(ErrorCode::NotFound, "cannot be read", Path);
  if (Text.size() > MaxBytes)
    return fail(ErrorCode::InvalidArgument,
                absl::StrCat("is longer than ", MaxBytes, " bytes"), Path);
  return Text;
}

} // namespace quetzallead
