#include "relay/MemoryHold.h"
#include "relay/MemoryGuard.h"

namespace quetzallead {

MemoryHold::MemoryHold(MemoryGuard *GivenGuard, MemoryUse Use)
    : Guard(GivenGuard) {
  Held.Use = Use;
  if (Guard != nullptr)
    Guard->add(*this);
}

MemoryHold::~MemoryHold() {
  if (Guard != nullptr)
    Guard->remove(*this);
}

void MemoryHold::resize(std::size_t Bytes) {
  if (Guard != nullptr)
    Guard->resize(*this, Bytes);
}

bool MemoryHold::mayRead() const {
  return Guard == nullptr || Guard->mayRead(*this);
}

void MemoryHold::pause() {
  if (Guard != nullptr)
    Guard->pause(*this);
}

} // namespace quetzallead
