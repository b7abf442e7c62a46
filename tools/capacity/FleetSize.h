#ifndef QUETZALLEAD_CAPACITY_FLEETSIZE_H
#define QUETZALLEAD_CAPACITY_FLEETSIZE_H

namespace quetzallead {

/// The size that the capacity figures are worked out for.
struct FleetSize {
  double Instances = 950;
  double Servers = 4400;
  double QueriesPerSecond = 140000;
  /// Servers that one query asks.
  double FanOut = 75;
  double Regions = 2;
  double ZonesPerRegion = 4;
  double ChangesPerDay = 570;
  double RestartsPerDay = 500;
  double FewestConnections = 25;
  double MostConnections = 110;
  /// Services that share the servers evenly.
  double Services = 10;
  /// Share of a server's connections that is not kept for newcomers.
  double UsableConnectionShare = 1 / 1.1;
  /// Commands as a share of the queries.
  double CommandShare = 0.01;
  /// Seconds from the first query to the last answer of a sub-request.
  double SubRequestSeconds = 0.002;
  /// Seconds in which all instances of a zone come back after its restart.
  double ZoneRestartSeconds = 30;
  /// Instances per zone that watch the store.
  double WatchersPerZone = 2;
  /// Keys and lists that a watcher waits on.
  double WatchesPerWatcher = 3;
  /// Seconds that one waiting watch lasts.
  double WatchSeconds = 10;
  /// Seconds that a spent ticket is remembered.
  double TicketSeconds = 600;

  double zones() const { return Regions * ZonesPerRegion; }
  double instancesPerZone() const { return Instances / zones(); }
  double queriesPerInstance() const { return QueriesPerSecond / Instances; }
  double subRequestsPerInstance() const {
    return queriesPerInstance() * FanOut;
  }
  double homesOfServiceInRegion() const {
    return Instances / Regions / Services;
  }
  double serversOfServiceInRegion() const {
    return Servers / Regions / Services;
  }
  double subRequestsPerServer() const {
    return QueriesPerSecond * FanOut / Servers;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_CAPACITY_FLEETSIZE_H
