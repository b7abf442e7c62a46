#include "cli/LogStory.h"
#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/time.h"
#include <algorithm>
#include <map>
#include <set>

namespace quetzallead {

/// What an instance believed this long before a request still explains it: a
/// server is forgotten, or comes back, within about as long.
static constexpr absl::Duration ContextBefore = absl::Seconds(10);
/// Words that come shortly after a request tell what had happened before.
static constexpr absl::Duration ContextAfter = absl::Seconds(2);

namespace {

/// What an event means, for the reader of a story.
struct EventMeaning {
  const char *Event;
  const char *Meaning;
  /// Changes what the instance believes of everything, not of one server.
  bool OfInstance;
};

} // namespace

static constexpr EventMeaning Meanings[] = {
    {"started", "the instance started", true},
    {"stop_begun", "a planned stop began", true},
    {"stopped", "the instance ended by itself", true},
    {"store_lost", "the store stopped answering", true},
    {"store_losses", "the store was lost often, for less than a second", true},
    {"store_returned", "the store is back from an outage", true},
    {"store_back", "the store answers again", true},
    {"instances_counted", "the number of instances changed", true},
    {"home_activated", "the instance began to ask backend servers", true},
    {"link_not_served", "the instance takes no requests of others", true},
    {"log_dropped", "lines were left out of the log", true},
    {"sheet_taken", "a sheet came into force", true},
    {"sheet_not_newer", "a sheet was not newer than the one in force", true},
    {"sheet_refused", "a sheet could not be read", true},
    {"server_word", "the feed told of a server", false},
    {"server_missing", "the feed lacks a server, which stays in use a while",
     false},
    {"server_leaving", "a server said that it leaves", false},
    {"server_paused", "a server asked for no requests for a while", false},
    {"server_pause_unreadable", "a server asked for a pause of no clear length",
     false},
    {"server_limited", "a server named how many requests it takes", false},
    {"server_limit_ended", "a server named no limit any more", false},
    {"server_limit_unreadable", "a server named a limit that is no number",
     false},
    {"server_ended", "a server ended while it had a request", false},
    {"suspect_cleared", "a request under which servers had ended was served",
     false},
    {"crash_reports_received", "another instance told of ends of servers",
     false},
    {"crash_reports_unreadable", "a report of another instance is malformed",
     false},
    {"server_unreachable", "a server went out of reach", false},
    {"server_reachable", "a server came back into reach", false},
    {"server_entry_unreadable", "an entry of the feed names no server", false},
    {"request_refused", "a request could not be read to its end", false},
    {"request_rejected", "the request was turned away before a route", false},
    {"request_failed", "the request got no usable answer", false},
    {"caller_left", "the caller left before its answer", false},
    {"request_late", "the request was answered after its objective", false},
    {"request_served", "the request was answered in time", false},
    {"parts_missing", "the answer left parts out", false},
    {"link_request_passed_back", "a home passed the request back unrun", false},
    {"link_request_refused", "an unsigned request was refused", false},
    {"attempt_added", "a further attempt was sent", false},
    {"response_refused", "a server sent what is no response", false},
    {"attempt_failed", "an attempt ended without a usable answer", false},
};

static const EventMeaning *meaningOf(const std::string &Event) {
  for (const EventMeaning &M : Meanings)
    if (Event == M.Event)
      return &M;
  return nullptr;
}

static absl::Time timeOf(const LogLine &Line) {
  absl::Time When = absl::InfinitePast();
  std::string Fault;
  absl::ParseTime(absl::RFC3339_full, Line.Time, &When, &Fault);
  return When;
}

static bool hasField(const LogLine &Line, absl::string_view Key,
                     const std::string &Value) {
  const std::string *Found = Line.find(Key);
  return Found != nullptr && *Found == Value;
}

/// The servers in a text such as "shard(server@3!,other@20,budget)".
static void addServersOf(absl::string_view Parts, std::set<std::string> &Out) {
  for (std::size_t At = Parts.find('@'); At != absl::string_view::npos;
       At = Parts.find('@', At + 1)) {
    const std::size_t Begin = Parts.find_last_of("(, ", At);
    if (Begin != absl::string_view::npos)
      Out.insert(std::string(Parts.substr(Begin + 1, At - Begin - 1)));
  }
}

static std::set<std::string> serversOf(const LogLine &Line) {
  std::set<std::string> Out;
  if (const std::string *Server = Line.find("server"))
    Out.insert(*Server);
  for (const char *Key : {"missing", "parts"})
    if (const std::string *Parts = Line.find(Key))
      addServersOf(*Parts, Out);
  return Out;
}

static bool isAbout(const LogLine &Line, StorySubject Subject,
                    const std::string &Id) {
  switch (Subject) {
  case StorySubject::Request:
    return hasField(Line, "request", Id);
  case StorySubject::Server:
    return serversOf(Line).count(Id) != 0;
  case StorySubject::Sheet:
    return hasField(Line, "version", Id);
  }
  return false;
}

namespace {

/// The time around a request at one instance, and the servers it met there.
struct Surroundings {
  absl::Time First = absl::InfiniteFuture();
  absl::Time Last = absl::InfinitePast();
  std::set<std::string> Servers;
};

} // namespace

static bool isContext(const LogLine &Line, const Surroundings &Around) {
  const absl::Time When = timeOf(Line);
  if (When < Around.First - ContextBefore || When > Around.Last + ContextAfter)
    return false;
  const EventMeaning *Meaning = meaningOf(Line.Event);
  if (Meaning != nullptr && Meaning->OfInstance)
    return true;
  const std::string *Server = Line.find("server");
  return Server != nullptr && Line.find("request") == nullptr &&
         Around.Servers.count(*Server) != 0;
}

LogStory tellStory(const std::vector<LogLine> &Lines, StorySubject Subject,
                   const std::string &Id) {
  LogStory Story;
  std::map<std::string, Surroundings> Met;
  std::vector<const LogLine *> Others;
  for (const LogLine &Line : Lines) {
    if (!isAbout(Line, Subject, Id)) {
      Others.push_back(&Line);
      continue;
    }
    Story.Lines.push_back(Line);
    Surroundings &Here = Met[Line.Instance];
    Here.First = std::min(Here.First, timeOf(Line));
    Here.Last = std::max(Here.Last, timeOf(Line));
    Here.Servers.merge(serversOf(Line));
  }
  Story.Own = Story.Lines.size();
  for (const LogLine *Line : Others) {
    auto Here = Met.find(Line->Instance);
    if (Here == Met.end() || !isContext(*Line, Here->second))
      continue;
    std::uint64_t Count = 0;
    const std::string *Dropped = Line->find("lines");
    if (Line->Event == "log_dropped" && Dropped != nullptr &&
        absl::SimpleAtoi(*Dropped, &Count))
      Story.Dropped += Count;
    if (Subject == StorySubject::Request)
      Story.Lines.push_back(*Line);
  }
  std::stable_sort(
      Story.Lines.begin(), Story.Lines.end(),
      [](const LogLine &A, const LogLine &B) { return A.Time < B.Time; });
  return Story;
}

std::string describeLine(const LogLine &Line) {
  const EventMeaning *Meaning = meaningOf(Line.Event);
  return absl::StrCat(
      Meaning != nullptr ? Meaning->Meaning : Line.Event, ": ",
      absl::StrJoin(Line.Fields, ", ", [](std::string *Out, const auto &Field) {
        absl::StrAppend(Out, Field.first, " ", absl::CHexEscape(Field.second));
      }));
}

} // namespace quetzallead
