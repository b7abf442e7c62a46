#ifndef QUETZALLEAD_SUBMISSION_H
#define QUETZALLEAD_SUBMISSION_H

#include "absl/strings/string_view.h"
#include "quetzallead/Error.h"
#include "quetzallead/Sheet.h"
#include <cstdint>
#include <string>

namespace quetzallead {

/// A sheet that an operator wants in force.
struct Submission {
  /// Chosen by the operator's tool; the same id may be submitted again, at any
  /// instance, and is accepted at most once.
  std::string Id;
  /// The revision that the operator saw; 0 if there was none.
  std::uint64_t BaseRevision = 0;
  std::string Author;
  std::string Reason;
  Sheet Content;
};

/// Reads {"submission_id", "base_revision", "author", "reason", "sheet"}, the
/// sheet as an object or as a text with comments. Fails with InvalidArgument;
/// Where is the field at fault, "sheet." in front of those of the sheet.
Result<Submission> parseSubmission(absl::string_view Text);

} // namespace quetzallead

#endif // QUETZALLEAD_SUBMISSION_H
