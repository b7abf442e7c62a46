#include "core/query/MergeReplies.h"
#include "quetzallead/Answer.h"
#include "quetzallead/SubReply.h"
#include "quetzallead/SurveyPlan.h"
#include <algorithm>

namespace quetzallead {

using nlohmann::json;

static void appendRows(json &Into, json &Rows) {
  if (!Rows.is_array())
    return;
  auto &Target = Into.get_ref<json::array_t &>();
  for (json &Row : Rows)
    Target.push_back(std::move(Row));
}

/// The value that orders \p Row; null, which orders first, if it lacks one.
static const json &orderValue(const json &Row, const std::string &Field) {
  static const json Null;
  if (!Row.is_object())
    return Null;
  auto It = Row.find(Field);
  return It == Row.end() ? Null : *It;
}

static void orderRows(json &Rows, const std::string &Field) {
  auto &Array = Rows.get_ref<json::array_t &>();
  std::stable_sort(Array.begin(), Array.end(),
                   [&](const json &A, const json &B) {
                     return orderValue(A, Field) < orderValue(B, Field);
                   });
}

void mergeReplies(const SurveyPlan &Plan, std::vector<SubReply> Replies,
                  Answer &Out) {
  if (Plan.Kind == MergeKind::Count) {
    for (const SubReply &Reply : Replies)
      Out.Count += Reply.Count;
    return;
  }
  Out.Rows = json::array();
  for (SubReply &Reply : Replies)
    appendRows(Out.Rows, Reply.Rows);
  if (Plan.Kind == MergeKind::Ordered)
    orderRows(Out.Rows, Plan.OrderBy);
  auto &Array = Out.Rows.get_ref<json::array_t &>();
  if (Plan.Limit != 0 && Array.size() > Plan.Limit)
    Array.resize(Plan.Limit);
}

} // namespace quetzallead
