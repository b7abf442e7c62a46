#include "daemon/QueryPlanner.h"
#include "absl/strings/str_cat.h"
#include "daemon/CallerRequest.h"
#include "daemon/ClusterView.h"
#include "daemon/Settings.h"
#include <algorithm>
#include <cmath>

namespace quetzallead {

using nlohmann::json;

/// Quantile of a service's latencies after which a hedge is sent.
static constexpr double HedgeQuantile = 0.95;
/// A learned hedge delay is at least this.
static constexpr Duration LeastHedgeDelay = absl::Milliseconds(1);
static constexpr Duration LeastRetryAfter = absl::Milliseconds(50);
static constexpr Duration LongestRetryAfter = absl::Seconds(5);

static Duration hedgeDelay(const ServiceView &Service,
                           const PolicySettings &Policy) {
  if (Policy.Hedging == HedgingChoice::None)
    return absl::InfiniteDuration();
  if (Policy.Hedging == HedgingChoice::Fixed)
    return Policy.HedgeDelay;
  switch (Service.Spec.Hedge) {
  case HedgePolicy::None:
    return absl::InfiniteDuration();
  case HedgePolicy::Fixed:
    return Service.Spec.HedgeDelay;
  case HedgePolicy::Learned:
    break;
  }
  std::optional<Duration> Learned =
      Service.Stats->Latencies.quantile(HedgeQuantile);
  return Learned ? std::max(LeastHedgeDelay, *Learned)
                 : Service.Spec.HedgeDelay;
}

static PartPlan planPart(const ServiceView &Service, std::size_t Shard) {
  const ShardSpec &Spec = Service.Spec.Shards[Shard];
  PartPlan Part;
  Part.Shard = Spec.Name;
  Part.From = Spec.From;
  Part.To = Spec.To;
  Part.Held = Service.Shards[Shard]->heldVersions(Part.Unusable);
  // Knowledge from an earlier partition epoch says nothing about this one.
  for (HeldVersions &Held : Part.Held)
    if (Held.known() && Held.Epoch != Service.Spec.Epoch)
      Held = HeldVersions{};
  return Part;
}

static QueryJob makeJob(const ClusterView &View,
                        std::shared_ptr<const ServiceView> Service,
                        RequestContext Context, std::optional<Duration> Timeout,
                        const PolicySettings &Policy) {
  QueryJob Job;
  const ServiceSpec &Spec = Service->Spec;
  Duration Limit = std::min(Timeout.value_or(Spec.Timeout), Spec.Timeout * 10);
  Job.Plan.Epoch = Spec.Epoch;
  Job.Plan.Deadline = Context.Received + Limit;
  Job.Plan.CoverageDeadline =
      std::min(Job.Plan.Deadline, Context.Received + Spec.CoverageWait);
  Job.Plan.LeastCoverage = Spec.LeastCoverage;
  Job.Plan.HedgeDelay = hedgeDelay(*Service, Policy);
  Job.SheetRevision = View.Revision;
  Job.Context = std::move(Context);
  Job.Service = std::move(Service);
  return Job;
}

/// The problem of a request that cannot be served in time; none if it can.
static std::optional<Problem> checkCapacity(const QueryJob &Job) {
  std::size_t Late = 0;
  Duration Longest = absl::ZeroDuration();
  TimePoint Now = Job.Context.Received;
  for (std::size_t Shard : Job.Shards) {
    Duration Wait =
        Job.Service->Shards[Shard]->expectedWait(Job.Context.Urgency, Now);
    if (Now + Wait < Job.Plan.Deadline)
      continue;
    ++Late;
    Longest = std::max(Longest, Wait);
  }
  auto Wanted = static_cast<double>(Job.Shards.size());
  double Reachable = Wanted - static_cast<double>(Late);
  // Missing shards are told in the answer; a request is refused as a whole if
  // a queue is full, not if a shard is down.
  bool Enough = Late == 0 || Reachable >= Job.Plan.LeastCoverage * Wanted;
  if (Enough)
    return std::nullopt;
  bool Overloaded = false;
  for (std::size_t Shard : Job.Shards)
    Overloaded = Overloaded || Job.Service->Shards[Shard]->queueLength() > 0;
  if (!Overloaded)
    return std::nullopt;
  Problem P;
  P.Type = ProblemType::Overloaded;
  P.Detail = absl::StrCat(Late, " of ", Job.Shards.size(),
                          " shards could not start before the deadline");
  P.RetryAfter = std::clamp(Longest, LeastRetryAfter, LongestRetryAfter);
  return P;
}

static std::string templateOf(const QueryJob &Job, const json &Query,
                              const std::string &Key) {
  json Members;
  Members["merge"] = nameOf(MergeKindNames, Job.Plan.Kind);
  Members["epoch"] = Job.Plan.Epoch;
  if (!Query.is_null())
    Members["query"] = Query;
  if (!Key.empty())
    Members["key"] = Key;
  if (Job.Plan.Limit != 0)
    Members["limit"] = Job.Plan.Limit;
  if (!Job.Plan.OrderBy.empty())
    Members["order_by"] = Job.Plan.OrderBy;
  std::string Text =
      Members.dump(-1, ' ', false, json::error_handler_t::replace);
  // Without the braces, ready for the members of one attempt.
  return Text.substr(1, Text.size() - 2) + ",";
}

static PlannedQuery finishPlan(QueryJob Job, const json &Query,
                               const std::string &Key) {
  if (std::optional<Problem> P = checkCapacity(Job))
    return *P;
  for (std::size_t Shard : Job.Shards)
    Job.Plan.Parts.push_back(planPart(*Job.Service, Shard));
  Job.Template.Members = templateOf(Job, Query, Key);
  return Job;
}

PlannedQuery planSurvey(const ClusterView &View,
                        std::shared_ptr<const ServiceView> Service,
                        const SurveyRequest &Request, RequestContext Context,
                        std::uint64_t MinVersion,
                        const PolicySettings &Policy) {
  QueryJob Job = makeJob(View, std::move(Service), std::move(Context),
                         Request.Timeout, Policy);
  Job.Plan.Kind = Request.Kind;
  Job.Plan.OrderBy = Request.OrderBy;
  Job.Plan.Limit = Request.Limit;
  Job.Plan.MinVersion = MinVersion;
  std::size_t Total = Job.Service->Shards.size();
  for (const std::string &Name : Request.Shards) {
    std::size_t Index = Job.Service->shardNamed(Name);
    if (Index == Total)
      return Problem{ProblemType::BadRequest,
                     absl::StrCat("shards: service ", Job.Service->Spec.Name,
                                  " has no shard ", Name)};
    Job.Shards.push_back(Index);
  }
  if (Request.Shards.empty())
    for (std::size_t Index = 0; Index < Total; ++Index)
      Job.Shards.push_back(Index);
  std::sort(Job.Shards.begin(), Job.Shards.end());
  Job.Shards.erase(std::unique(Job.Shards.begin(), Job.Shards.end()),
                   Job.Shards.end());
  return finishPlan(std::move(Job), Request.Query, std::string());
}

PlannedQuery planLookup(const ClusterView &View,
                        std::shared_ptr<const ServiceView> Service,
                        const LookupRequest &Request, RequestContext Context,
                        std::uint64_t MinVersion,
                        const PolicySettings &Policy) {
  QueryJob Job = makeJob(View, std::move(Service), std::move(Context),
                         Request.Timeout, Policy);
  Job.Plan.Kind = MergeKind::Lookup;
  Job.Plan.MinVersion = MinVersion;
  Job.Shards.push_back(Job.Service->shardOf(Request.Key));
  return finishPlan(std::move(Job), Request.Query, Request.Key);
}

} // namespace quetzallead
