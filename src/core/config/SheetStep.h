#ifndef QUETZALLEAD_CORE_CONFIG_SHEETSTEP_H
#define QUETZALLEAD_CORE_CONFIG_SHEETSTEP_H

#include "core/config/SheetStoreState.h"
#include "quetzallead/SheetAction.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace quetzallead {

/// One step of a SheetStore: the state, the time, and the actions so far.
struct SheetStep {
  SheetStoreState &S;
  const TimePoint Now;
  std::vector<SheetAction> Actions;

  template <typename T> void act(T Action) {
    Actions.push_back(SheetAction{std::move(Action)});
  }
};

/// Revision in force; 0 if none.
std::uint64_t heldRevision(const SheetStoreState &S);

/// Starts the next call to the store.
std::uint64_t beginCall(SheetStoreState &S, StoreCall Purpose);

/// Puts off the next store call, longer with each call in a row.
void pauseStore(SheetStep &Step);

/// Pause after \p Failures failures in a row, with jitter.
Duration jitteredPause(SheetStoreState &S, int Failures);

/// Writes a document under the sheet's key.
void writeDocument(SheetStep &Step, StoreCall Purpose,
                   std::shared_ptr<const SheetDocument> Document,
                   std::string Text, std::uint64_t Index);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_CONFIG_SHEETSTEP_H
