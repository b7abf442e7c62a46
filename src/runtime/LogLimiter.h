#ifndef QUETZALLEAD_RUNTIME_LOGLIMITER_H
#define QUETZALLEAD_RUNTIME_LOGLIMITER_H

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "quetzallead/Time.h"
#include <cstdint>
#include <string>

namespace quetzallead {

/// Bounds the number of log lines a second, event by event, so that a flood of
/// one kind leaves room for the others. Not thread-safe.
class LogLimiter {
public:
  /// \p LinesPerSecond holds for each event; the first second may see twice as
  /// many.
  explicit LogLimiter(double LinesPerSecond);

  /// True if a line of \p Event may be written; counts it as dropped if not.
  bool admit(absl::string_view Event, TimePoint Now);
  /// A line that was admitted could not be written.
  void noteUnwritten(std::uint64_t Lines) { Dropped += Lines; }
  /// Lines that were dropped since the last call, once a second at most;
  /// otherwise 0.
  std::uint64_t takeDropped(TimePoint Now);

private:
  struct Bucket {
    double Tokens = 0;
    TimePoint FilledAt;
  };

  double LinesPerSecond;
  absl::flat_hash_map<std::string, Bucket> Buckets;
  std::uint64_t Dropped = 0;
  TimePoint ToldAt = absl::InfinitePast();
};

} // namespace quetzallead

#endif // QUETZALLEAD_RUNTIME_LOGLIMITER_H
