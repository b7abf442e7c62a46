#ifndef QUETZALLEAD_CORE_CONFIG_SHEETSETTLING_H
#define QUETZALLEAD_CORE_CONFIG_SHEETSETTLING_H

#include "quetzallead/WriteOutcome.h"
#include <cstdint>
#include <memory>

namespace quetzallead {

struct SheetDocument;
struct SheetStep;
struct Submission;

// The way of a submission from its arrival to its outcome.

/// Takes in a submission, or joins \p Request to the same one if it waits.
void receiveSubmission(SheetStep &Step, std::uint64_t Request,
                       const Submission &What);

/// Settles submissions against the store's document, null if the key does not
/// exist, until one has to be written; starts that write.
void settleSubmissions(SheetStep &Step,
                       const std::shared_ptr<const SheetDocument> &Stored,
                       std::uint64_t Index);

/// Takes in what became of the write of the first submission.
void submissionWritten(SheetStep &Step, WriteOutcome Outcome);

/// Answers the calls whose time has come and gives up what is overdue.
void answerOverdue(SheetStep &Step);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_CONFIG_SHEETSETTLING_H
