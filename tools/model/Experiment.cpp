#include "model/Experiment.h"
#include "absl/strings/str_format.h"
#include "model/ModelWorld.h"
#include <algorithm>

namespace quetzallead {

static Disturbance disturbance(DisturbanceKind Kind, double Share,
                               double Strength) {
  Disturbance D;
  D.Kind = Kind;
  D.Share = Share;
  D.Strength = Strength;
  D.At = absl::Seconds(5);
  D.For = absl::Seconds(5);
  return D;
}

static void pauses(ModelSetup &S) {
  S.PauseLength = absl::Milliseconds(100);
  S.PausePeriod = absl::Seconds(2.4);
}

const std::vector<LoadPattern> &loadPatterns() {
  static const std::vector<LoadPattern> All = {
      {"calm", "nothing goes wrong", [](ModelSetup &) {}},
      {"pauses", "every server stands still for 100 ms each 2.4 s", pauses},
      {"stragglers", "one server in six is five times as slow",
       [](ModelSetup &S) {
         pauses(S);
         S.Disturbances = {disturbance(DisturbanceKind::Slow, 1.0 / 6, 5)};
       }},
      {"half-gone", "half of the servers refuse connections",
       [](ModelSetup &S) {
         pauses(S);
         S.Disturbances = {disturbance(DisturbanceKind::Down, 0.5, 1)};
       }},
      {"lossy", "half of the servers lose one answer in thirty",
       [](ModelSetup &S) {
         pauses(S);
         S.Disturbances = {disturbance(DisturbanceKind::Lossy, 0.5, 0.03)};
       }},
      {"grey", "half of the servers lose nearly every second answer",
       [](ModelSetup &S) {
         pauses(S);
         S.Disturbances = {disturbance(DisturbanceKind::Lossy, 0.5, 0.45)};
       }},
      {"overload", "twice the capacity arrives",
       [](ModelSetup &S) {
         pauses(S);
         const double Calm = S.RequestsPerSecond / shardCapacity(S, 0);
         S.Disturbances = {disturbance(DisturbanceKind::Load, 1, 2 / Calm)};
       }},
      {"retry-storm", "more than the capacity, and callers that do not wait",
       [](ModelSetup &S) {
         pauses(S);
         const double Calm = S.RequestsPerSecond / shardCapacity(S, 0);
         S.Disturbances = {disturbance(DisturbanceKind::Load, 1, 1.2 / Calm),
                           disturbance(DisturbanceKind::Storm, 1, 3)};
       }},
      {"cut-zone", "one zone reaches only servers of its own",
       [](ModelSetup &S) {
         pauses(S);
         Disturbance D = disturbance(DisturbanceKind::Cut, 1, 1);
         D.Targets = {S.Zones[0]};
         S.Disturbances = {D};
       }},
      {"restart", "all instances lose what they know",
       [](ModelSetup &S) {
         pauses(S);
         S.Disturbances = {disturbance(DisturbanceKind::Restart, 1, 1)};
       }},
  };
  return All;
}

const std::vector<DecisionPolicy> &policies() {
  static const std::vector<DecisionPolicy> All = {
      {"default", "as the relay is built", [](ModelSetup &) {}},
      {"no-extra-load", "neither hedges nor paid retries",
       [](ModelSetup &S) {
         S.Options.ExtraLoad.Share = 0;
         S.Options.ExtraLoad.Base = 0;
       }},
      {"half-budget", "half of the extra load",
       [](ModelSetup &S) {
         S.Options.ExtraLoad.Share /= 2;
         S.Options.ExtraLoad.Base /= 2;
       }},
      {"hedge-anywhere", "hedges go to busy servers too",
       [](ModelSetup &S) { S.Options.Pool.MaxHedgeTargetLoad = 1e9; }},
      {"hedge-free-slot", "hedges go to servers that begin them at once",
       [](ModelSetup &S) { S.Options.Pool.MaxHedgeTargetLoad = 1; }},
      {"cheap-loss", "a lost answer costs no more than its repeat",
       [](ModelSetup &S) { S.Options.Pool.LossPenalty = 0; }},
      {"fair-loss", "a lost answer costs one objective",
       [](ModelSetup &S) { S.Options.Pool.LossPenalty = 1; }},
      {"any-zone", "servers of all zones alike",
       [](ModelSetup &S) { S.Options.Pool.CrossZonePenalty = 0; }},
      {"same-return", "refused callers are all told the same time",
       [](ModelSetup &S) { S.Options.Pool.SpreadRetries = false; }},
      {"newest-first", "of equal rank the newest waiter goes first",
       [](ModelSetup &S) { S.Options.Pool.Order = QueueOrder::NewestFirst; }},
      {"least-slack-first", "of equal rank the one with least time left",
       [](ModelSetup &S) {
         S.Options.Pool.Order = QueueOrder::EarliestDeadlineFirst;
       }},
  };
  return All;
}

template <typename Item>
static const Item *findByName(const std::vector<Item> &All,
                              const std::string &Name) {
  const auto Found = std::find_if(
      All.begin(), All.end(), [&](const Item &I) { return I.Name == Name; });
  return Found == All.end() ? nullptr : &*Found;
}

const LoadPattern *findPattern(const std::string &Name) {
  return findByName(loadPatterns(), Name);
}

const DecisionPolicy *findPolicy(const std::string &Name) {
  return findByName(policies(), Name);
}

ModelSetup makeSetup(const ExperimentSize &Size, std::uint64_t Seed) {
  ModelSetup Setup = surveySetup(Seed);
  Setup.Instances = Size.Instances;
  Setup.Zones.clear();
  for (int Zone = 0; Zone < Size.Zones; ++Zone)
    Setup.Zones.push_back(absl::StrFormat("z%d", Zone));
  Setup.Replicas.assign(static_cast<std::size_t>(Size.Shards), Size.Replicas);
  Setup.ZoneDelay = absl::Milliseconds(1);
  Setup.Options.ExtraLoad.Base = 58;
  ModelRequestKind &Survey = Setup.Kinds[0];
  Survey.Retries = 1;
  Survey.Share = 6;
  Survey.Taken.Priority = 1;
  ModelRequestKind Quick = Survey;
  Quick.Taken.Name = "quick";
  Quick.Taken.Priority = 0;
  Quick.Taken.Objective = absl::Milliseconds(50);
  Quick.Taken.MinCoverage = 0.75;
  Quick.Work = absl::Milliseconds(4);
  Quick.Share = 2;
  ModelRequestKind Lookup = Survey;
  Lookup.Taken.Name = "lookup";
  Lookup.Taken.Kind = RequestKind::AtMostOnce;
  Lookup.Survey = false;
  Lookup.Share = 1;
  Setup.Kinds.push_back(Quick);
  Setup.Kinds.push_back(Lookup);
  Setup.RequestsPerSecond = Size.Load * shardCapacity(Setup, 0);
  Setup.Length = Size.Length;
  return Setup;
}

static Spread spreadOf(const std::vector<double> &Values) {
  Spread Out;
  Out.Least = *std::min_element(Values.begin(), Values.end());
  Out.Most = *std::max_element(Values.begin(), Values.end());
  for (double Value : Values)
    Out.Mean += Value / static_cast<double>(Values.size());
  return Out;
}

static double worstOf(const std::map<std::string, ModelTally> &Tallies) {
  double Worst = 1;
  for (const auto &[Name, T] : Tallies)
    Worst = std::min(Worst, T.inTimeShare());
  return Worst;
}

ExperimentRow runExperiment(const LoadPattern &Pattern,
                            const DecisionPolicy &Chosen,
                            const ExperimentSize &Size, int Seeds) {
  std::vector<double> InTime, Served, Window, Kind, Zone, Coverage, Extra,
      Refusals, Millis;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    ModelSetup Setup = makeSetup(Size, static_cast<std::uint64_t>(Seed));
    Pattern.Apply(Setup);
    Chosen.Apply(Setup);
    const ModelReport R = playModel(Setup);
    InTime.push_back(R.All.inTimeShare());
    Served.push_back(R.All.servedShare());
    Window.push_back(R.worstWindow());
    Kind.push_back(worstOf(R.Kinds));
    Zone.push_back(worstOf(R.Zones));
    Coverage.push_back(R.All.meanCoverage());
    Extra.push_back(R.extraLoad());
    Refusals.push_back(R.All.Asked > 0 ? 1.0 * R.All.Refusals / R.All.Asked
                                       : 0);
    Millis.push_back(R.All.Refusals > 0
                         ? absl::ToDoubleMilliseconds(R.All.RefusalTime) /
                               R.All.Refusals
                         : 0);
  }
  ExperimentRow Row;
  Row.Pattern = Pattern.Name;
  Row.Policy = Chosen.Name;
  Row.InTime = spreadOf(InTime);
  Row.Served = spreadOf(Served);
  Row.WorstWindow = spreadOf(Window);
  Row.WorstKind = spreadOf(Kind);
  Row.WorstZone = spreadOf(Zone);
  Row.Coverage = spreadOf(Coverage);
  Row.ExtraLoad = spreadOf(Extra);
  Row.Refusals = spreadOf(Refusals);
  Row.RefusalMillis = spreadOf(Millis);
  return Row;
}

std::string formatRows(const std::vector<ExperimentRow> &Rows) {
  std::string Out = absl::StrFormat(
      "%-12s %-18s %-19s %-8s %-8s %-8s %-8s %-8s %-8s %-8s %s\n", "pattern",
      "policy", "in time", "served", "window", "kind", "zone", "coverage",
      "extra", "refused", "ms to refusal");
  for (const ExperimentRow &R : Rows)
    absl::StrAppendFormat(&Out,
                          "%-12s %-18s %.3f (%.3f-%.3f) %-8.3f %-8.3f %-8.3f "
                          "%-8.3f %-8.4f %-8.3f "
                          "%-8.3f %.2f\n",
                          R.Pattern, R.Policy, R.InTime.Mean, R.InTime.Least,
                          R.InTime.Most, R.Served.Mean, R.WorstWindow.Mean,
                          R.WorstKind.Mean, R.WorstZone.Mean, R.Coverage.Mean,
                          R.ExtraLoad.Mean, R.Refusals.Mean,
                          R.RefusalMillis.Mean);
  return Out;
}

} // namespace quetzallead
