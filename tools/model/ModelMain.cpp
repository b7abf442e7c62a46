#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "model/Experiment.h"
#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>

/// \file
/// quetzallead-model: plays policies side by side on named load patterns.

using namespace quetzallead;
namespace options = boost::program_options;

namespace {

constexpr int Done = 0;
constexpr int WrongUsage = 2;
constexpr int MostInstances = 2000;
constexpr int MostShards = 500;
constexpr int MostSeeds = 1000;

struct Arguments {
  std::vector<const LoadPattern *> Patterns;
  std::vector<const DecisionPolicy *> Policies;
  ExperimentSize Size;
  int Seeds = 5;
};

void printList() {
  std::cout << "Patterns:\n";
  for (const LoadPattern &P : loadPatterns())
    std::cout << "  " << P.Name << ": " << P.Summary << "\n";
  std::cout << "Policies:\n";
  for (const DecisionPolicy &P : policies())
    std::cout << "  " << P.Name << ": " << P.Summary << "\n";
}

/// Fills \p Out with what \p Names, separated by commas, stand for; the first
/// unknown one otherwise.
template <typename Item, typename Find>
std::string take(const std::string &Names, const std::vector<Item> &All,
                 Find FindOne, std::vector<const Item *> &Out) {
  if (Names == "all") {
    for (const Item &I : All)
      Out.push_back(&I);
    return "";
  }
  for (const std::string &Name :
       std::vector<std::string>(absl::StrSplit(Names, ','))) {
    const Item *Found = FindOne(Name);
    if (Found == nullptr)
      return Name;
    Out.push_back(Found);
  }
  return "";
}

std::string checkRange(const char *Name, double Value, double Least,
                       double Most) {
  if (Value >= Least && Value <= Most)
    return "";
  return absl::StrCat("--", Name, ": must be from ", Least, " to ", Most);
}

/// What is wrong with the arguments, if anything.
std::string readArguments(const options::variables_map &Given, Arguments &Out) {
  std::string Unknown = take(Given["pattern"].as<std::string>(), loadPatterns(),
                             findPattern, Out.Patterns);
  if (!Unknown.empty())
    return "--pattern: there is no " + Unknown + "; see --list";
  Unknown = take(Given["policy"].as<std::string>(), policies(), findPolicy,
                 Out.Policies);
  if (!Unknown.empty())
    return "--policy: there is no " + Unknown + "; see --list";
  Out.Seeds = Given["seeds"].as<int>();
  Out.Size.Instances = Given["instances"].as<int>();
  Out.Size.Zones = Given["zones"].as<int>();
  Out.Size.Shards = Given["shards"].as<int>();
  Out.Size.Replicas = Given["replicas"].as<int>();
  Out.Size.Load = Given["load"].as<double>();
  Out.Size.Length = absl::Seconds(Given["seconds"].as<double>());
  for (const std::string &Wrong :
       {checkRange("seeds", Out.Seeds, 1, MostSeeds),
        checkRange("instances", Out.Size.Instances, 1, MostInstances),
        checkRange("zones", Out.Size.Zones, 1, Out.Size.Instances),
        checkRange("shards", Out.Size.Shards, 2, MostShards),
        checkRange("replicas", Out.Size.Replicas, 1, 20),
        checkRange("load", Out.Size.Load, 0.001, 10),
        checkRange("seconds", Given["seconds"].as<double>(), 1, 3600)})
    if (!Wrong.empty())
      return Wrong;
  return "";
}

options::options_description describeOptions() {
  options::options_description Known("Options");
  Known.add_options()("help,h", "print this and exit")(
      "list", "print the patterns and policies and exit")(
      "pattern", options::value<std::string>()->default_value("all"),
      "names, separated by commas")(
      "policy", options::value<std::string>()->default_value("default"),
      "names, separated by commas, or all")(
      "seeds", options::value<int>()->default_value(5),
      "runs of each")("instances", options::value<int>()->default_value(9),
                      "")("zones", options::value<int>()->default_value(3), "")(
      "shards", options::value<int>()->default_value(10), "")(
      "replicas", options::value<int>()->default_value(3),
      "servers a shard")("load", options::value<double>()->default_value(0.3),
                         "share of the capacity that arrives")(
      "seconds", options::value<double>()->default_value(20), "of each run");
  return Known;
}

int run(const Arguments &Given) {
  const auto Begun = std::chrono::steady_clock::now();
  std::vector<ExperimentRow> Rows;
  for (const LoadPattern *Pattern : Given.Patterns)
    for (const DecisionPolicy *Chosen : Given.Policies)
      Rows.push_back(runExperiment(*Pattern, *Chosen, Given.Size, Given.Seeds));
  std::cout << formatRows(Rows);
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Begun;
  std::cout << Rows.size() * static_cast<std::size_t>(Given.Seeds)
            << " runs in " << Took.count() << " s\n";
  return Done;
}

} // namespace

int main(int Argc, char **Argv) {
  const options::options_description Known = describeOptions();
  options::variables_map Given;
  // The library reports by exceptions.
  try {
    options::store(options::parse_command_line(Argc, Argv, Known), Given);
  } catch (const options::error &Failure) {
    std::cerr << "quetzallead-model: " << Failure.what() << "\n";
    return WrongUsage;
  }
  if (Given.count("help") > 0) {
    std::cout << "Usage: quetzallead-model [OPTIONS]\n\n" << Known;
    return Done;
  }
  if (Given.count("list") > 0) {
    printList();
    return Done;
  }
  Arguments Read;
  const std::string Wrong = readArguments(Given, Read);
  if (!Wrong.empty()) {
    std::cerr << "quetzallead-model: " << Wrong << "\n";
    return WrongUsage;
  }
  return run(Read);
}
