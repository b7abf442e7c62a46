#include "runtime/Metrics.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include <algorithm>
#include <array>
#include <atomic>
#include <exception>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace quetzallead {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

constexpr const char *OtherLabel = "other";
constexpr int AttemptCauseCount = 3;

/// Upper bounds of the latency buckets, seconds.
const Histogram::BucketBoundaries LatencyBounds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
/// Upper bounds of the coverage buckets, share of the wanted shards.
const Histogram::BucketBoundaries CoverageBounds = {0.5,  0.8,   0.9,   0.95,
                                                    0.99, 0.999, 0.9999};

std::string labelOf(absl::string_view Name) { return std::string(Name); }

template <typename Enum> std::size_t indexOf(Enum Value) {
  return static_cast<std::size_t>(Value);
}

/// The series of one service; owned by the families.
struct ServiceSeries {
  std::array<Counter *, RequestOutcomeCount> Requests = {};
  std::array<Histogram *, PriorityCount> Latency = {};
  std::array<Counter *, AttemptCauseCount> Attempts = {};
  std::array<Counter *, PriorityCount> Sheds = {};
  Histogram *Coverage = nullptr;
  Counter *WantedShards = nullptr;
  Counter *MissingShards = nullptr;
  Gauge *RetryBudget = nullptr;
};

using SeriesMap =
    absl::flat_hash_map<std::string, std::shared_ptr<const ServiceSeries>>;

class PrometheusMetrics : public Metrics {
public:
  explicit PrometheusMetrics(const MetricsOptions &Options);

  /// May throw what the library throws if the address cannot be bound.
  void expose(const std::string &Listen);

  void setServices(const std::vector<std::string> &Names) override;
  void requestEnded(const RequestSample &Sample) override;
  void attemptStarted(absl::string_view Service, AttemptCause Cause) override;
  void requestShed(absl::string_view Service, Priority Urgency) override;
  void setQueueLength(Priority Urgency, std::size_t Length) override;
  void setRetryBudget(absl::string_view Service, double Attempts) override;
  void
  setConnections(const std::map<std::string, std::size_t> &ByServer) override;
  void setSheetRevision(std::uint64_t Revision) override;
  void setPeers(const std::map<std::string, std::size_t> &ByState) override;
  void peerFrameRefused(absl::string_view Reason) override;
  std::string text() const override;
  int port() const override;

private:
  std::shared_ptr<const ServiceSeries> seriesOf(absl::string_view Service);
  std::shared_ptr<const ServiceSeries> addSeries(const std::string &Service);
  Family<Counter> &counters(const char *Name, const char *Help);
  Family<Gauge> &gauges(const char *Name, const char *Help);
  Family<Histogram> &histograms(const char *Name, const char *Help);
  static void replaceGauges(Family<Gauge> &InFamily, const char *Label,
                            const std::map<std::string, std::size_t> &Values,
                            std::map<std::string, Gauge *> &Held);

  std::shared_ptr<Registry> All = std::make_shared<Registry>();
  const prometheus::Labels Common;
  Family<Counter> &Requests;
  Family<Histogram> &Latency;
  Family<Histogram> &Coverage;
  Family<Counter> &WantedShards;
  Family<Counter> &MissingShards;
  Family<Counter> &Attempts;
  Family<Counter> &Sheds;
  Family<Gauge> &RetryBudget;
  Family<Gauge> &QueueLength;
  Family<Gauge> &Connections;
  Family<Gauge> &SheetRevision;
  Family<Gauge> &Peers;
  Family<Counter> &RefusedFrames;

  /// Read without a lock on the path of requests.
  std::shared_ptr<const SeriesMap> Series;
  std::shared_ptr<const ServiceSeries> Other;
  std::mutex GaugeMutex;
  std::map<std::string, Gauge *> ConnectionGauges;
  std::map<std::string, Gauge *> PeerGauges;
  std::unique_ptr<prometheus::Exposer> Exposer;
};

PrometheusMetrics::PrometheusMetrics(const MetricsOptions &Options)
    : Common({{"instance_name", Options.Instance}, {"zone", Options.Zone}}),
      Requests(counters("quetzallead_requests_total",
                        "Requests of callers by service and outcome.")),
      Latency(histograms("quetzallead_request_duration_seconds",
                         "Time from a request's arrival to its answer.")),
      Coverage(histograms("quetzallead_coverage_ratio",
                          "Share of the wanted shards that answers cover.")),
      WantedShards(counters("quetzallead_wanted_shards_total",
                            "Shards that requests asked for.")),
      MissingShards(counters("quetzallead_missing_shards_total",
                             "Shards that were missing from answers.")),
      Attempts(counters("quetzallead_attempts_total",
                        "Sub-requests sent to backend servers by cause; those "
                        "beyond the first are extra load.")),
      Sheds(counters("quetzallead_sheds_total",
                     "Requests refused at once for want of capacity.")),
      RetryBudget(gauges("quetzallead_retry_budget_attempts",
                         "Attempts that retries and hedges may still take.")),
      QueueLength(gauges("quetzallead_queued_requests",
                         "Requests that wait for a backend server.")),
      Connections(gauges("quetzallead_server_connections",
                         "Open connections by backend server.")),
      SheetRevision(gauges("quetzallead_sheet_revision",
                           "Revision of the sheet in force.")),
      Peers(gauges("quetzallead_peers", "Other instances by state.")),
      RefusedFrames(counters("quetzallead_refused_peer_frames_total",
                             "Frames from peers that were refused.")),
      Series(std::make_shared<const SeriesMap>()),
      Other(addSeries(OtherLabel)) {}

Family<Counter> &PrometheusMetrics::counters(const char *Name,
                                             const char *Help) {
  return BuildCounter().Name(Name).Help(Help).Labels(Common).Register(*All);
}

Family<Gauge> &PrometheusMetrics::gauges(const char *Name, const char *Help) {
  return BuildGauge().Name(Name).Help(Help).Labels(Common).Register(*All);
}

Family<Histogram> &PrometheusMetrics::histograms(const char *Name,
                                                 const char *Help) {
  return BuildHistogram().Name(Name).Help(Help).Labels(Common).Register(*All);
}

std::shared_ptr<const ServiceSeries>
PrometheusMetrics::addSeries(const std::string &Service) {
  auto S = std::make_shared<ServiceSeries>();
  for (const auto &[Outcome, Name] : RequestOutcomeNames)
    S->Requests[indexOf(Outcome)] =
        &Requests.Add({{"service", Service}, {"outcome", labelOf(Name)}});
  for (const auto &[Urgency, Name] : PriorityNames) {
    const prometheus::Labels Labels = {{"service", Service},
                                       {"priority", labelOf(Name)}};
    S->Latency[indexOf(Urgency)] = &Latency.Add(Labels, LatencyBounds);
    S->Sheds[indexOf(Urgency)] = &Sheds.Add(Labels);
  }
  for (const auto &[Cause, Name] : AttemptCauseNames)
    S->Attempts[indexOf(Cause)] =
        &Attempts.Add({{"service", Service}, {"cause", labelOf(Name)}});
  const prometheus::Labels ServiceOnly = {{"service", Service}};
  S->Coverage = &Coverage.Add(ServiceOnly, CoverageBounds);
  S->WantedShards = &WantedShards.Add(ServiceOnly);
  S->MissingShards = &MissingShards.Add(ServiceOnly);
  S->RetryBudget = &RetryBudget.Add(ServiceOnly);
  return S;
}

/// Series are never removed while the process runs, since a request may still
/// hold one; so the bound is on all services that were ever on a sheet.
void PrometheusMetrics::setServices(const std::vector<std::string> &Names) {
  const std::lock_guard<std::mutex> Lock(GaugeMutex);
  auto Next = std::make_shared<SeriesMap>(*std::atomic_load(&Series));
  for (const std::string &Name : Names)
    if (!Next->contains(Name) && Next->size() < MaxServiceSeries)
      Next->emplace(Name, addSeries(Name));
  std::atomic_store(&Series, std::shared_ptr<const SeriesMap>(std::move(Next)));
}

std::shared_ptr<const ServiceSeries>
PrometheusMetrics::seriesOf(absl::string_view Service) {
  const std::shared_ptr<const SeriesMap> Now = std::atomic_load(&Series);
  const auto It = Now->find(Service);
  return It == Now->end() ? Other : It->second;
}

void PrometheusMetrics::requestEnded(const RequestSample &Sample) {
  const std::shared_ptr<const ServiceSeries> S = seriesOf(Sample.Service);
  S->Requests[indexOf(Sample.Outcome)]->Increment();
  S->Latency[indexOf(Sample.Urgency)]->Observe(
      absl::ToDoubleSeconds(Sample.Elapsed));
  if (Sample.WantedShards <= 0)
    return;
  const double Wanted = Sample.WantedShards;
  const double Covered = std::clamp<double>(Sample.CoveredShards, 0, Wanted);
  S->WantedShards->Increment(Wanted);
  S->MissingShards->Increment(Wanted - Covered);
  S->Coverage->Observe(Covered / Wanted);
}

void PrometheusMetrics::attemptStarted(absl::string_view Service,
                                       AttemptCause Cause) {
  seriesOf(Service)->Attempts[indexOf(Cause)]->Increment();
}

void PrometheusMetrics::requestShed(absl::string_view Service,
                                    Priority Urgency) {
  seriesOf(Service)->Sheds[indexOf(Urgency)]->Increment();
}

void PrometheusMetrics::setRetryBudget(absl::string_view Service, double Left) {
  seriesOf(Service)->RetryBudget->Set(Left);
}

void PrometheusMetrics::setQueueLength(Priority Urgency, std::size_t Length) {
  QueueLength.Add({{"priority", labelOf(nameOf(PriorityNames, Urgency))}})
      .Set(static_cast<double>(Length));
}

void PrometheusMetrics::setSheetRevision(std::uint64_t Revision) {
  SheetRevision.Add({}).Set(static_cast<double>(Revision));
}

void PrometheusMetrics::setConnections(
    const std::map<std::string, std::size_t> &ByServer) {
  std::map<std::string, std::size_t> Bounded;
  for (const auto &[Server, Count] : ByServer) {
    const bool Fits = Bounded.size() < MaxServerSeries;
    Bounded[Fits ? Server : OtherLabel] += Count;
  }
  const std::lock_guard<std::mutex> Lock(GaugeMutex);
  replaceGauges(Connections, "server", Bounded, ConnectionGauges);
}

void PrometheusMetrics::setPeers(
    const std::map<std::string, std::size_t> &ByState) {
  const std::lock_guard<std::mutex> Lock(GaugeMutex);
  replaceGauges(Peers, "state", ByState, PeerGauges);
}

void PrometheusMetrics::replaceGauges(
    Family<Gauge> &InFamily, const char *Label,
    const std::map<std::string, std::size_t> &Values,
    std::map<std::string, Gauge *> &Held) {
  for (auto It = Held.begin(); It != Held.end();) {
    if (Values.count(It->first) > 0) {
      ++It;
      continue;
    }
    InFamily.Remove(It->second);
    It = Held.erase(It);
  }
  for (const auto &[Name, Value] : Values) {
    Gauge *&G = Held[Name];
    if (G == nullptr)
      G = &InFamily.Add({{Label, Name}});
    G->Set(static_cast<double>(Value));
  }
}

void PrometheusMetrics::peerFrameRefused(absl::string_view Reason) {
  RefusedFrames.Add({{"reason", labelOf(Reason)}}).Increment();
}

std::string PrometheusMetrics::text() const {
  return prometheus::TextSerializer().Serialize(All->Collect());
}

void PrometheusMetrics::expose(const std::string &Listen) {
  Exposer = std::make_unique<prometheus::Exposer>(Listen);
  Exposer->RegisterCollectable(All);
}

int PrometheusMetrics::port() const {
  if (!Exposer)
    return 0;
  const std::vector<int> Ports = Exposer->GetListeningPorts();
  return Ports.empty() ? 0 : Ports.front();
}

} // namespace

Result<std::unique_ptr<Metrics>> Metrics::make(const MetricsOptions &Options) {
  auto Made = std::make_unique<PrometheusMetrics>(Options);
  if (!Options.Listen.empty()) {
    try {
      Made->expose(Options.Listen);
    } catch (const std::exception &E) {
      return fail(ErrorCode::Unavailable,
                  std::string("cannot listen for scrapes: ") + E.what(),
                  Options.Listen);
    }
  }
  return std::unique_ptr<Metrics>(std::move(Made));
}

} // namespace quetzallead
