#ifndef QUETZALLEAD_ATTEMPTRESULT_H
#define QUETZALLEAD_ATTEMPTRESULT_H

#include "quetzallead/HeldVersions.h"
#include "quetzallead/LoadReport.h"
#include "quetzallead/NameTable.h"
#include "quetzallead/Time.h"
#include <optional>

namespace quetzallead {

/// How one attempt at one backend server ended.
enum class AttemptResult {
  Answered,     ///< A whole, valid reply.
  Shed,         ///< Refused unrun: overloaded.
  Draining,     ///< Refused unrun: the server is leaving.
  Starting,     ///< Refused unrun: the server is not ready yet.
  Expired,      ///< Refused unrun: its deadline had passed at the server.
  WrongVersion, ///< Refused unrun: version or epoch is not held.
  NotSent,      ///< No byte reached the server.
  Lost,         ///< Sent, and no whole reply came.
  TimedOut,     ///< Sent, and no whole reply came in time.
  BadReply,     ///< Malformed, or for another request.
  Cancelled,    ///< No longer wanted.
  Unused,       ///< The permit was given back without an attempt.
};

inline constexpr NamedValue<AttemptResult> AttemptResultNames[] = {
    {AttemptResult::Answered, "answered"},
    {AttemptResult::Shed, "shed"},
    {AttemptResult::Draining, "draining"},
    {AttemptResult::Starting, "starting"},
    {AttemptResult::Expired, "expired"},
    {AttemptResult::WrongVersion, "wrong_version"},
    {AttemptResult::NotSent, "not_sent"},
    {AttemptResult::Lost, "lost"},
    {AttemptResult::TimedOut, "timed_out"},
    {AttemptResult::BadReply, "bad_reply"},
    {AttemptResult::Cancelled, "cancelled"},
    {AttemptResult::Unused, "unused"},
};

/// True if \p Result proves that the server did not execute the attempt.
inline bool provesNotRun(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::Shed:
  case AttemptResult::Draining:
  case AttemptResult::Starting:
  case AttemptResult::Expired:
  case AttemptResult::WrongVersion:
  case AttemptResult::NotSent:
  case AttemptResult::Unused:
    return true;
  default:
    return false;
  }
}

/// What an attempt taught about its backend server.
struct AttemptReport {
  AttemptResult Result = AttemptResult::Unused;
  /// From sending to the end of the attempt.
  Duration Elapsed = absl::ZeroDuration();
  std::optional<LoadReport> Load;
  std::optional<HeldVersions> Held;
};

} // namespace quetzallead

#endif // QUETZALLEAD_ATTEMPTRESULT_H
