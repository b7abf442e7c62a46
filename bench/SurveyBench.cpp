#include "quetzallead/Survey.h"
#include <benchmark/benchmark.h>

using namespace quetzallead;
using nlohmann::json;

namespace {

const TimePoint Start = absl::UnixEpoch() + absl::Hours(1);
constexpr std::size_t ReplicasPerShard = 3;

SurveyPlan planOf(std::size_t Parts) {
  SurveyPlan Plan;
  Plan.Epoch = 1;
  Plan.Deadline = Plan.CoverageDeadline = Start + absl::Milliseconds(170);
  Plan.HedgeDelay = absl::Milliseconds(20);
  for (std::size_t Index = 0; Index < Parts; ++Index) {
    PartPlan Part;
    Part.Shard = "s" + std::to_string(Index);
    Part.From = std::to_string(1000 + Index);
    Part.To = std::to_string(1001 + Index);
    Part.Held.assign(ReplicasPerShard, HeldVersions{1, 7, 7});
    Plan.Parts.push_back(Part);
  }
  return Plan;
}

SubReply replyOf(const PartPlan &Part, const json &Rows) {
  SubReply Reply;
  Reply.Taken = Snapshot{1, 7};
  Reply.From = Part.From;
  Reply.To = Part.To;
  Reply.Rows = Rows;
  return Reply;
}

} // namespace

/// A whole survey without faults, from its plan to the merged answer.
static void surveyFromStartToAnswer(benchmark::State &State) {
  auto Parts = static_cast<std::size_t>(State.range(0));
  SurveyPlan Plan = planOf(Parts);
  json Rows = json::array({json{{"key", "a"}, {"version", 7}}});
  RetryBudget Budget(0.05);
  for (auto _ : State) {
    Survey S(Plan, Budget);
    SurveyActions Out;
    S.start(Start, Out);
    SurveyActions Sent;
    for (const AcquirePermit &Ask : Out.Acquire)
      S.onPermit(Ask.Part, Ask.Part % ReplicasPerShard, Start, Sent);
    SurveyActions Late;
    for (const SendAttempt &Send : Sent.Send)
      S.onReply(Send.Attempt, replyOf(Plan.Parts[Send.Part], Rows), Start,
                Late);
    Answer Result = S.takeAnswer();
    if (Result.Covered != Parts)
      State.SkipWithError("the answer is not whole");
    benchmark::DoNotOptimize(Result);
  }
}
BENCHMARK(surveyFromStartToAnswer)
    ->Arg(10)
    ->Arg(75)
    ->Arg(300)
    ->Unit(benchmark::kMicrosecond);
