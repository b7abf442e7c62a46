#include "model/ModelSetup.h"

namespace quetzallead {

ModelSetup surveySetup(std::uint64_t Seed) {
  ModelSetup Setup;
  Setup.Seed = Seed;
  ModelRequestKind Kind;
  Kind.Taken.Name = "survey";
  Kind.Taken.MaxAttempts = 2;
  Kind.Taken.Timeout = absl::Milliseconds(600);
  Kind.Taken.Objective = absl::Milliseconds(100);
  Kind.Taken.MaxRecords = 5;
  Kind.Taken.MinCoverage = 0.89;
  Kind.Work = absl::Milliseconds(11);
  Setup.Kinds = {Kind};
  Setup.Options.ExtraLoad.Share = 0.2;
  Setup.Options.ExtraLoad.Base = 50;
  Setup.Options.ObjectiveMargin = absl::ZeroDuration();
  return Setup;
}

double shardCapacity(const ModelSetup &Setup, std::size_t Shard) {
  return Setup.Replicas[Shard] * Setup.Slots /
         absl::ToDoubleSeconds(Setup.Kinds[0].Work);
}

} // namespace quetzallead
