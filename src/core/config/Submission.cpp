#include "quetzallead/Submission.h"
#include "core/base/JsonReader.h"
#include "core/base/JsonText.h"
#include "core/sheet/SheetLimits.h"
#include "quetzallead/SheetCodec.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;

static constexpr std::size_t MaxIdBytes = 64;
static constexpr std::size_t MaxAuthorBytes = 128;
static constexpr std::size_t MaxReasonBytes = 512;

static Result<Sheet> readContent(const json &Value) {
  if (const auto *Text = Value.get_ptr<const std::string *>())
    return parseSheet(*Text);
  return sheetFromJson(Value);
}

Result<Submission> parseSubmission(absl::string_view Text) {
  JsonLimits Limits;
  Limits.MaxBytes = 2 * SheetLimits::MaxBytes;
  Result<json> Json = parseJsonText(Text, Limits);
  if (!Json)
    return Json.error();
  JsonProblem Problem;
  JsonReader Reader(Json.value(), std::string(), Problem);
  Submission What;
  What.Id = Reader.text("submission_id", 1, MaxIdBytes);
  if (!isPlainName(What.Id))
    Reader.refuse("submission_id", "must hold only letters, digits, '.', '_' "
                                   "and '-'");
  What.BaseRevision =
      static_cast<std::uint64_t>(Reader.integer("base_revision", 0, INT64_MAX));
  What.Author = Reader.text("author", 1, MaxAuthorBytes);
  What.Reason = Reader.text("reason", 1, MaxReasonBytes);
  const json &Value = Reader.any("sheet");
  Reader.finish();
  auto Content = capture([&] { return readContent(Value); });
  if (const auto *Failure = std::get_if<Error>(&Content))
    Reader.refuse(Failure->Where.empty() ? "sheet" : "sheet." + Failure->Where,
                  Failure->Message);
  else
    What.Content = std::move(std::get<Sheet>(Content));
  if (Problem)
    return leaf::new_error(*Problem);
  return What;
}

} // namespace quetzallead
