#ifndef QUETZALLEAD_TRANSPORT_PLATFORM_KVENTRY_H
#define QUETZALLEAD_TRANSPORT_PLATFORM_KVENTRY_H

#include <cstdint>
#include <string>

namespace quetzallead {

/// A key of the platform's store with its value.
struct KvEntry {
  std::string Key;
  std::string Value;
  /// Index of the last write to the key; compare-and-swap compares it.
  std::uint64_t ModifyIndex = 0;
  /// Session that holds the key; empty if none.
  std::string Session;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PLATFORM_KVENTRY_H
