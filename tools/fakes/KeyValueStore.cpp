#include "fakes/KeyValueStore.h"

namespace quetzallead {

const StoredValue *KeyValueStore::find(const std::string &Key) const {
  const auto Found = Values.find(Key);
  return Found == Values.end() ? nullptr : &Found->second;
}

std::uint64_t KeyValueStore::indexOf(const std::string &Key) const {
  const auto Found = Changed.find(Key);
  return Found == Changed.end() ? 1 : Found->second;
}

bool KeyValueStore::write(const StoreWrite &Write) {
  const StoredValue *Old = find(Write.Key);
  const std::uint64_t OldIndex = Old == nullptr ? 0 : Old->ModifyIndex;
  if (Write.CheckIndex && *Write.CheckIndex != OldIndex)
    return false;
  const std::string Holder = Old == nullptr ? "" : Old->Session;
  if (!Write.Acquire.empty() && !Holder.empty() && Holder != Write.Acquire)
    return false;
  if (!Write.Release.empty() && Holder != Write.Release)
    return false;
  StoredValue &Entry = Values[Write.Key];
  Entry.Value = Write.Value;
  Entry.ModifyIndex = ++LastIndex;
  if (!Write.Acquire.empty())
    Entry.Session = Write.Acquire;
  if (!Write.Release.empty())
    Entry.Session.clear();
  Changed[Write.Key] = LastIndex;
  return true;
}

bool KeyValueStore::erase(const std::string &Key,
                          std::optional<std::uint64_t> CheckIndex) {
  const StoredValue *Old = find(Key);
  const std::uint64_t OldIndex = Old == nullptr ? 0 : Old->ModifyIndex;
  if (CheckIndex && *CheckIndex != OldIndex)
    return false;
  if (Old == nullptr)
    return true;
  Values.erase(Key);
  Changed[Key] = ++LastIndex;
  return true;
}

std::vector<std::string> KeyValueStore::endSession(const std::string &Session,
                                                   bool Delete) {
  std::vector<std::string> Held;
  for (const auto &Item : Values)
    if (Item.second.Session == Session)
      Held.push_back(Item.first);
  for (const std::string &Key : Held) {
    if (Delete) {
      erase(Key, std::nullopt);
      continue;
    }
    StoredValue &Entry = Values[Key];
    Entry.Session.clear();
    Entry.ModifyIndex = ++LastIndex;
    Changed[Key] = LastIndex;
  }
  return Held;
}

} // namespace quetzallead
