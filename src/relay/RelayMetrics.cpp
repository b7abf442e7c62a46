#include "relay/RelayMetrics.h"
#include "absl/container/flat_hash_map.h"
#include <array>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace quetzallead {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Labels;

constexpr const char *OverflowLabelText = "other";

/// Upper bounds of the latency buckets in seconds.
const Histogram::BucketBoundaries LatencyBounds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

template <typename Enum, std::size_t N>
constexpr std::size_t countOf(const NamedValue<Enum> (&)[N]) {
  return N;
}

template <typename Enum> std::size_t indexOf(Enum Value) {
  return static_cast<std::size_t>(Value);
}

/// Holds one series per label up to a maximum; all further labels share the
/// series of the label "other".
template <typename T> class BoundedSeries {
public:
  explicit BoundedSeries(std::size_t GivenMaxLabels)
      : MaxLabels(GivenMaxLabels) {}

  template <typename Make>
  T &findOrCreate(const std::string &Label, Make MakeSeries) {
    auto It = SeriesByLabel.find(Label);
    if (It != SeriesByLabel.end())
      return It->second;
    const std::string &BoundedLabel =
        SeriesByLabel.size() < MaxLabels ? Label : OverflowLabel;
    It = SeriesByLabel.find(BoundedLabel);
    if (It == SeriesByLabel.end())
      It = SeriesByLabel.emplace(BoundedLabel, MakeSeries(BoundedLabel)).first;
    return It->second;
  }

private:
  const std::size_t MaxLabels;
  const std::string OverflowLabel = OverflowLabelText;
  absl::flat_hash_map<std::string, T> SeriesByLabel;
};

/// The series of one route. They are owned by their families and added when
/// first used.
struct RouteSeries {
  std::string Route;
  std::array<Counter *, countOf(RelayOutcomeNames)> Requests{};
  Counter *Late = nullptr;
  Histogram *Latency = nullptr;
  Counter *Wanted = nullptr;
  Counter *Missing = nullptr;
};

/// The series of one client account. They are owned by their family and added
/// when first used.
struct AccountSeries {
  std::string Account;
  std::array<Counter *, countOf(AccountUseNames)> Uses{};
};

/// The series of one service. They are owned by their families and added when
/// first used.
struct ServiceSeries {
  std::string Service;
  std::array<std::array<Counter *, countOf(AttemptResultNames)>,
             countOf(AttemptCauseNames)>
      Attempts{};
  Histogram *Latency = nullptr;
};

} // namespace

class RelayMetrics::Exporter {
public:
  Exporter(const std::string &Instance, const std::string &Zone)
      : CommonLabels({{"instance_name", Instance}, {"zone", Zone}}) {}

  void requestEnded(const RelayRequestSample &Sample);
  void requestRejected(RejectReason Reason) {
    Rejected.Add({{"reason", std::string(nameOf(RejectReasonNames, Reason))}})
        .Increment();
  }
  void attemptEnded(const std::string &Service, AttemptCause Cause,
                    AttemptResult Result, Duration Elapsed);
  void serverLeaving() { LeavingCount.Increment(); }
  void serverPaused() { PauseCount.Increment(); }
  void serverLimited() { LimitCount.Increment(); }
  void serverEnded() { EndCount.Increment(); }
  void accountUsed(const std::string &Account, AccountUse Use);
  void memoryFreed(MemoryUse Use) {
    MemoryFreed.Add({{"use", std::string(nameOf(MemoryUseNames, Use))}})
        .Increment();
  }
  void messageRefused(PeerKind From, absl::string_view Defect) {
    RefusedMessages
        .Add({{"peer", std::string(nameOf(PeerKindNames, From))},
              {"defect", std::string(Defect)}})
        .Increment();
  }
  void storeLost(const char *Following, StoreOutcome Outcome) {
    StoreLosses
        .Add({{"following", Following},
              {"outcome", std::string(nameOf(StoreOutcomeNames, Outcome))}})
        .Increment();
  }
  void storeReturned() { OutageCount.Increment(); }
  void serversLost() {
    ServersLost.Set(1);
    LossCount.Increment();
  }
  void serversRegained() { ServersLost.Set(0); }
  void requestHandedOver(bool Begun) {
    HandedOver.Add({{"begun", Begun ? "1" : "0"}}).Increment();
  }
  void loopStepLong(LoopTask Task) {
    LongSteps.Add({{"task", std::string(nameOf(LoopTaskNames, Task))}})
        .Increment();
  }
  std::string serialize(const RelaySnapshot &Snapshot);

private:
  Family<Counter> &counterFamily(const char *Name, const char *Help) {
    return prometheus::BuildCounter()
        .Name(Name)
        .Help(Help)
        .Labels(CommonLabels)
        .Register(Registry);
  }
  Family<Gauge> &gaugeFamily(const char *Name, const char *Help) {
    return prometheus::BuildGauge()
        .Name(Name)
        .Help(Help)
        .Labels(CommonLabels)
        .Register(Registry);
  }
  Family<Histogram> &histogramFamily(const char *Name, const char *Help) {
    return prometheus::BuildHistogram()
        .Name(Name)
        .Help(Help)
        .Labels(CommonLabels)
        .Register(Registry);
  }
  void setServices(const std::map<std::string, ServiceSnapshot> &Services);

  prometheus::Registry Registry;
  const Labels CommonLabels;
  Family<Counter> &Requests =
      counterFamily("quetzallead_requests_total",
                    "Requests of callers by route and outcome.");
  Family<Counter> &Rejected =
      counterFamily("quetzallead_rejected_requests_total",
                    "Requests turned away before they met a route, by reason.");
  Family<Counter> &RefusedMessages = counterFamily(
      "quetzallead_refused_messages_total",
      "Requests and responses that were refused as messages, by peer and "
      "defect.");
  Family<Counter> &LongSteps =
      counterFamily("quetzallead_loop_steps_long_total",
                    "Steps of the event loop that took more than 5 ms."
                    " No other request is served meanwhile.");
  Family<Counter> &LateAnswers =
      counterFamily("quetzallead_late_answers_total",
                    "Answers that left after the route's objective.");
  Family<Histogram> &Latency =
      histogramFamily("quetzallead_request_duration_seconds",
                      "Time from a request's arrival to its answer, by route.");
  Family<Counter> &WantedParts = counterFamily(
      "quetzallead_wanted_shards_total", "Shards that surveys asked for.");
  Family<Counter> &MissingParts =
      counterFamily("quetzallead_missing_shards_total",
                    "Shards that were missing from answers to surveys.");
  Family<Counter> &Attempts = counterFamily(
      "quetzallead_attempts_total",
      "Attempts at backend servers by service, cause and result; those beyond "
      "the first are extra load.");
  Family<Histogram> &AttemptLatency =
      histogramFamily("quetzallead_attempt_duration_seconds",
                      "Time to the answer of a backend server, by service.");
  Family<Counter> &WithheldHedges =
      counterFamily("quetzallead_hedges_withheld_total",
                    "Parts whose last due hedge was not sent, by reason.");
  Counter &HedgesWithoutBudgetCount =
      WithheldHedges.Add({{"reason", "budget"}});
  Counter &HedgesWithoutServerCount =
      WithheldHedges.Add({{"reason", "no_server"}});
  Counter &LeavingCount =
      counterFamily("quetzallead_servers_leaving_total",
                    "Backend servers whose responses said that they leave.")
          .Add({});
  Counter &PauseCount =
      counterFamily("quetzallead_server_pauses_total",
                    "Pauses that backend servers have asked for.")
          .Add({});
  Counter &LimitCount =
      counterFamily("quetzallead_server_limits_total",
                    "Limits that backend servers have named or changed.")
          .Add({});
  Counter &EndCount =
      counterFamily("quetzallead_server_ends_total",
                    "Ends of backend servers under a request, by request.")
          .Add({});
  Family<Counter> &StoreLosses = counterFamily(
      "quetzallead_store_losses_total",
      "Times that what is followed in the store was lost, by what and how.");
  Counter &OutageCount =
      counterFamily("quetzallead_store_outages_total",
                    "Outages of the store in which entries may have lapsed.")
          .Add({});
  Counter &LossCount =
      counterFamily("quetzallead_servers_losses_total",
                    "Times that the instance has lost all backend servers.")
          .Add({});
  Family<Counter> &HandedOver = counterFamily(
      "quetzallead_handed_over_requests_total",
      "Requests of callers that went to a home because the instance lacks "
      "servers, by whether a server may have got them before.");
  Family<Counter> &MemoryFreed = counterFamily(
      "quetzallead_memory_freed_total",
      "Messages that were ended because memory was short, by use.");
  Family<Gauge> &HeldBytes =
      gaugeFamily("quetzallead_held_bytes",
                  "Bytes of requests and responses that are held.");
  Gauge &ServersLost =
      gaugeFamily("quetzallead_servers_lost",
                  "1 while the instance has lost all backend servers.")
          .Add({});
  Family<Gauge> &Blocked = gaugeFamily(
      "quetzallead_blocked_requests",
      "Requests, by content, that are not sent to backend servers any more.");
  Family<Gauge> &LimitedServers =
      gaugeFamily("quetzallead_limited_servers",
                  "Backend servers that name a limit, by service.");
  Family<Gauge> &ColdServers =
      gaugeFamily("quetzallead_cold_servers",
                  "Backend servers that are cold and have a cap, by service.");
  Family<Gauge> &Displaced = gaugeFamily(
      "quetzallead_displaced_attempts",
      "Attempts that a full queue has given up since the start, by service.");
  Family<Gauge> &EvacuatedZones =
      gaugeFamily("quetzallead_evacuated_zones",
                  "Availability zones whose servers get no requests.");
  Family<Counter> &AccountRequests =
      counterFamily("quetzallead_account_requests_total",
                    "Requests by account and what its limit made of them.");
  Family<Gauge> &Ready = gaugeFamily("quetzallead_ready", "1 while ready.");
  Family<Gauge> &SheetVersion = gaugeFamily("quetzallead_sheet_version",
                                            "Version of the sheet in force.");
  Family<Gauge> &StoreAge =
      gaugeFamily("quetzallead_store_age_seconds",
                  "Time since the store last answered, by what is followed.");
  Family<Gauge> &Instances = gaugeFamily(
      "quetzallead_instances", "Instances by which shares are taken.");
  Family<Gauge> &Callers = gaugeFamily("quetzallead_caller_connections",
                                       "Open connections of callers.");
  Family<Gauge> &InFlight =
      gaugeFamily("quetzallead_requests_in_flight", "Requests being served.");
  Family<Gauge> &Servers = gaugeFamily(
      "quetzallead_servers", "Backend servers by service and standing.");
  Family<Gauge> &Queued = gaugeFamily("quetzallead_queued_attempts",
                                      "Attempts that wait for a place.");
  Family<Gauge> &AttemptsInFlight = gaugeFamily(
      "quetzallead_attempts_in_flight", "Attempts without an answer yet.");
  Family<Gauge> &Idle =
      gaugeFamily("quetzallead_idle_connections",
                  "Open connections to backend servers that wait "
                  "for a request.");
  Family<Gauge> &Share = gaugeFamily(
      "quetzallead_connection_share",
      "Connections to one backend server that the instance may hold.");
  Family<Gauge> &ExtraLoad =
      gaugeFamily("quetzallead_extra_attempts_available",
                  "Attempts beyond the first that may be sent now.");
  BoundedSeries<RouteSeries> Routes{MaxRouteSeries};
  BoundedSeries<ServiceSeries> Services{MaxServiceSeries};
  BoundedSeries<AccountSeries> Accounts{MaxAccountSeries};
};

void RelayMetrics::Exporter::requestEnded(const RelayRequestSample &Sample) {
  RouteSeries &S =
      Routes.findOrCreate(Sample.Route, [&](const std::string &Route) {
        RouteSeries NewSeries;
        NewSeries.Route = Route;
        NewSeries.Late = &LateAnswers.Add({{"route", Route}});
        NewSeries.Latency = &Latency.Add({{"route", Route}}, LatencyBounds);
        return NewSeries;
      });
  Counter *&Count = S.Requests[indexOf(Sample.Outcome)];
  if (Count == nullptr)
    Count = &Requests.Add(
        {{"route", S.Route},
         {"outcome", std::string(nameOf(RelayOutcomeNames, Sample.Outcome))}});
  Count->Increment();
  S.Latency->Observe(absl::ToDoubleSeconds(Sample.Elapsed));
  const bool Answered = Sample.Outcome == RelayOutcome::Relayed ||
                        Sample.Outcome == RelayOutcome::Merged;
  if (Answered && Sample.Elapsed > Sample.Objective)
    S.Late->Increment();
  if (Sample.WantedParts > 1) {
    if (S.Wanted == nullptr) {
      S.Wanted = &WantedParts.Add({{"route", S.Route}});
      S.Missing = &MissingParts.Add({{"route", S.Route}});
    }
    S.Wanted->Increment(static_cast<double>(Sample.WantedParts));
    S.Missing->Increment(static_cast<double>(Sample.MissingParts));
  }
  if (Sample.HedgesWithoutBudget > 0)
    HedgesWithoutBudgetCount.Increment(
        static_cast<double>(Sample.HedgesWithoutBudget));
  if (Sample.HedgesWithoutServer > 0)
    HedgesWithoutServerCount.Increment(
        static_cast<double>(Sample.HedgesWithoutServer));
}

void RelayMetrics::Exporter::attemptEnded(const std::string &Service,
                                          AttemptCause Cause,
                                          AttemptResult Result,
                                          Duration Elapsed) {
  ServiceSeries &S = Services.findOrCreate(Service, [&](const std::string
                                                            &Name) {
    ServiceSeries NewSeries;
    NewSeries.Service = Name;
    NewSeries.Latency = &AttemptLatency.Add({{"service", Name}}, LatencyBounds);
    return NewSeries;
  });
  Counter *&Count = S.Attempts[indexOf(Cause)][indexOf(Result)];
  if (Count == nullptr)
    Count = &Attempts.Add(
        {{"service", S.Service},
         {"cause", std::string(nameOf(AttemptCauseNames, Cause))},
         {"result", std::string(nameOf(AttemptResultNames, Result))}});
  Count->Increment();
  if (Result == AttemptResult::Answered)
    S.Latency->Observe(absl::ToDoubleSeconds(Elapsed));
}

void RelayMetrics::Exporter::accountUsed(const std::string &Account,
                                         AccountUse Use) {
  AccountSeries &S =
      Accounts.findOrCreate(Account, [](const std::string &Name) {
        AccountSeries NewSeries;
        NewSeries.Account = Name;
        return NewSeries;
      });
  Counter *&Count = S.Uses[indexOf(Use)];
  if (Count == nullptr)
    Count = &AccountRequests.Add(
        {{"account", S.Account},
         {"outcome", std::string(nameOf(AccountUseNames, Use))}});
  Count->Increment();
}

void RelayMetrics::Exporter::setServices(
    const std::map<std::string, ServiceSnapshot> &Snapshots) {
  std::size_t ServiceCount = 0;
  for (const auto &[Name, S] : Snapshots) {
    if (++ServiceCount > MaxServiceSeries)
      return;
    const Labels Label = {{"service", Name}};
    for (const auto &[Standing, StandingName] : ServerStateNames)
      Servers.Add({{"service", Name}, {"standing", std::string(StandingName)}})
          .Set(static_cast<double>(S.Servers[indexOf(Standing)]));
    LimitedServers.Add({{"service", Name}}).Set(static_cast<double>(S.Limited));
    ColdServers.Add(Label).Set(static_cast<double>(S.Cold));
    Displaced.Add(Label).Set(static_cast<double>(S.Displaced));
    Queued.Add(Label).Set(static_cast<double>(S.Queued));
    AttemptsInFlight.Add(Label).Set(static_cast<double>(S.InFlight));
    Idle.Add(Label).Set(static_cast<double>(S.IdleConnections));
    Share.Add(Label).Set(S.ConnectionShare);
    ExtraLoad.Add(Label).Set(S.ExtraAttempts);
  }
}

std::string RelayMetrics::Exporter::serialize(const RelaySnapshot &Snapshot) {
  Ready.Add({}).Set(Snapshot.Ready ? 1 : 0);
  SheetVersion.Add({}).Set(static_cast<double>(Snapshot.SheetVersion));
  StoreAge.Add({{"following", "sheet"}})
      .Set(absl::ToDoubleSeconds(Snapshot.SheetAge));
  StoreAge.Add({{"following", "servers"}})
      .Set(absl::ToDoubleSeconds(Snapshot.ServersAge));
  Instances.Add({}).Set(Snapshot.Instances);
  Callers.Add({}).Set(static_cast<double>(Snapshot.CallerConnections));
  InFlight.Add({}).Set(static_cast<double>(Snapshot.RequestsInFlight));
  HeldBytes.Add({}).Set(static_cast<double>(Snapshot.HeldBytes));
  Blocked.Add({}).Set(static_cast<double>(Snapshot.BlockedRequests));
  EvacuatedZones.Add({}).Set(static_cast<double>(Snapshot.EvacuatedZones));
  setServices(Snapshot.Services);
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

RelayMetrics::RelayMetrics(const std::string &Instance, const std::string &Zone)
    : Impl(std::make_unique<Exporter>(Instance, Zone)) {}

RelayMetrics::~RelayMetrics() = default;

void RelayMetrics::requestEnded(const RelayRequestSample &Sample) {
  Impl->requestEnded(Sample);
}

void RelayMetrics::requestRejected(RejectReason Reason) {
  Impl->requestRejected(Reason);
}

void RelayMetrics::serverLeaving() { Impl->serverLeaving(); }

void RelayMetrics::serverPaused() { Impl->serverPaused(); }

void RelayMetrics::loopStepLong(LoopTask Task) { Impl->loopStepLong(Task); }

void RelayMetrics::serverLimited() { Impl->serverLimited(); }

void RelayMetrics::serverEnded() { Impl->serverEnded(); }

void RelayMetrics::memoryFreed(MemoryUse Use) { Impl->memoryFreed(Use); }

void RelayMetrics::accountUsed(const std::string &Account, AccountUse Use) {
  Impl->accountUsed(Account, Use);
}

void RelayMetrics::storeLost(const char *Following, StoreOutcome Outcome) {
  Impl->storeLost(Following, Outcome);
}

void RelayMetrics::messageRefused(PeerKind From, absl::string_view Defect) {
  Impl->messageRefused(From, Defect);
}

void RelayMetrics::storeReturned() { Impl->storeReturned(); }

void RelayMetrics::serversLost() { Impl->serversLost(); }

void RelayMetrics::serversRegained() { Impl->serversRegained(); }

void RelayMetrics::requestHandedOver(bool Begun) {
  Impl->requestHandedOver(Begun);
}

void RelayMetrics::attemptEnded(const std::string &Service, AttemptCause Cause,
                                AttemptResult Result, Duration Elapsed) {
  Impl->attemptEnded(Service, Cause, Result, Elapsed);
}

std::string RelayMetrics::serialize(const RelaySnapshot &Snapshot) {
  return Impl->serialize(Snapshot);
}

} // namespace quetzallead
