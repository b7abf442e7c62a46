#include "support/SheetOperator.h"
#include "absl/strings/str_cat.h"
#include "support/Fetch.h"
#include "support/TestFleet.h"
#include "support/WaitUntil.h"

namespace quetzallead {

using nlohmann::json;

/// Timeout of the service in the first change; each has another.
static constexpr int FirstTimeoutMs = 5000;

TestSheetChange SheetOperator::make(std::uint64_t Base) {
  const int Number = ++Made;
  TestSheetChange Change;
  Change.Id = absl::StrCat("change-", Number);
  Change.Base = Base;
  Change.Sheet = Fleet.sheet();
  Change.Sheet["services"][0]["timeout_ms"] = FirstTimeoutMs + Number;
  return Change;
}

SheetVerdict SheetOperator::submit(std::size_t Index,
                                   const TestSheetChange &Change) {
  const json Body = {{"submission_id", Change.Id},
                     {"base_revision", Change.Base},
                     {"author", "test"},
                     {"reason", "test"},
                     {"sheet", Change.Sheet}};
  const auto Answer = Fleet.admin(Index, "POST", "/v1/sheet", Body.dump());
  const json Told = Answer ? bodyOf(*Answer) : json();
  if (!Told.is_object())
    return {"no_answer", 0};
  return {Told.value("outcome", ""), Told.value("revision", std::uint64_t{0})};
}

SheetVerdict SheetOperator::settle(std::size_t Index,
                                   const TestSheetChange &Change) {
  SheetVerdict Last;
  waitUntil([&] {
    Last = submit(Index, Change);
    return Last.Outcome != "unknown" && Last.Outcome != "unavailable" &&
           Last.Outcome != "no_answer";
  });
  return Last;
}

std::uint64_t SheetOperator::revisionAt(std::size_t Index) {
  const auto Answer = Fleet.admin(Index, "GET", "/v1/sheet");
  if (!Answer || Answer->Status != 200)
    return 0;
  return bodyOf(*Answer).value("revision", std::uint64_t{0});
}

int SheetOperator::auditedAt(std::size_t Index, const std::string &Id) {
  const auto Answer = Fleet.admin(Index, "GET", "/v1/audit");
  const json Page = Answer ? bodyOf(*Answer) : json::object();
  int Count = 0;
  for (const json &Entry : Page.value("entries", json::array()))
    if (Entry["submission_id"] == Id)
      ++Count;
  return Count;
}

} // namespace quetzallead
