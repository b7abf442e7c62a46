#include "quetzallead/SheetDiff.h"
#include "absl/strings/str_cat.h"
#include "quetzallead/Sheet.h"
#include "quetzallead/SheetChange.h"
#include "quetzallead/SheetCodec.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;

namespace {

using Changes = std::vector<SheetChange>;

} // namespace

static void diffValues(const std::string &Path, const json &Before,
                       const json &After, Changes &Out);

static bool isNamedList(const json &List) {
  return !List.empty() && List.is_array() && List[0].is_object() &&
         List[0].contains("name");
}

static const json *findByName(const json &List, const json &Name) {
  for (const json &Element : List)
    if (Element["name"] == Name)
      return &Element;
  return nullptr;
}

static std::vector<json> commonNames(const json &List, const json &Other) {
  std::vector<json> Names;
  for (const json &Element : List)
    if (findByName(Other, Element["name"]))
      Names.push_back(Element["name"]);
  return Names;
}

static void diffOrder(const std::string &Path, const json &Before,
                      const json &After, Changes &Out) {
  std::vector<json> Old = commonNames(Before, After);
  std::vector<json> New = commonNames(After, Before);
  if (Old == New)
    return;
  Out.push_back({SheetChangeKind::Changed, Path + " order", json(Old).dump(),
                 json(New).dump()});
}

static void diffNamedLists(const std::string &Path, const json &Before,
                           const json &After, Changes &Out) {
  for (const json &Element : After) {
    std::string Place =
        absl::StrCat(Path, "[", Element["name"].get<std::string>(), "]");
    if (const json *Old = findByName(Before, Element["name"]))
      diffValues(Place, *Old, Element, Out);
    else
      Out.push_back({SheetChangeKind::Added, Place, "", Element.dump()});
  }
  for (const json &Element : Before) {
    if (findByName(After, Element["name"]))
      continue;
    std::string Place =
        absl::StrCat(Path, "[", Element["name"].get<std::string>(), "]");
    Out.push_back({SheetChangeKind::Removed, Place, Element.dump(), ""});
  }
  diffOrder(Path, Before, After, Out);
}

static void diffObjects(const std::string &Path, const json &Before,
                        const json &After, Changes &Out) {
  for (const auto &Item : After.items()) {
    std::string Place =
        Path.empty() ? Item.key() : absl::StrCat(Path, ".", Item.key());
    diffValues(Place, Before[Item.key()], Item.value(), Out);
  }
}

static void diffValues(const std::string &Path, const json &Before,
                       const json &After, Changes &Out) {
  if (Before == After)
    return;
  if (After.is_object())
    return diffObjects(Path, Before, After, Out);
  if (isNamedList(Before) && isNamedList(After))
    return diffNamedLists(Path, Before, After, Out);
  Out.push_back({SheetChangeKind::Changed, Path, Before.dump(), After.dump()});
}

std::vector<SheetChange> diffSheets(const Sheet &Before, const Sheet &After) {
  Changes Out;
  diffValues("", sheetToJson(Before), sheetToJson(After), Out);
  return Out;
}

std::string SheetChange::text() const {
  switch (Kind) {
  case SheetChangeKind::Added:
    return absl::StrCat("+ ", Path);
  case SheetChangeKind::Removed:
    return absl::StrCat("- ", Path);
  case SheetChangeKind::Changed:
    break;
  }
  return absl::StrCat("~ ", Path, ": ", Before, " -> ", After);
}

} // namespace quetzallead
