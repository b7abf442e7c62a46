#ifndef QUETZALLEAD_CORE_MEMBERSHIP_SHEETREPORT_H
#define QUETZALLEAD_CORE_MEMBERSHIP_SHEETREPORT_H

#include <cstdint>
#include <string>

namespace quetzallead {

/// Says that an instance has a sheet revision in force. A short form of its
/// record, since every instance sends one upon every change of the sheet.
struct SheetReport {
  std::string Instance;
  /// The low bits of its incarnation.
  std::uint32_t IncarnationTag = 0;
  std::uint64_t SheetRevision = 0;
};

inline std::uint32_t incarnationTag(std::uint64_t Incarnation) {
  return static_cast<std::uint32_t>(Incarnation);
}

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_SHEETREPORT_H
