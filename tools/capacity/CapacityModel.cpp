#include "capacity/CapacityModel.h"
#include "capacity/FleetSize.h"
#include "capacity/SlopeTable.h"

namespace quetzallead {

namespace {

constexpr double SecondsPerDay = 86400;
constexpr double CoresPerMicrosecond = 1e-6;
constexpr double MegabytesPerByte = 1e-6;
constexpr double KilobytesPerByte = 1e-3;
using Rows = std::vector<CapacityRow>;

void addEntryInstance(const FleetSize &Size, const SlopeTable &Slopes,
                      Rows &Out) {
  constexpr auto Role = CapacityRole::EntryInstance;
  const double Queries = Size.queriesPerInstance();
  const double Parts = Size.subRequestsPerInstance();
  Out.push_back({Role, "messages: queries", "1/s", exactly(Queries)});
  Out.push_back({Role, "messages: sub-requests", "1/s", exactly(Parts)});
  Out.push_back({Role, "state: sub-requests in flight", "",
                 exactly(Parts * Size.SubRequestSeconds)});
  const Estimate PerPart =
      times(Slopes.find("sub_request_processor"), Parts, Parts);
  const Estimate PerQuery =
      times(Slopes.find("query_processor"), Queries, Queries);
  Out.push_back({Role, "processor: requests", "cores",
                 scaled(plus(PerPart, PerQuery), CoresPerMicrosecond)});
  Out.push_back({Role, "processor: decisions of the core", "cores",
                 scaled(times(Slopes.find("survey_decision_processor"), Queries,
                              Size.FanOut),
                        CoresPerMicrosecond)});
  const Estimate Beliefs =
      times(Slopes.find("server_state_memory"), Size.Servers, Size.Servers);
  Out.push_back({Role, "memory: state of all backend servers", "MB",
                 scaled(Beliefs, MegabytesPerByte)});
  Out.push_back(
      {Role, "memory: sheet in force", "MB",
       scaled(times(Slopes.find("sheet_memory"), Size.Servers, Size.Servers),
              MegabytesPerByte)});
}

void addStoreWatcher(const FleetSize &Size, const SlopeTable &Slopes,
                     Rows &Out) {
  constexpr auto Role = CapacityRole::StoreWatcher;
  const double Watchers = Size.zones() * Size.WatchersPerZone;
  const double PerWatcher = Size.WatchesPerWatcher / Size.WatchSeconds;
  const double Changes = Size.ChangesPerDay / SecondsPerDay;
  Out.push_back({Role, "state: watchers in the fleet", "", exactly(Watchers)});
  Out.push_back({Role, "messages: watches, fleet, quiet", "reads/s",
                 exactly(Watchers * PerWatcher)});
  Out.push_back({Role, "messages: watches, if every instance watched",
                 "reads/s", exactly(Size.Instances * PerWatcher)});
  Out.push_back({Role, "messages: accepted changes, fleet", "writes/s",
                 exactly(Changes)});
  Out.push_back({Role, "messages: reads that a change wakes, fleet", "reads/s",
                 exactly(Changes * (Watchers + 2))});
  const double Restart = Size.instancesPerZone() / Size.ZoneRestartSeconds;
  Out.push_back({Role, "messages: restart of a zone, registrations", "writes/s",
                 exactly(Restart)});
  Out.push_back({Role, "messages: restart of a zone, first reads", "reads/s",
                 exactly(Restart * Size.WatchesPerWatcher)});
  Out.push_back(
      {Role, "messages: sheet document in the store", "KB",
       scaled(times(Slopes.find("sheet_text"), Size.Servers, Size.Servers),
              KilobytesPerByte)});
  Out.push_back({Role, "processor: one switch of the sheet", "ms",
                 scaled(times(Slopes.find("sheet_switch_processor"),
                              Size.Servers, Size.Servers),
                        1e-3)});
}

/// The most instances that can each hold a connection to a server with
/// \p Limit connections while the reserve for newcomers stays whole.
int mostDirectInstances(int Limit) {
  int Instances = 1;
  while ((Instances + 1) + (Instances + 10) / 10 <= Limit)
    ++Instances;
  return Instances;
}

/// Connections that a home holds per shard it has to ask, if a service's
/// shards are divided among \p Groups groups of homes.
double connectionsPerShard(const FleetSize &Size, double Limit, double Groups) {
  const double PerHome = Size.serversOfServiceInRegion() * Limit *
                         Size.UsableConnectionShare /
                         Size.homesOfServiceInRegion();
  return PerHome * Groups / Size.FanOut;
}

void addConnections(const FleetSize &Size, Rows &Out) {
  constexpr auto Role = CapacityRole::Forwarder;
  const double Few = Size.FewestConnections;
  const double Most = Size.MostConnections;
  Out.push_back({Role,
                 "state: most instances with direct connections, limit 25", "",
                 exactly(mostDirectInstances(static_cast<int>(Few)))});
  Out.push_back({Role,
                 "state: most instances with direct connections, limit 110", "",
                 exactly(mostDirectInstances(static_cast<int>(Most)))});
  Out.push_back({Role, "state: homes of a service in a region", "",
                 exactly(Size.homesOfServiceInRegion())});
  Out.push_back({Role, "state: replicas of a shard in a region", "",
                 exactly(Size.serversOfServiceInRegion() / Size.FanOut)});
  Out.push_back(
      {Role, "state: busy connections per server", "",
       exactly(Size.subRequestsPerServer() * Size.SubRequestSeconds)});
  Out.push_back({Role, "state: connections per home and shard, limit 25", "",
                 exactly(connectionsPerShard(Size, Few, 1))});
  Out.push_back({Role,
                 "state: connections per home and shard, limit 25, two groups",
                 "", exactly(connectionsPerShard(Size, Few, 2))});
  Out.push_back({Role, "state: connections per home and shard, limit 110", "",
                 exactly(connectionsPerShard(Size, Most, 1))});
}

/// Each instance is home of one service; a query goes to a home of its service
/// in the same region.
void addForwarder(const FleetSize &Size, const SlopeTable &Slopes, Rows &Out) {
  constexpr auto Role = CapacityRole::Forwarder;
  addConnections(Size, Out);
  const double Share = 1 - 1 / Size.Services;
  const double Forwards = Size.queriesPerInstance() * Share;
  Out.push_back({Role, "messages: queries forwarded, out and in", "1/s",
                 exactly(2 * Forwards)});
  Out.push_back({Role, "processor: forwarding, both sides", "cores",
                 scaled(times(Slopes.find("forward_processor"), 2 * Forwards),
                        CoresPerMicrosecond)});
  Out.push_back({Role, "messages: bytes forwarded, out and in", "KB/s",
                 scaled(times(Slopes.find("forward_bytes"), 2 * Forwards),
                        KilobytesPerByte)});
}

void addMerging(const FleetSize &Size, const SlopeTable &Slopes, Rows &Out) {
  constexpr auto Role = CapacityRole::Merging;
  const double Queries = Size.queriesPerInstance();
  const double InFlight = Queries * Size.SubRequestSeconds;
  Out.push_back({Role, "state: answers being merged", "", exactly(InFlight)});
  Out.push_back({Role, "processor: merging", "cores",
                 scaled(times(Slopes.find("merge_processor"),
                              Queries * Size.FanOut, Size.FanOut),
                        CoresPerMicrosecond)});
  Out.push_back(
      {Role, "memory: replies held", "MB",
       scaled(times(Slopes.find("reply_bytes"), InFlight * Size.FanOut),
              MegabytesPerByte)});
}

void addCommandOwner(const FleetSize &Size, const SlopeTable &Slopes,
                     Rows &Out) {
  constexpr auto Role = CapacityRole::CommandOwner;
  const double Commands = Size.queriesPerInstance() * Size.CommandShare;
  const double Remembered = Commands * Size.TicketSeconds;
  const double Foreign = 1 - 1 / Size.Instances;
  Out.push_back({Role, "messages: commands", "1/s", exactly(Commands)});
  Out.push_back({Role, "messages: commands forwarded to the ticket's issuer",
                 "1/s", exactly(Commands * Foreign)});
  Out.push_back({Role, "messages: store calls", "1/s", exactly(0)});
  Out.push_back({Role, "state: remembered outcomes", "", exactly(Remembered)});
  Out.push_back(
      {Role, "memory: remembered outcomes", "MB",
       scaled(times(Slopes.find("ledger_memory"), Remembered, Remembered),
              MegabytesPerByte)});
  Out.push_back({Role, "processor: ledger and tickets", "cores",
                 scaled(times(Slopes.find("ledger_processor"), Commands),
                        CoresPerMicrosecond)});
}

void addSessions(const FleetSize &Size, const SlopeTable &Slopes, Rows &Out) {
  constexpr auto Role = CapacityRole::Sessions;
  const double Queries = Size.queriesPerInstance();
  Out.push_back({Role, "state: sessions held", "", exactly(0)});
  Out.push_back({Role, "processor: token verified and issued", "cores",
                 scaled(plus(times(Slopes.find("token_verify"), Queries),
                             times(Slopes.find("token_issue"), Queries)),
                        CoresPerMicrosecond)});
}

void addAudit(const FleetSize &Size, const SlopeTable &Slopes, Rows &Out) {
  constexpr auto Role = CapacityRole::Audit;
  Out.push_back(
      {Role, "messages: entries", "1/day", exactly(Size.ChangesPerDay)});
  Out.push_back({Role, "state: entries kept in the store", "KB/day",
                 scaled(times(Slopes.find("audit_entry"), Size.ChangesPerDay),
                        KilobytesPerByte)});
}

Estimate gossipBytes(const FleetSize &Size, const SlopeTable &Slopes) {
  return scaled(
      times(Slopes.find("gossip_bytes"), Size.Instances, Size.Instances),
      KilobytesPerByte);
}

Estimate gossipProcessor(const FleetSize &Size, const SlopeTable &Slopes) {
  return scaled(
      times(Slopes.find("gossip_processor"), Size.Instances, Size.Instances),
      CoresPerMicrosecond);
}

Estimate memberMemory(const FleetSize &Size, const SlopeTable &Slopes) {
  return scaled(
      times(Slopes.find("member_memory"), Size.Instances, Size.Instances),
      MegabytesPerByte);
}

void addMembership(const FleetSize &Size, const SlopeTable &Slopes, Rows &Out) {
  constexpr auto Role = CapacityRole::Membership;
  Out.push_back({Role, "messages: bytes sent and received", "KB/s",
                 gossipBytes(Size, Slopes)});
  Out.push_back(
      {Role, "processor: gossip", "cores", gossipProcessor(Size, Slopes)});
  Out.push_back({Role, "memory: members", "MB", memberMemory(Size, Slopes)});
  Out.push_back({Role, "messages: rounds until all know", "",
                 times(Slopes.find("gossip_rounds"), 1, Size.Instances)});
}

void addCommandLine(const FleetSize &Size, const SlopeTable &Slopes,
                    Rows &Out) {
  constexpr auto Role = CapacityRole::CommandLine;
  Out.push_back({Role, "messages: calls per submission", "", exactly(2)});
  Out.push_back(
      {Role, "messages: sheet sent per submission", "KB",
       scaled(times(Slopes.find("sheet_text"), Size.Servers, Size.Servers),
              KilobytesPerByte)});
}

} // namespace

std::vector<CapacityRow> makeCapacityRows(const FleetSize &Size,
                                          const SlopeTable &Slopes) {
  Rows Out;
  addEntryInstance(Size, Slopes, Out);
  addStoreWatcher(Size, Slopes, Out);
  addForwarder(Size, Slopes, Out);
  addMerging(Size, Slopes, Out);
  addCommandOwner(Size, Slopes, Out);
  addSessions(Size, Slopes, Out);
  addAudit(Size, Slopes, Out);
  addMembership(Size, Slopes, Out);
  addCommandLine(Size, Slopes, Out);
  return Out;
}

ControlCost makeControlCost(const FleetSize &Size, const SlopeTable &Slopes) {
  const double ChangesPerSecond = Size.ChangesPerDay / SecondsPerDay;
  const Slope Switch = Slopes.find("sheet_switch_processor");
  const Estimate Switches =
      scaled(times(Switch, Size.Servers * ChangesPerSecond, Size.Servers),
             CoresPerMicrosecond);
  const Estimate SheetMemory =
      scaled(times(Slopes.find("sheet_memory"), Size.Servers, Size.Servers),
             MegabytesPerByte);
  const Estimate Beliefs = scaled(
      times(Slopes.find("server_state_memory"), Size.Servers, Size.Servers),
      MegabytesPerByte);
  // Each instance takes in the whole document after a restart of its own.
  const double Starts = Size.RestartsPerDay / Size.Instances / SecondsPerDay;
  const Estimate FirstSheets = scaled(
      times(Slopes.find("sheet_text"), Size.Servers * Starts, Size.Servers),
      KilobytesPerByte);
  ControlCost Cost;
  Cost.ProcessorPercent =
      scaled(plus(gossipProcessor(Size, Slopes), Switches), 100);
  Cost.MemoryMegabytes =
      plus(plus(memberMemory(Size, Slopes), SheetMemory), Beliefs);
  Cost.KilobytesPerSecond = plus(gossipBytes(Size, Slopes), FirstSheets);
  return Cost;
}

} // namespace quetzallead
