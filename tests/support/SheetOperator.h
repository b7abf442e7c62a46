#ifndef QUETZALLEAD_TESTS_SUPPORT_SHEETOPERATOR_H
#define QUETZALLEAD_TESTS_SUPPORT_SHEETOPERATOR_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace quetzallead {

class TestFleet;

/// What an operator was told of a change.
struct SheetVerdict {
  /// The outcome in the answer, or "no_answer".
  std::string Outcome;
  std::uint64_t Revision = 0;
};

/// A sheet on its way, which may be submitted again under the same id.
struct TestSheetChange {
  std::string Id;
  std::uint64_t Base = 0;
  nlohmann::json Sheet;
};

/// Changes the sheet of a fleet through its daemons. Thread-safe.
class SheetOperator {
public:
  explicit SheetOperator(TestFleet &Under) : Fleet(Under) {}

  /// A change upon revision \p Base to a sheet unlike all others.
  TestSheetChange make(std::uint64_t Base);
  SheetVerdict submit(std::size_t Index, const TestSheetChange &Change);
  /// Submits the change until its outcome is known; the last answer after a
  /// generous limit.
  SheetVerdict settle(std::size_t Index, const TestSheetChange &Change);

  /// The revision that governs the daemon; 0 if it does not say.
  std::uint64_t revisionAt(std::size_t Index);
  /// Entries of the change in the audit that the daemon shows.
  int auditedAt(std::size_t Index, const std::string &Id);

private:
  TestFleet &Fleet;
  std::atomic<int> Made{0};
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_SHEETOPERATOR_H
