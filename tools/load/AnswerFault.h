#ifndef QUETZALLEAD_LOAD_ANSWERFAULT_H
#define QUETZALLEAD_LOAD_ANSWERFAULT_H

#include "quetzallead/NameTable.h"

namespace quetzallead {

/// What an answer gets wrong.
enum class AnswerFault {
  None,
  Malformed,      ///< Not the JSON that the protocol describes.
  WrongId,        ///< Body and header name different requests.
  RepeatedId,     ///< An earlier answer carried the same identifier.
  WrongService,   ///< Another service's answer.
  WrongKey,       ///< A lookup's row has another key than was asked for.
  MixedSnapshots, ///< A row is of another version than the answer states.
  OlderSnapshot,  ///< The session had seen a newer version.
  WrongCoverage,  ///< The coverage does not add up or contradicts the rows.
  RepeatedRow,    ///< A row stands in the answer twice.
  WrongRunState,  ///< The status contradicts the run state.
};

inline constexpr NamedValue<AnswerFault> AnswerFaultNames[] = {
    {AnswerFault::None, "none"},
    {AnswerFault::Malformed, "malformed"},
    {AnswerFault::WrongId, "wrong_id"},
    {AnswerFault::RepeatedId, "repeated_id"},
    {AnswerFault::WrongService, "wrong_service"},
    {AnswerFault::WrongKey, "wrong_key"},
    {AnswerFault::MixedSnapshots, "mixed_snapshots"},
    {AnswerFault::OlderSnapshot, "older_snapshot"},
    {AnswerFault::WrongCoverage, "wrong_coverage"},
    {AnswerFault::RepeatedRow, "repeated_row"},
    {AnswerFault::WrongRunState, "wrong_run_state"},
};

} // namespace quetzallead

#endif // QUETZALLEAD_LOAD_ANSWERFAULT_H
