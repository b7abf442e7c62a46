#ifndef QUETZALLEAD_CORE_CONFIG_PENDINGSUBMISSION_H
#define QUETZALLEAD_CORE_CONFIG_PENDINGSUBMISSION_H

#include "quetzallead/SheetDocument.h"
#include "quetzallead/Submission.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace quetzallead {

/// A submission that is not settled yet.
struct PendingSubmission {
  Submission What;
  /// sheetDigest() of its sheet.
  std::string Digest;
  /// Operators' calls that wait for the outcome.
  std::vector<std::uint64_t> Requests;
  /// When they are told that it is not known yet.
  TimePoint AnswerBy;
  /// When settling is given up.
  TimePoint GiveUpAt;
  /// A write of it may have taken effect, or may yet.
  bool Uncertain = false;
  /// The document last written for it and the index it was compared with, so
  /// that the same can be sent again.
  std::shared_ptr<const SheetDocument> Built;
  std::uint64_t BuiltAtIndex = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_CONFIG_PENDINGSUBMISSION_H
