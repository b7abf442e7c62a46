#include "load/LoadReport.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "load/LoadRecord.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

namespace {

constexpr double Median = 0.5;
constexpr double P99 = 0.99;
constexpr double P999 = 0.999;

double quantileMs(const LoadGroup &Group, double Q) {
  return absl::ToDoubleMilliseconds(Group.Latencies.quantile(Q));
}

double coverageOf(const LoadGroup &Group) {
  if (Group.ShardsWanted == 0)
    return 0;
  return static_cast<double>(Group.ShardsCovered) /
         static_cast<double>(Group.ShardsWanted);
}

/// Whole answers per second.
double goodputOf(const LoadGroup &Group, double Seconds) {
  return Seconds > 0 ? static_cast<double>(Group.Whole) / Seconds : 0;
}

void count(const LoadRecord &Record, LoadGroup &Group) {
  ++Group.Sent;
  if (Record.Fault != AnswerFault::None)
    ++Group.Faulty;
  if (Record.whole())
    ++Group.Whole;
  else if (Record.Status == 200 && Record.Fault == AnswerFault::None)
    ++Group.Partial;
  else if (Record.refused() && Record.Fault == AnswerFault::None)
    ++Group.Refused;
  else
    ++Group.Failed;
}

} // namespace

void LoadReport::add(const LoadRecord &Record) {
  LoadGroup &Group = Groups[{Record.Kind, Record.Urgency}];
  count(Record, Group);
  if (Record.Status != 200)
    return;
  Group.Latencies.add(Record.Latency);
  Group.ShardsWanted += Record.CoverageWanted;
  Group.ShardsCovered += Record.CoverageCovered;
}

std::string LoadReport::table(double Seconds) const {
  std::string Text = absl::StrFormat(
      "%-8s %-10s %7s %7s %7s %7s %7s %6s %9s %9s %9s %9s %9s\n", "kind",
      "priority", "sent", "whole", "partial", "refused", "failed", "faulty",
      "p50_ms", "p99_ms", "p99.9_ms", "coverage", "whole/s");
  for (const auto &[Key, Group] : Groups)
    absl::StrAppendFormat(
        &Text,
        "%-8s %-10s %7d %7d %7d %7d %7d %6d %9.3f %9.3f %9.3f %9.4f %9.1f\n",
        nameOf(RequestKindNames, Key.first), nameOf(PriorityNames, Key.second),
        Group.Sent, Group.Whole, Group.Partial, Group.Refused, Group.Failed,
        Group.Faulty, quantileMs(Group, Median), quantileMs(Group, P99),
        quantileMs(Group, P999), coverageOf(Group), goodputOf(Group, Seconds));
  return Text;
}

std::string LoadReport::json(double Seconds) const {
  nlohmann::ordered_json List = nlohmann::ordered_json::array();
  for (const auto &[Key, Group] : Groups) {
    nlohmann::ordered_json Entry;
    Entry["kind"] = std::string(nameOf(RequestKindNames, Key.first));
    Entry["priority"] = std::string(nameOf(PriorityNames, Key.second));
    Entry["sent"] = Group.Sent;
    Entry["whole"] = Group.Whole;
    Entry["partial"] = Group.Partial;
    Entry["refused"] = Group.Refused;
    Entry["failed"] = Group.Failed;
    Entry["faulty"] = Group.Faulty;
    Entry["p50_ms"] = quantileMs(Group, Median);
    Entry["p99_ms"] = quantileMs(Group, P99);
    Entry["p999_ms"] = quantileMs(Group, P999);
    Entry["coverage"] = coverageOf(Group);
    Entry["whole_per_s"] = goodputOf(Group, Seconds);
    Entry["shards_wanted"] = Group.ShardsWanted;
    List.push_back(std::move(Entry));
  }
  nlohmann::ordered_json Root;
  Root["seconds"] = Seconds;
  Root["groups"] = std::move(List);
  return Root.dump();
}

std::size_t LoadReport::faultyCount() const {
  std::size_t Sum = 0;
  for (const auto &[Key, Group] : Groups)
    Sum += Group.Faulty;
  return Sum;
}

} // namespace quetzallead
