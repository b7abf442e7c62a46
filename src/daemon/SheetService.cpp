#include "daemon/SheetService.h"
#include "daemon/ClusterDirectory.h"
#include "daemon/FleetService.h"
#include "daemon/JsonResponse.h"
#include "quetzallead/SheetCodec.h"
#include "quetzallead/SheetDelta.h"
#include "quetzallead/SheetDocumentCodec.h"
#include "quetzallead/SheetStoreOptions.h"
#include "runtime/Logger.h"
#include "transport/platform/KvReply.h"
#include "transport/platform/PlatformClient.h"
#include "transport/platform/WriteReply.h"
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;
using nlohmann::ordered_json;

static constexpr Duration TickPeriod = absl::Milliseconds(50);
static constexpr Duration FetchTimeout = absl::Seconds(1);
/// Peers with a later sheet are asked again this often, as a fetch can be lost.
static constexpr Duration ReminderPeriod = absl::Seconds(1);
static constexpr std::size_t RemindedPeers = 3;
/// Instances of each zone that watch the store: the first by rank, and one that
/// already stands by when it goes.
static constexpr std::size_t WatchersPerZone = 2;
/// Documents kept to make patches from.
static constexpr std::size_t RecentDocuments = 4;
static constexpr const char *WatchDuty = "sheet-watch";

SheetService::SheetService(ClusterDirectory &Dir, PlatformClient &PlatformPart,
                           TimerService &TimerPart, std::uint64_t Seed)
    : Directory(Dir), Platform(PlatformPart), Timers(TimerPart),
      Store(SheetStoreOptions(), Seed) {}

void SheetService::start(FleetService &FleetPart) {
  Fleet = &FleetPart;
  Ticker = Timers.every(TickPeriod, [this](TimePoint Now) { tick(Now); });
}

void SheetService::stop() { Ticker.reset(); }

void SheetService::tick(TimePoint Now) {
  std::optional<std::size_t> Rank = Fleet->rankOf(WatchDuty);
  bool ShouldWatch = Rank && *Rank < WatchersPerZone;
  bool DutyChanged = false;
  bool Due = false;
  {
    PosixMutexLock Lock(&Mutex);
    DutyChanged = ShouldWatch != Watching;
    Watching = ShouldWatch;
    Due = Store.nextWakeUp() <= Now;
  }
  if (DutyChanged)
    step(SheetEvent{SheetEvent::DutyChanged{ShouldWatch}});
  if (Due)
    step(SheetEvent{SheetEvent::Tick{}});
  remindOfLaterSheets(Now);
}

void SheetService::remindOfLaterSheets(TimePoint Now) {
  if (Now < NextReminder)
    return;
  NextReminder = Now + ReminderPeriod;
  std::uint64_t Own = Directory.view()->Revision;
  for (const MemberRecord &R : Fleet->withLaterSheet(Own, RemindedPeers))
    onPeerRevision(R.Name, R.SheetRevision);
}

void SheetService::step(const SheetEvent &Event) {
  std::vector<SheetAction> Actions;
  {
    PosixMutexLock Lock(&Mutex);
    Actions = Store.step(Event, Timers.now());
  }
  for (const SheetAction &Action : Actions)
    perform(Action);
}

void SheetService::perform(const SheetAction &Action) {
  std::visit([this](const auto &Body) { perform(Body); }, Action.Body);
}

static SheetEvent readEvent(std::uint64_t Call, const KvReply &Reply) {
  SheetEvent::StoreRead Read;
  Read.Call = Call;
  Read.Answered = Reply.Outcome == ReadOutcome::Answered;
  Read.Found = Reply.Entry.has_value();
  if (Reply.Entry) {
    Read.Value = Reply.Entry->Value;
    Read.ModifyIndex = Reply.Entry->ModifyIndex;
  }
  Read.WatchIndex = Reply.Index;
  return SheetEvent{std::move(Read)};
}

void SheetService::perform(const SheetAction::Read &Action) {
  std::uint64_t Call = Action.Call;
  Platform.read(Action.Key, [this, Call](const KvReply &Reply) {
    step(readEvent(Call, Reply));
  });
}

void SheetService::perform(const SheetAction::Watch &Action) {
  std::uint64_t Call = Action.Call;
  Platform.watch(
      Action.Key, Action.Index, Action.Wait,
      [this, Call](const KvReply &Reply) { step(readEvent(Call, Reply)); });
}

void SheetService::perform(const SheetAction::Write &Action) {
  std::uint64_t Call = Action.Call;
  Platform.compareAndSwap(
      Action.Key, Action.Value, Action.Index,
      [this, Call](const WriteReply &Reply) {
        step(SheetEvent{SheetEvent::StoreWritten{Call, Reply.Outcome}});
      });
}

void SheetService::perform(const SheetAction::Fetch &Action) {
  fetch(Action.Peer, Action.FromRevision);
}

void SheetService::fetch(const std::string &Peer, std::uint64_t FromRevision) {
  Fleet->call(Peer, SheetFetchCall, json{{"from", FromRevision}}, FetchTimeout,
              [this, Peer](const std::optional<json> &Body) {
                if (Body)
                  onFetched(Peer, *Body);
              });
}

static bool readDelta(const json &Body, SheetDelta &Delta) {
  bool Whole = Body.is_object() &&
               Body.value("from", json()).is_number_unsigned() &&
               Body.value("to", json()).is_number_unsigned() &&
               Body.value("digest", json()).is_string() &&
               Body.value("body", json()).is_string();
  if (!Whole)
    return false;
  Delta.FromRevision = Body["from"].get<std::uint64_t>();
  Delta.ToRevision = Body["to"].get<std::uint64_t>();
  Delta.Digest = Body["digest"].get<std::string>();
  Delta.Body = Body["body"].get<std::string>();
  return true;
}

void SheetService::onFetched(const std::string &Peer, const json &Body) {
  SheetDelta Delta;
  if (!readDelta(Body, Delta))
    return;
  std::shared_ptr<const SheetDocument> Held = inForce();
  auto Applied = capture([&] { return applyDelta(Held.get(), Delta); });
  if (auto *Fault = std::get_if<Error>(&Applied)) {
    logEvent(LogLevel::Warning, "sheet_fetch_failed",
             {{"peer", Peer}, {"detail", Fault->text()}});
    bool WasPatch = Delta.FromRevision != 0;
    if (WasPatch && Fault->Code == ErrorCode::Conflict)
      fetch(Peer, 0);
    return;
  }
  auto Document = std::make_shared<const SheetDocument>(
      std::get<SheetDocument>(std::move(Applied)));
  step(SheetEvent{SheetEvent::PeerDocument{std::move(Document)}});
}

json SheetService::serveFetch(const json &Request) const {
  std::shared_ptr<const SheetDocument> Document = inForce();
  if (Document == nullptr)
    return json::object();
  std::uint64_t From = 0;
  if (Request.is_object() && Request.value("from", json()).is_number_unsigned())
    From = Request["from"].get<std::uint64_t>();
  std::shared_ptr<const SheetDocument> Held = recent(From);
  SheetDelta Delta = makeDelta(Held.get(), *Document);
  return json{{"from", Delta.FromRevision},
              {"to", Delta.ToRevision},
              {"digest", Delta.Digest},
              {"body", Delta.Body}};
}

void SheetService::perform(const SheetAction::Publish &Action) {
  const SheetDocument &Document = *Action.Document;
  {
    PosixMutexLock Lock(&Mutex);
    Recent.push_back(Action.Document);
    if (Recent.size() > RecentDocuments)
      Recent.pop_front();
  }
  Directory.applySheet(Document.Content, Document.Revision, Timers.now());
  Fleet->sheetInForce(Document.Revision);
  logEvent(LogLevel::Info, "sheet_in_force",
           {{"revision", Document.Revision}, {"digest", Document.Digest}});
}

static int statusOf(SubmissionOutcome Outcome) {
  switch (Outcome) {
  case SubmissionOutcome::Accepted:
  case SubmissionOutcome::Unchanged:
    return 200;
  case SubmissionOutcome::Conflict:
    return 409;
  case SubmissionOutcome::Rejected:
    return 422;
  case SubmissionOutcome::Unavailable:
    return 503;
  case SubmissionOutcome::Unknown:
    return 202;
  }
  return 500;
}

void SheetService::perform(const SheetAction::Answer &Action) {
  HttpServer::Responder Respond;
  {
    PosixMutexLock Lock(&Mutex);
    auto It = Waiting.find(Action.Request);
    if (It == Waiting.end())
      return;
    Respond = std::move(It->second);
    Waiting.erase(It);
  }
  logEvent(LogLevel::Info, "sheet_submission",
           {{"submission", Action.SubmissionId},
            {"outcome", nameOf(SubmissionOutcomeNames, Action.Outcome)},
            {"revision", Action.Revision}});
  ordered_json Body;
  Body["outcome"] = nameOf(SubmissionOutcomeNames, Action.Outcome);
  Body["revision"] = Action.Revision;
  Body["submission_id"] = Action.SubmissionId;
  Body["detail"] = Action.Detail;
  Respond(jsonResponse(Body, statusOf(Action.Outcome)));
}

void SheetService::perform(const SheetAction::Notice &Action) {
  logEvent(LogLevel::Warning, nameOf(SheetNoticeNames, Action.Kind),
           {{"detail", Action.Detail}});
}

void SheetService::onPeerRevision(const std::string &Instance,
                                  std::uint64_t Revision) {
  step(SheetEvent{SheetEvent::PeerAnnounced{Instance, Revision}});
}

void SheetService::submit(const std::string &Body,
                          const HttpServer::Responder &Respond) {
  auto Parsed = capture([&] { return parseSubmission(Body); });
  if (auto *Fault = std::get_if<Error>(&Parsed)) {
    ordered_json Refusal;
    Refusal["outcome"] =
        nameOf(SubmissionOutcomeNames, SubmissionOutcome::Rejected);
    Refusal["revision"] = Directory.view()->Revision;
    Refusal["detail"] = Fault->text();
    return Respond(
        jsonResponse(Refusal, statusOf(SubmissionOutcome::Rejected)));
  }
  std::uint64_t Request = 0;
  {
    PosixMutexLock Lock(&Mutex);
    Request = NextRequest++;
    Waiting.emplace(Request, Respond);
  }
  step(SheetEvent{
      SheetEvent::Submitted{Request, std::get<Submission>(std::move(Parsed))}});
}

std::shared_ptr<const SheetDocument> SheetService::inForce() const {
  PosixMutexLock Lock(&Mutex);
  return Store.inForce();
}

std::shared_ptr<const SheetDocument>
SheetService::recent(std::uint64_t Revision) const {
  PosixMutexLock Lock(&Mutex);
  for (const auto &Document : Recent)
    if (Document->Revision == Revision)
      return Document;
  return nullptr;
}

HttpResponse SheetService::current() const {
  std::shared_ptr<const SheetDocument> Document = inForce();
  ordered_json Body;
  if (Document == nullptr) {
    Body["revision"] = 0;
    return jsonResponse(Body);
  }
  Body["revision"] = Document->Revision;
  Body["digest"] = Document->Digest;
  Body["sheet"] = sheetToJson(Document->Content);
  return jsonResponse(Body);
}

HttpResponse SheetService::status() const {
  struct ZoneStatus {
    std::uint64_t Lowest = UINT64_MAX;
    std::uint64_t Highest = 0;
    int Instances = 0;
  };
  std::map<std::string, ZoneStatus> Zones;
  ordered_json Silent = ordered_json::array();
  for (const MemberRecord &R : Fleet->members()) {
    if (R.Incarnation == 0 || !R.isPresent()) {
      Silent.push_back(R.Name);
      continue;
    }
    ZoneStatus &Zone = Zones[R.Zone];
    Zone.Lowest = std::min(Zone.Lowest, R.SheetRevision);
    Zone.Highest = std::max(Zone.Highest, R.SheetRevision);
    ++Zone.Instances;
  }
  ordered_json Body;
  Body["revision"] = Directory.view()->Revision;
  Body["zones"] = ordered_json::array();
  for (const auto &[Name, Zone] : Zones) {
    ordered_json Entry;
    Entry["zone"] = Name;
    Entry["instances"] = Zone.Instances;
    Entry["lowest"] = Zone.Lowest;
    Entry["highest"] = Zone.Highest;
    Body["zones"].push_back(std::move(Entry));
  }
  Body["not_heard_from"] = std::move(Silent);
  return jsonResponse(Body);
}

HttpResponse SheetService::audit() const {
  std::shared_ptr<const SheetDocument> Document = inForce();
  ordered_json Entries = ordered_json::array();
  if (Document != nullptr)
    for (auto It = Document->Audit.rbegin(); It != Document->Audit.rend(); ++It)
      Entries.push_back(ordered_json(auditEntryToJson(*It)));
  ordered_json Body;
  Body["entries"] = std::move(Entries);
  Body["archived_through"] =
      Document == nullptr ? 0 : Document->ArchivedThrough;
  return jsonResponse(Body);
}

} // namespace quetzallead
