#include "model/Experiment.h"
#include "model/ModelWorld.h"
#include <gtest/gtest.h>
#include <set>

using namespace quetzallead;

namespace {

ExperimentSize smallSize() {
  ExperimentSize Size;
  Size.Instances = 3;
  Size.Shards = 4;
  Size.Length = absl::Seconds(12);
  return Size;
}

} // namespace

TEST(ExperimentTest, TheSameSeedPlaysTheSame) {
  for (const LoadPattern &Pattern : loadPatterns()) {
    ModelReport Runs[2];
    for (ModelReport &R : Runs) {
      ModelSetup Setup = makeSetup(smallSize(), 7);
      Pattern.Apply(Setup);
      R = playModel(Setup);
    }
    EXPECT_EQ(describe(Runs[0].All), describe(Runs[1].All)) << Pattern.Name;
    EXPECT_EQ(Runs[0].ExtraAttempts, Runs[1].ExtraAttempts) << Pattern.Name;
  }
}

TEST(ExperimentTest, EveryRequestEndsOnce) {
  for (const LoadPattern &Pattern : loadPatterns())
    for (const DecisionPolicy &Chosen : policies()) {
      ModelSetup Setup = makeSetup(smallSize(), 3);
      Pattern.Apply(Setup);
      Chosen.Apply(Setup);
      const ModelReport R = playModel(Setup);
      EXPECT_GT(R.All.Asked, 0);
      EXPECT_EQ(R.All.InTime + R.All.Late + R.All.Failed, R.All.Asked)
          << Pattern.Name << " " << Chosen.Name << ": " << describe(R.All);
    }
}

// The bound on extra attempts is over all instances, whatever goes wrong.
TEST(ExperimentTest, ExtraLoadStaysWithinItsBudget) {
  for (const LoadPattern &Pattern : loadPatterns()) {
    ModelSetup Setup = makeSetup(smallSize(), 5);
    Pattern.Apply(Setup);
    const ModelReport R = playModel(Setup);
    const ExtraLoadLimits &Limits = Setup.Options.ExtraLoad;
    const double Windows = absl::FDivDuration(Setup.Length, Limits.Window) + 1;
    const double Shards = static_cast<double>(Setup.Replicas.size());
    EXPECT_LE(R.ExtraAttempts,
              Limits.Share * R.FirstAttempts + Limits.Base * Windows * Shards)
        << Pattern.Name;
  }
}

TEST(ExperimentTest, NamesAreDistinctAndFound) {
  std::set<std::string> Names;
  for (const LoadPattern &Pattern : loadPatterns()) {
    EXPECT_TRUE(Names.insert(Pattern.Name).second);
    EXPECT_EQ(findPattern(Pattern.Name), &Pattern);
  }
  for (const DecisionPolicy &Chosen : policies()) {
    EXPECT_TRUE(Names.insert(Chosen.Name).second);
    EXPECT_EQ(findPolicy(Chosen.Name), &Chosen);
  }
  EXPECT_EQ(findPattern("none"), nullptr);
  EXPECT_EQ(findPolicy("none"), nullptr);
}

TEST(ExperimentTest, ARowHoldsTheSpreadOverSeeds) {
  const ExperimentRow Row = runExperiment(
      *findPattern("overload"), *findPolicy("default"), smallSize(), 3);
  for (const Spread &S : {Row.InTime, Row.Served, Row.Refusals}) {
    EXPECT_LE(S.Least, S.Mean);
    EXPECT_LE(S.Mean, S.Most);
  }
  EXPECT_LT(Row.InTime.Mean, 1);
  EXPECT_GT(Row.Refusals.Mean, 0);
  EXPECT_NE(formatRows({Row}).find("overload"), std::string::npos);
}
