#include "support/TempFolder.h"
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace quetzallead {

namespace fs = std::filesystem;

TempFolder::TempFolder() {
  std::string Pattern =
      (fs::temp_directory_path() / "quetzallead-test-XXXXXX").string();
  if (mkdtemp(Pattern.data()) != nullptr)
    Path = Pattern;
}

TempFolder::~TempFolder() {
  std::error_code Ignored;
  if (!Path.empty())
    fs::remove_all(Path, Ignored);
}

std::string TempFolder::write(const std::string &Name,
                              const std::string &Text) const {
  std::string File = (fs::path(Path) / Name).string();
  std::ofstream(File) << Text;
  fs::permissions(File, fs::perms::owner_read | fs::perms::owner_write);
  return File;
}

} // namespace quetzallead
