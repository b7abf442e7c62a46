#ifndef QUETZALLEAD_CORE_RELAY_CRASHSUSPECTS_H
#define QUETZALLEAD_CORE_RELAY_CRASHSUSPECTS_H

#include "quetzallead/Time.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzallead {

/// What one instance tells another about requests of one content. Ages are
/// relative to the time of the message, since clocks differ.
struct CrashReport {
  std::string Fingerprint;
  /// Ages of the ends of backend servers, by incarnation.
  std::map<std::string, Duration> Ends;
  /// Age of the last complete response; empty if there was none.
  std::optional<Duration> ServedAge;
};

/// Requests under which backend servers have ended, by the fingerprint of their
/// content.
///
/// Handles a request that ends each server that runs it and that its caller
/// repeats at any instance: after MaxEnds servers it is blocked. Requests that
/// merely ran beside it are told from it by a complete response, which clears
/// them. Reports of other instances are merged in any order and any number of
/// times with the same result. Not thread-safe.
class CrashSuspects {
public:
  /// Servers that may end before a request is blocked.
  static constexpr std::size_t MaxEnds = 3;
  /// Fingerprints remembered; those that are not blocked and the oldest are
  /// forgotten first.
  static constexpr std::size_t MaxRecords = 1024;

  /// Records that server \p Incarnation ended while it had the request. Returns
  /// true if that was not known.
  bool onServerEnded(const std::string &Fingerprint,
                     const std::string &Incarnation, TimePoint Now);
  /// Records a complete response. Returns true if it clears the request.
  bool onServed(const std::string &Fingerprint, TimePoint Now);
  /// Between the loss of an attempt and the answer to the question whether its
  /// server has ended.
  void beginCheck(const std::string &Fingerprint, TimePoint Now);
  void endCheck(const std::string &Fingerprint);

  bool empty() const { return Records.empty() && Checks.empty(); }
  /// Whether a server has ended under the request, or may have.
  bool suspects(const std::string &Fingerprint, TimePoint Now) const;
  /// Whether the request must not be sent to a server. One check in progress
  /// counts as an end if one more blocks the request.
  bool blocks(const std::string &Fingerprint, TimePoint Now) const;
  /// Time until the request may be sent again; zero if it is not blocked.
  Duration blockLeft(const std::string &Fingerprint, TimePoint Now) const;
  std::size_t endCount(const std::string &Fingerprint) const;
  std::size_t blockedCount(TimePoint Now) const;

  /// The newest records, at most \p MaxReports.
  std::vector<CrashReport> reports(std::size_t MaxReports, TimePoint Now) const;
  /// Merges the reports of another instance. Returns true if one was new.
  bool merge(const std::vector<CrashReport> &Reports, TimePoint Now);
  /// Differs if two instances know of different ends; 0 if none is known.
  std::uint64_t digest() const { return Digest; }

private:
  struct Record {
    /// Ends since the last response, by server incarnation.
    std::map<std::string, TimePoint> Ends;
    TimePoint ServedAt = absl::InfinitePast();
    TimePoint UpdatedAt = absl::InfinitePast();
  };

  static TimePoint expiry(const Record &R);
  void clear(Record &R, TimePoint ServedAt);
  bool addEnd(Record &R, const std::string &Incarnation, TimePoint EndedAt);
  /// Forgets records that have expired, and some if there are too many. Called
  /// after each change.
  void trim(TimePoint Now);
  std::uint64_t computeDigest() const;

  std::map<std::string, Record> Records;
  std::uint64_t Digest = 0;
  /// By fingerprint: when the check counts as answered at the latest.
  std::map<std::string, TimePoint> Checks;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_RELAY_CRASHSUSPECTS_H
