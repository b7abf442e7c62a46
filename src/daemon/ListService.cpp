#include "daemon/ListService.h"
#include "daemon/ClusterDirectory.h"
#include "daemon/FleetService.h"
#include "daemon/Settings.h"
#include "runtime/Logger.h"
#include "transport/platform/CatalogReply.h"
#include "transport/platform/PlatformClient.h"
#include "transport/platform/WriteReply.h"
#include <algorithm>
#include <vector>

namespace quetzallead {

static constexpr Duration TickPeriod = absl::Milliseconds(200);
/// Time between two readings of the list of instances by those on duty in their
/// zone, by the others, who hear of changes from peers, and after a failure.
static constexpr Duration DutyReadPeriod = absl::Seconds(10);
static constexpr Duration ReadPeriod = absl::Minutes(5);
static constexpr Duration RetryPeriod = absl::Seconds(1);
/// Waiting time of one watch on the list of backend servers.
static constexpr Duration WatchWait = absl::Seconds(5);
static constexpr std::size_t WatchersPerZone = 2;
static constexpr const char *WatchDuty = "server-list-watch";
static constexpr const char *InstanceList = "quetzallead";
static constexpr const char *ServerList = "backend";

ListService::ListService(const Settings &S, ClusterDirectory &Dir,
                         PlatformClient &PlatformPart, TimerService &TimerPart)
    : Options(S), Directory(Dir), Platform(PlatformPart), Timers(TimerPart) {}

void ListService::start(FleetService &FleetPart) {
  Fleet = &FleetPart;
  Ticker = Timers.every(TickPeriod, [this](TimePoint Now) { tick(Now); });
}

void ListService::leave() {
  {
    PosixMutexLock Lock(&Mutex);
    Leaving = true;
    Enlisted = false;
  }
  enlist();
}

void ListService::stop() {
  Ticker.reset();
  Platform.delist(Options.Instance, [](const WriteReply &) {});
}

void ListService::tick(TimePoint Now) {
  bool Enlist = false;
  bool Read = false;
  bool Watch = false;
  std::optional<std::size_t> Rank = Fleet->rankOf(WatchDuty);
  {
    PosixMutexLock Lock(&Mutex);
    Enlist = !Enlisted && !EnlistPending;
    Read = !ReadPending && Now >= NextRead;
    bool WasOnDuty = OnDuty;
    OnDuty = Rank && *Rank < WatchersPerZone;
    if (OnDuty && !WasOnDuty)
      NextRead = std::min(NextRead, Now + DutyReadPeriod);
    Watch = OnDuty && !WatchPending && Now >= NextWatch;
    ReadPending = ReadPending || Read;
    WatchPending = WatchPending || Watch;
    if (!OnDuty)
      WatchIndex = 0;
  }
  if (Enlist)
    enlist();
  if (Read)
    readInstances();
  if (Watch)
    watchServers();
}

void ListService::enlist() {
  CatalogEntry Entry;
  Entry.Node = Options.Instance;
  Entry.Address = Fleet->address();
  Entry.Zone = Options.Zone;
  {
    PosixMutexLock Lock(&Mutex);
    Entry.Leaving = Leaving;
    EnlistPending = true;
  }
  bool SaidLeaving = Entry.Leaving;
  Platform.enlist(InstanceList, Entry, [=](const WriteReply &Reply) {
    PosixMutexLock Lock(&Mutex);
    EnlistPending = false;
    Enlisted = Reply.Outcome == WriteOutcome::Applied && SaidLeaving == Leaving;
  });
}

void ListService::readInstances() {
  Platform.list(InstanceList,
                [this](const CatalogReply &Reply) { onInstances(Reply); });
}

void ListService::onInstances(const CatalogReply &Reply) {
  bool Answered = Reply.Outcome == ReadOutcome::Answered;
  std::vector<ListedInstance> List;
  bool SelfListed = false;
  for (const CatalogEntry &Entry : Reply.Entries) {
    SelfListed = SelfListed || Entry.Node == Options.Instance;
    List.push_back(
        ListedInstance{Entry.Node, Entry.Address, Entry.Zone, Entry.Leaving});
  }
  {
    PosixMutexLock Lock(&Mutex);
    ReadPending = false;
    Duration Period = OnDuty ? DutyReadPeriod : ReadPeriod;
    NextRead = Timers.now() + (Answered ? Period : RetryPeriod);
    // The platform may have lost the entry, as in a restore.
    Enlisted = Enlisted && (!Answered || SelfListed);
  }
  if (Answered)
    Fleet->listed(List);
}

void ListService::watchServers() {
  std::uint64_t Index = 0;
  {
    PosixMutexLock Lock(&Mutex);
    Index = WatchIndex;
  }
  auto Done = [this](const CatalogReply &Reply) { onServers(Reply); };
  if (Index == 0)
    Platform.list(ServerList, Done);
  else
    Platform.watchList(ServerList, Index, WatchWait, Done);
}

void ListService::onServers(const CatalogReply &Reply) {
  std::vector<std::string> Left;
  std::vector<std::string> Back;
  TimePoint Now = Timers.now();
  {
    PosixMutexLock Lock(&Mutex);
    WatchPending = false;
    if (Reply.Outcome != ReadOutcome::Answered) {
      NextWatch = Now + RetryPeriod;
      return;
    }
    // An index that falls means that the platform began anew.
    WatchIndex = Reply.Index < WatchIndex ? 0 : Reply.Index;
    for (const CatalogEntry &Entry : Reply.Entries) {
      if (Entry.Leaving && LeavingServers.insert(Entry.Node).second)
        Left.push_back(Entry.Node);
      if (!Entry.Leaving && LeavingServers.erase(Entry.Node) > 0)
        Back.push_back(Entry.Node);
    }
  }
  for (const std::string &Server : Left) {
    logEvent(LogLevel::Info, "server_leaving",
             {{"server", Server}, {"cause", "instance_list"}});
    Directory.noteLeaving(Server, LeavingCause::InstanceList, Now);
    Fleet->noticeServer(Server, ServerNoticeState::Leaving);
  }
  for (const std::string &Server : Back) {
    Directory.noteLeaving(Server, LeavingCause::None, Now);
    Fleet->noticeServer(Server, ServerNoticeState::Back);
  }
}

} // namespace quetzallead
