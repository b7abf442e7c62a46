#ifndef QUETZALLEAD_TOOLS_FAKES_KEYVALUESTORE_H
#define QUETZALLEAD_TOOLS_FAKES_KEYVALUESTORE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzallead {

/// The value of one key.
struct StoredValue {
  std::string Value;
  std::uint64_t ModifyIndex = 0;
  /// Session that holds the key; empty if none does.
  std::string Session;
};

/// A write of one key and what it depends on.
struct StoreWrite {
  std::string Key;
  std::string Value;
  /// The key must have this index; 0 means that it must not exist.
  std::optional<std::uint64_t> CheckIndex;
  /// Session that takes or gives up the key; empty if none.
  std::string Acquire;
  std::string Release;
};

/// A key-value store with one index that grows with every change.
class KeyValueStore {
public:
  /// Null if the key does not exist.
  const StoredValue *find(const std::string &Key) const;
  /// Index of the key's last change, its deletion included; 1 if it never
  /// changed.
  std::uint64_t indexOf(const std::string &Key) const;
  /// False if a condition did not hold; then nothing changed.
  bool write(const StoreWrite &Write);
  /// False if \p CheckIndex is given and does not match.
  bool erase(const std::string &Key, std::optional<std::uint64_t> CheckIndex);
  /// Deletes or frees the keys that \p Session holds and returns them.
  std::vector<std::string> endSession(const std::string &Session, bool Delete);

private:
  std::uint64_t LastIndex = 1;
  std::map<std::string, StoredValue> Values;
  std::map<std::string, std::uint64_t> Changed;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_KEYVALUESTORE_H
