#include "cli/TextTable.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace quetzallead {

using nlohmann::ordered_json;

static std::string cellText(const ordered_json &Value) {
  if (Value.is_null())
    return "-";
  std::string Text =
      Value.is_string()
          ? Value.get<std::string>()
          : Value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
  return absl::Utf8SafeCEscape(Text);
}

/// Names of the members of all rows, in the order they first appear.
static std::vector<std::string> columnsOf(const ordered_json &Rows) {
  std::vector<std::string> Columns;
  for (const ordered_json &Row : Rows)
    for (const auto &Item : Row.items())
      if (std::find(Columns.begin(), Columns.end(), Item.key()) ==
          Columns.end())
        Columns.push_back(Item.key());
  return Columns;
}

static std::vector<std::string>
cellsOf(const ordered_json &Row, const std::vector<std::string> &Columns) {
  std::vector<std::string> Cells;
  Cells.reserve(Columns.size());
  for (const std::string &Column : Columns)
    Cells.push_back(Row.contains(Column) ? cellText(Row[Column]) : "-");
  return Cells;
}

static std::string renderTable(const ordered_json &Rows) {
  std::vector<std::vector<std::string>> Lines;
  std::vector<std::string> Columns = columnsOf(Rows);
  Lines.push_back(Columns);
  for (const ordered_json &Row : Rows)
    Lines.push_back(cellsOf(Row, Columns));
  std::vector<std::size_t> Widths(Columns.size(), 0);
  for (const auto &Line : Lines)
    for (std::size_t I = 0; I < Line.size(); ++I)
      Widths[I] = std::max(Widths[I], Line[I].size());
  std::string Text;
  for (const auto &Line : Lines) {
    std::string Row;
    for (std::size_t I = 0; I < Line.size(); ++I)
      absl::StrAppend(&Row, Line[I],
                      std::string(Widths[I] - Line[I].size() + 2, ' '));
    Row.erase(Row.find_last_not_of(' ') + 1);
    absl::StrAppend(&Text, Row, "\n");
  }
  return Text;
}

static bool isTable(const ordered_json &Value) {
  if (!Value.is_array() || Value.empty())
    return false;
  return std::all_of(Value.begin(), Value.end(),
                     [](const ordered_json &Row) { return Row.is_object(); });
}

std::string renderText(const ordered_json &Answer) {
  if (isTable(Answer))
    return renderTable(Answer);
  if (!Answer.is_object())
    return cellText(Answer) + "\n";
  std::string Text;
  for (const auto &Item : Answer.items()) {
    if (isTable(Item.value()))
      absl::StrAppend(&Text, Item.key(), ":\n", renderTable(Item.value()));
    else
      absl::StrAppend(&Text, Item.key(), ": ", cellText(Item.value()), "\n");
  }
  return Text;
}

} // namespace quetzallead
