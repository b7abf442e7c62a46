#ifndef QUETZALLEAD_CORE_SHEET_SHEETLIMITS_H
#define QUETZALLEAD_CORE_SHEET_SHEETLIMITS_H

#include "quetzallead/Time.h"
#include <cstddef>
#include <cstdint>

namespace quetzallead {

/// Bounds on what a sheet may state.
struct SheetLimits {
  static constexpr std::size_t MaxBytes = std::size_t{900} * 1024;
  static constexpr std::size_t MaxZones = 16;
  static constexpr std::size_t MaxServices = 256;
  static constexpr std::size_t MaxShardsPerService = 1024;
  static constexpr std::size_t MaxServersPerShard = 64;
  static constexpr std::size_t MaxServers = 8192;
  static constexpr std::size_t MaxKeyBytes = 256;
  static constexpr std::int64_t MaxSlots = 1024;
  static constexpr std::int64_t MaxConnections = 65536;
  static constexpr Duration MaxTimeout = absl::Minutes(10);
  static constexpr Duration MaxConnectTime = absl::Seconds(10);
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_SHEET_SHEETLIMITS_H
