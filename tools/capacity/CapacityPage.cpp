#include "capacity/CapacityPage.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "capacity/ControlCost.h"
#include "capacity/SlopeTable.h"

namespace quetzallead {

namespace {

/// \p Value with three significant digits, and no exponent.
std::string formatValue(double Value) {
  if (Value >= 100 || Value == 0)
    return absl::StrFormat("%.0f", Value);
  if (Value >= 1)
    return absl::StrFormat("%.2f", Value);
  if (Value >= 0.001)
    return absl::StrFormat("%.4f", Value);
  return absl::StrFormat("%.2g", Value);
}

std::string formatFigure(const Estimate &Figure, const std::string &Unit) {
  if (!Figure.Value)
    return "not measured";
  const std::string Value = formatValue(*Figure.Value);
  return Unit.empty() ? Value : absl::StrCat(Value, " ", Unit);
}

/// What the figure rests on.
std::string formatBasis(const Estimate &Figure) {
  if (Figure.Slopes.empty())
    return "arithmetic";
  std::string Text = absl::StrJoin(Figure.Slopes, ", ");
  if (Figure.Assumed)
    absl::StrAppend(&Text, "; assumed");
  else if (Figure.Value && Figure.Reach > 1)
    absl::StrAppendFormat(&Text, "; extrapolated x%.1f", Figure.Reach);
  else if (Figure.Value)
    absl::StrAppend(&Text, "; within the measured sizes");
  return Text;
}

std::string controlLine(const char *Name, const Estimate &Figure,
                        const char *Unit, double Limit) {
  const char *Verdict = "not measured";
  if (Figure.Value)
    Verdict = *Figure.Value <= Limit ? "within" : "over";
  return absl::StrCat("| ", Name, " | ", formatFigure(Figure, Unit), " | ",
                      Limit, " ", Unit, " | ", Verdict, " | ",
                      formatBasis(Figure), " |\n");
}

} // namespace

std::string formatCapacityRows(const std::vector<CapacityRow> &Rows) {
  std::string Text = "| role | quantity | per instance unless stated | basis "
                     "|\n| --- | --- | --- | --- |\n";
  for (const CapacityRow &Row : Rows)
    absl::StrAppend(&Text, "| ", nameOf(CapacityRoleNames, Row.Role), " | ",
                    Row.Quantity, " | ", formatFigure(Row.Figure, Row.Unit),
                    " | ", formatBasis(Row.Figure), " |\n");
  return Text;
}

std::string formatControlCost(const ControlCost &Cost) {
  return absl::StrCat("| control | cost | budget | verdict | basis |\n"
                      "| --- | --- | --- | --- | --- |\n",
                      controlLine("processor", Cost.ProcessorPercent,
                                  "% of a core",
                                  ControlBudget::ProcessorPercent),
                      controlLine("memory", Cost.MemoryMegabytes, "MB",
                                  ControlBudget::MemoryMegabytes),
                      controlLine("bytes", Cost.KilobytesPerSecond, "KB/s",
                                  ControlBudget::KilobytesPerSecond));
}

std::string formatSlopes(const SlopeTable &Slopes) {
  std::string Text = "| slope | value | status | measured up to | command | "
                     "commit |\n| --- | --- | --- | --- | --- | --- |\n";
  for (const Slope &Known : Slopes.all()) {
    std::string Value = "-";
    if (Known.Status != SlopeStatus::Missing)
      Value = absl::StrCat(formatValue(Known.Value), " ", Known.Unit);
    const std::string UpTo =
        Known.MeasuredUpTo > 0 ? formatValue(Known.MeasuredUpTo) : "-";
    absl::StrAppend(&Text, "| ", Known.Name, " | ", Value, " | ",
                    nameOf(SlopeStatusNames, Known.Status), " | ", UpTo, " | ",
                    Known.Command, " | ", Known.Commit, " |\n");
  }
  return Text;
}

std::string formatCapacityTables(const std::vector<CapacityRow> &Rows,
                                 const ControlCost &Cost,
                                 const SlopeTable &Slopes) {
  return absl::StrCat(CapacityTablesHeading, "\n\n", formatCapacityRows(Rows),
                      "\n", formatControlCost(Cost), "\n",
                      formatSlopes(Slopes));
}

} // namespace quetzallead
