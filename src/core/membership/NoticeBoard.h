#ifndef QUETZALLEAD_CORE_MEMBERSHIP_NOTICEBOARD_H
#define QUETZALLEAD_CORE_MEMBERSHIP_NOTICEBOARD_H

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "core/membership/BucketDigests.h"
#include "core/membership/DepartureNotice.h"
#include "core/membership/ServerNotice.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace quetzallead {

/// The notices in force, and digests of them.
class NoticeBoard {
public:
  using DepartureKey = std::pair<std::string, std::uint64_t>;

  /// Most notices of each sort that are kept.
  static constexpr std::size_t MaxServers = 6000;
  static constexpr std::size_t MaxDepartures = 2000;

  /// True if the notice is news.
  bool apply(const ServerNotice &Notice, TimePoint Now);
  bool apply(const DepartureNotice &Notice, TimePoint Now);

  /// Null if there is none in force.
  const ServerNotice *server(absl::string_view Name) const;
  const DepartureNotice *departure(absl::string_view Instance,
                                   std::uint64_t Incarnation) const;

  /// Removes what has expired; returns the notices of servers among it.
  std::vector<ServerNotice> expire(TimePoint Now);

  const absl::btree_map<std::string, ServerNotice> &servers() const {
    return Servers;
  }
  const absl::btree_map<DepartureKey, DepartureNotice> &departures() const {
    return Departures;
  }
  const BucketDigests &digests() const { return Digests; }

private:
  void toggle(const ServerNotice &Notice);
  void toggle(const DepartureNotice &Notice);

  absl::btree_map<std::string, ServerNotice> Servers;
  absl::btree_map<DepartureKey, DepartureNotice> Departures;
  BucketDigests Digests;
};

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_MEMBERSHIP_NOTICEBOARD_H
