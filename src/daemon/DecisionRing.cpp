#include "daemon/DecisionRing.h"

namespace quetzallead {

void DecisionRing::add(DecisionRecord Record) {
  PosixMutexLock Lock(&Mutex);
  std::string Id = Record.RequestId;
  bool New = Records.insert_or_assign(Id, std::move(Record)).second;
  if (!New)
    return;
  Order.push_back(std::move(Id));
  if (Order.size() <= Capacity)
    return;
  Records.erase(Order.front());
  Order.pop_front();
}

std::optional<DecisionRecord>
DecisionRing::find(const std::string &RequestId) const {
  PosixMutexLock Lock(&Mutex);
  auto It = Records.find(RequestId);
  if (It == Records.end())
    return std::nullopt;
  return It->second;
}

} // namespace quetzallead
