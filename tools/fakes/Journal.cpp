#include "fakes/Journal.h"
#include <utility>

namespace quetzallead {

static nlohmann::json millisOf(TimePoint When) {
  if (When == absl::InfinitePast())
    return nullptr;
  return absl::ToDoubleMilliseconds(When - absl::UnixEpoch());
}

nlohmann::json toJson(const JournalEntry &Entry) {
  return {{"sequence", Entry.Sequence},
          {"id", Entry.Id},
          {"server", Entry.Server},
          {"service", Entry.Service},
          {"shard", Entry.Shard},
          {"kind", Entry.Command ? "command" : "query"},
          {"key", Entry.Key},
          {"command", Entry.Content},
          {"epoch", Entry.Epoch},
          {"version", Entry.Version},
          {"begun", Entry.Begun},
          {"executed", Entry.Executed},
          {"cancelled", Entry.Cancelled},
          {"status", Entry.Status},
          {"received_ms", millisOf(Entry.ReceivedAt)},
          {"begun_ms", millisOf(Entry.BegunAt)},
          {"finished_ms", millisOf(Entry.FinishedAt)}};
}

std::shared_ptr<JournalEntry> Journal::add(JournalEntry Entry) {
  Entry.Sequence = NextSequence++;
  auto Shared = std::make_shared<JournalEntry>(std::move(Entry));
  Entries.push_back(Shared);
  if (Entries.size() > Limit) {
    Entries.pop_front();
    ++Dropped;
  }
  return Shared;
}

void Journal::clear() {
  Entries.clear();
  Dropped = 0;
}

nlohmann::json Journal::toJson(absl::string_view Server) const {
  nlohmann::json Listed = nlohmann::json::array();
  for (const std::shared_ptr<JournalEntry> &Entry : Entries)
    if (Server.empty() || Entry->Server == Server)
      Listed.push_back(quetzallead::toJson(*Entry));
  return {{"dropped", Dropped}, {"entries", std::move(Listed)}};
}

} // namespace quetzallead
