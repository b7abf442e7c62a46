#include "core/membership/NoticeBoard.h"

namespace quetzallead {

bool NoticeBoard::apply(const ServerNotice &Notice, TimePoint Now) {
  if (Notice.Expires <= Now)
    return false;
  const auto It = Servers.find(Notice.Server);
  if (It == Servers.end()) {
    if (Servers.size() >= MaxServers)
      return false;
    Servers.emplace(Notice.Server, Notice);
    toggle(Notice);
    return true;
  }
  if (!supersedes(Notice, It->second))
    return false;
  toggle(It->second);
  It->second = Notice;
  toggle(Notice);
  return true;
}

bool NoticeBoard::apply(const DepartureNotice &Notice, TimePoint Now) {
  if (Notice.Expires <= Now || Departures.size() >= MaxDepartures)
    return false;
  const DepartureKey Key(Notice.Instance, Notice.Incarnation);
  if (!Departures.emplace(Key, Notice).second)
    return false;
  toggle(Notice);
  return true;
}

const ServerNotice *NoticeBoard::server(absl::string_view Name) const {
  const auto It = Servers.find(Name);
  return It == Servers.end() ? nullptr : &It->second;
}

const DepartureNotice *NoticeBoard::departure(absl::string_view Instance,
                                              std::uint64_t Incarnation) const {
  const auto It =
      Departures.find(DepartureKey(std::string(Instance), Incarnation));
  return It == Departures.end() ? nullptr : &It->second;
}

std::vector<ServerNotice> NoticeBoard::expire(TimePoint Now) {
  std::vector<ServerNotice> Expired;
  for (auto It = Servers.begin(); It != Servers.end();) {
    if (It->second.Expires > Now) {
      ++It;
      continue;
    }
    toggle(It->second);
    Expired.push_back(std::move(It->second));
    It = Servers.erase(It);
  }
  for (auto It = Departures.begin(); It != Departures.end();) {
    if (It->second.Expires > Now) {
      ++It;
      continue;
    }
    toggle(It->second);
    It = Departures.erase(It);
  }
  return Expired;
}

void NoticeBoard::toggle(const ServerNotice &Notice) {
  Digests.toggle(BucketDigests::bucketOf(Notice.Server), hashOf(Notice));
}

void NoticeBoard::toggle(const DepartureNotice &Notice) {
  Digests.toggle(BucketDigests::bucketOf(Notice.Instance), hashOf(Notice));
}

} // namespace quetzallead
