#include "support/CommandCaller.h"
#include "absl/strings/str_cat.h"
#include "support/FakeProcess.h"
#include "support/Fetch.h"
#include "support/TestFleet.h"
#include "support/WaitUntil.h"

namespace quetzallead {

using nlohmann::json;

static constexpr int StatusConflict = 409;

static std::string wordOf(const std::optional<HttpResponse> &Response) {
  if (!Response)
    return "no_answer";
  if (Response->Status == StatusConflict)
    return "in_progress";
  const json Body = bodyOf(*Response);
  return Body.is_object() ? Body.value("run_state", "") : "";
}

/// Attempts that began, by the content of the command.
static std::map<json, int> begunByContent(const json &Journal) {
  std::map<json, int> Begun;
  for (const json &Entry : Journal)
    if (Entry["begun"] == true && !Entry["command"].is_null())
      ++Begun[Entry["command"]];
  return Begun;
}

TicketedCommand CommandCaller::make(std::size_t Index, int Shard) {
  TicketedCommand Command;
  Command.Ticket = Fleet.ticket(Index);
  Command.Shard = Shard;
  const PosixMutexLock Held(&Lock);
  Command.Content = {{"n", ++Made}};
  return Command;
}

std::string CommandCaller::send(std::size_t Index,
                                const TicketedCommand &Command) {
  HttpFields Headers;
  Headers.add("Idempotency-Key", Command.Ticket);
  const json Body = {{"key", testKey(Command.Shard)},
                     {"command", Command.Content}};
  std::string Word = wordOf(Fleet.ask(Index, "command", Body, Headers));
  const PosixMutexLock Held(&Lock);
  Notes.push_back({Command.Content, Word});
  return Word;
}

bool CommandCaller::waitBegun(const TicketedCommand &Command) const {
  return waitUntil([&] {
    return begunByContent(Fleet.backend().journal()).count(Command.Content) > 0;
  });
}

std::vector<std::string> CommandCaller::contradictions() const {
  const json Page = Fleet.backend().get("/journal");
  if (!Page.is_object() || Page["dropped"] != 0)
    return {"the journal is not whole"};
  std::map<json, int> Begun = begunByContent(Page["entries"]);
  std::vector<std::string> Found;
  const PosixMutexLock Held(&Lock);
  for (const auto &[Content, Count] : Begun)
    if (Count > 1)
      Found.push_back(absl::StrCat(Content.dump(), " began ", Count, " times"));
  for (const Told &Note : Notes) {
    const int Count = Begun[Note.Content];
    const bool Wrong = (Note.Word == "ran" && Count == 0) ||
                       (Note.Word == "not_run" && Count > 0);
    if (Wrong)
      Found.push_back(absl::StrCat(Note.Content.dump(), " began ", Count,
                                   " times, told ", Note.Word));
  }
  return Found;
}

std::map<std::string, int> CommandCaller::words() const {
  std::map<std::string, int> Counts;
  const PosixMutexLock Held(&Lock);
  for (const Told &Note : Notes)
    ++Counts[Note.Word];
  return Counts;
}

bool waitIdle(TestFleet &Fleet) {
  return waitUntil([&] {
    const json Listed = Fleet.backend().get("/servers");
    for (const json &Server : Listed["servers"])
      if (Server["load"]["busy"] != 0 || Server["load"]["queued"] != 0)
        return false;
    return true;
  });
}

} // namespace quetzallead
