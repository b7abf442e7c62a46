#ifndef QUETZALLEAD_TESTS_SUPPORT_TEMPFOLDER_H
#define QUETZALLEAD_TESTS_SUPPORT_TEMPFOLDER_H

#include <string>

namespace quetzallead {

/// A new folder that is removed with its files when destroyed.
class TempFolder {
public:
  TempFolder();
  ~TempFolder();
  TempFolder(const TempFolder &) = delete;
  TempFolder &operator=(const TempFolder &) = delete;

  /// Writes \p Text to the file \p Name, readable by its owner only, and
  /// returns its path.
  std::string write(const std::string &Name, const std::string &Text) const;

private:
  std::string Path;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_TEMPFOLDER_H
