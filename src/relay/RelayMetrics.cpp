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

constexpr const char *OtherLabel = "other";

/// Upper bounds of the latency buckets, seconds.
const Histogram::BucketBoundaries LatencyBounds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

template <typename Enum, std::size_t N>
constexpr std::size_t countOf(const NamedValue<Enum> (&)[N]) {
  return N;
}

template <typename Enum> std::size_t indexOf(Enum Value) {
  return static_cast<std::size_t>(Value);
}

/// Holds the series of each label up to a limit, then of "other".
template <typename T> class BoundedSeries {
public:
  explicit BoundedSeries(std::size_t GivenLimit) : Limit(GivenLimit) {}

  template <typename Make> T &of(const std::string &Label, Make Fresh) {
    auto Known = Held.find(Label);
    if (Known != Held.end())
      return Known->second;
    const std::string &Used = Held.size() < Limit ? Label : Other;
    Known = Held.find(Used);
    if (Known == Held.end())
      Known = Held.emplace(Used, Fresh(Used)).first;
    return Known->second;
  }

private:
  const std::size_t Limit;
  const std::string Other = OtherLabel;
  absl::flat_hash_map<std::string, T> Held;
};

/// The series of one route; owned by the families, made when first needed.
struct RouteSeries {
  std::string Route;
  std::array<Counter *, countOf(RelayOutcomeNames)> Requests{};
  Counter *Late = nullptr;
  Histogram *Latency = nullptr;
  Counter *Wanted = nullptr;
  Counter *Missing = nullptr;
};

/// The series of one service, as above.
struct ServiceSeries {
  std::string Service;
  std::array<std::array<Counter *, countOf(AttemptResultNames)>,
             countOf(AttemptCauseNames)>
      Attempts{};
  Histogram *Latency = nullptr;
};

} // namespace

class RelayMetrics::Series {
public:
  Series(const std::string &Instance, const std::string &Zone)
      : Common({{"instance_name", Instance}, {"zone", Zone}}) {}

  void requestEnded(const RelayRequestSample &Sample);
  void requestRejected(RejectReason Reason) {
    Rejected.Add({{"reason", std::string(nameOf(RejectReasonNames, Reason))}})
        .Increment();
  }
  void attemptEnded(const std::string &Service, AttemptCause Cause,
                    AttemptResult Result, Duration Elapsed);
  std::string text(const RelaySnapshot &Now);

private:
  Family<Counter> &counters(const char *Name, const char *Help) {
    return prometheus::BuildCounter()
        .Name(Name)
        .Help(Help)
        .Labels(Common)
        .Register(All);
  }
  Family<Gauge> &gauges(const char *Name, const char *Help) {
    return prometheus::BuildGauge()
        .Name(Name)
        .Help(Help)
        .Labels(Common)
        .Register(All);
  }
  Family<Histogram> &histograms(const char *Name, const char *Help) {
    return prometheus::BuildHistogram()
        .Name(Name)
        .Help(Help)
        .Labels(Common)
        .Register(All);
  }
  void setServices(const std::map<std::string, ServiceSnapshot> &Services);

  prometheus::Registry All;
  const Labels Common;
  Family<Counter> &Requests =
      counters("quetzallead_requests_total",
               "Requests of callers by route and outcome.");
  Family<Counter> &Rejected =
      counters("quetzallead_rejected_requests_total",
               "Requests turned away before they met a route, by reason.");
  Family<Counter> &LateAnswers =
      counters("quetzallead_late_answers_total",
               "Answers that left after the route's objective.");
  Family<Histogram> &Latency =
      histograms("quetzallead_request_duration_seconds",
                 "Time from a request's arrival to its answer, by route.");
  Family<Counter> &WantedParts = counters("quetzallead_wanted_shards_total",
                                          "Shards that surveys asked for.");
  Family<Counter> &MissingParts =
      counters("quetzallead_missing_shards_total",
               "Shards that were missing from answers to surveys.");
  Family<Counter> &Attempts = counters(
      "quetzallead_attempts_total",
      "Attempts at backend servers by service, cause and result; those beyond "
      "the first are extra load.");
  Family<Histogram> &AttemptLatency =
      histograms("quetzallead_attempt_duration_seconds",
                 "Time to the answer of a backend server, by service.");
  Family<Counter> &Withheld =
      counters("quetzallead_hedges_withheld_total",
               "Parts whose last due hedge was not sent, by reason.");
  Counter &WithoutBudget = Withheld.Add({{"reason", "budget"}});
  Counter &WithoutServer = Withheld.Add({{"reason", "no_server"}});
  Family<Gauge> &Ready = gauges("quetzallead_ready", "1 while ready.");
  Family<Gauge> &SheetVersion =
      gauges("quetzallead_sheet_version", "Version of the sheet in force.");
  Family<Gauge> &StoreAge =
      gauges("quetzallead_store_age_seconds",
             "Time since the store last answered, by what is followed.");
  Family<Gauge> &Instances =
      gauges("quetzallead_instances", "Instances by which shares are taken.");
  Family<Gauge> &Callers =
      gauges("quetzallead_caller_connections", "Open connections of callers.");
  Family<Gauge> &InFlight =
      gauges("quetzallead_requests_in_flight", "Requests being served.");
  Family<Gauge> &Servers =
      gauges("quetzallead_servers", "Backend servers by service and standing.");
  Family<Gauge> &Queued =
      gauges("quetzallead_queued_attempts", "Attempts that wait for a place.");
  Family<Gauge> &AttemptsInFlight = gauges("quetzallead_attempts_in_flight",
                                           "Attempts without an answer yet.");
  Family<Gauge> &Idle = gauges("quetzallead_idle_connections",
                               "Open connections to backend servers that wait "
                               "for a request.");
  Family<Gauge> &Share =
      gauges("quetzallead_connection_share",
             "Connections to one backend server that the instance may hold.");
  Family<Gauge> &ExtraLoad =
      gauges("quetzallead_extra_attempts_available",
             "Attempts beyond the first that may be sent now.");
  BoundedSeries<RouteSeries> Routes{MaxRouteSeries};
  BoundedSeries<ServiceSeries> Services{MaxServiceSeries};
};

void RelayMetrics::Series::requestEnded(const RelayRequestSample &Sample) {
  RouteSeries &S = Routes.of(Sample.Route, [&](const std::string &Route) {
    RouteSeries Fresh;
    Fresh.Route = Route;
    Fresh.Late = &LateAnswers.Add({{"route", Route}});
    Fresh.Latency = &Latency.Add({{"route", Route}}, LatencyBounds);
    return Fresh;
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
    WithoutBudget.Increment(static_cast<double>(Sample.HedgesWithoutBudget));
  if (Sample.HedgesWithoutServer > 0)
    WithoutServer.Increment(static_cast<double>(Sample.HedgesWithoutServer));
}

void RelayMetrics::Series::attemptEnded(const std::string &Service,
                                        AttemptCause Cause,
                                        AttemptResult Result,
                                        Duration Elapsed) {
  ServiceSeries &S = Services.of(Service, [&](const std::string &Name) {
    ServiceSeries Fresh;
    Fresh.Service = Name;
    Fresh.Latency = &AttemptLatency.Add({{"service", Name}}, LatencyBounds);
    return Fresh;
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

void RelayMetrics::Series::setServices(
    const std::map<std::string, ServiceSnapshot> &Snapshots) {
  std::size_t Shown = 0;
  for (const auto &[Name, S] : Snapshots) {
    if (++Shown > MaxServiceSeries)
      return;
    const Labels Label = {{"service", Name}};
    for (const auto &[Standing, StandingName] : ServerStandingNames)
      Servers.Add({{"service", Name}, {"standing", std::string(StandingName)}})
          .Set(static_cast<double>(S.Servers[indexOf(Standing)]));
    Queued.Add(Label).Set(static_cast<double>(S.Queued));
    AttemptsInFlight.Add(Label).Set(static_cast<double>(S.InFlight));
    Idle.Add(Label).Set(static_cast<double>(S.IdleConnections));
    Share.Add(Label).Set(S.ConnectionShare);
    ExtraLoad.Add(Label).Set(S.ExtraAttempts);
  }
}

std::string RelayMetrics::Series::text(const RelaySnapshot &Now) {
  Ready.Add({}).Set(Now.Ready ? 1 : 0);
  SheetVersion.Add({}).Set(static_cast<double>(Now.SheetVersion));
  StoreAge.Add({{"following", "sheet"}})
      .Set(absl::ToDoubleSeconds(Now.SheetAge));
  StoreAge.Add({{"following", "servers"}})
      .Set(absl::ToDoubleSeconds(Now.ServersAge));
  Instances.Add({}).Set(Now.Instances);
  Callers.Add({}).Set(static_cast<double>(Now.CallerConnections));
  InFlight.Add({}).Set(static_cast<double>(Now.RequestsInFlight));
  setServices(Now.Services);
  return prometheus::TextSerializer().Serialize(All.Collect());
}

RelayMetrics::RelayMetrics(const std::string &Instance, const std::string &Zone)
    : All(std::make_unique<Series>(Instance, Zone)) {}

RelayMetrics::~RelayMetrics() = default;

void RelayMetrics::requestEnded(const RelayRequestSample &Sample) {
  All->requestEnded(Sample);
}

void RelayMetrics::requestRejected(RejectReason Reason) {
  All->requestRejected(Reason);
}

void RelayMetrics::attemptEnded(const std::string &Service, AttemptCause Cause,
                                AttemptResult Result, Duration Elapsed) {
  All->attemptEnded(Service, Cause, Result, Elapsed);
}

std::string RelayMetrics::text(const RelaySnapshot &Now) {
  return All->text(Now);
}

} // namespace quetzallead
