#include "daemon/CallerRequest.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "core/base/JsonReader.h"
#include "core/base/JsonText.h"

namespace quetzallead {

using nlohmann::json;

static constexpr std::size_t MaxNameBytes = 256;
static constexpr std::size_t MaxKeyBytes = 1024;
static constexpr std::size_t MaxNamedShards = 1024;
static constexpr std::int64_t MaxRows = 1'000'000;
static constexpr Duration MaxTimeout = absl::Minutes(10);
/// Urgencies of RFC 9218 up to these are urgent and ordinary.
static constexpr int LastUrgent = 2;
static constexpr int LastOrdinary = 5;

/// Reads \p Body, an object, by \p Read, which fills a T from a JsonReader.
template <typename T, typename Fn>
static Result<T> parseBody(const std::string &Body, Fn Read) {
  Result<json> Document = parseJsonText(Body.empty() ? "{}" : Body);
  if (!Document)
    return Document.error();
  JsonProblem Problem;
  JsonReader Reader(Document.value(), std::string(), Problem);
  T Request;
  Read(Reader, Request);
  Reader.finish();
  if (Problem)
    return leaf::new_error(*Problem);
  return Request;
}

static std::optional<Duration> readTimeout(JsonReader &Reader) {
  if (!Reader.has("timeout_ms"))
    return std::nullopt;
  return Reader.milliseconds("timeout_ms", absl::Milliseconds(1), MaxTimeout);
}

Result<SurveyRequest> parseSurveyRequest(const std::string &Body) {
  return parseBody<SurveyRequest>(Body, [](JsonReader &Reader,
                                           SurveyRequest &R) {
    R.Kind = Reader.choice("merge", MergeKindNames,
                           std::optional<MergeKind>(MergeKind::Rows));
    R.OrderBy = Reader.text("order_by", 0, MaxNameBytes, std::string());
    R.Limit = static_cast<std::size_t>(Reader.integer("limit", 0, MaxRows, 0));
    R.Shards = Reader.texts("shards", MaxNamedShards, MaxNameBytes);
    R.Query = Reader.any("query");
    R.Timeout = readTimeout(Reader);
    if (R.Kind == MergeKind::Lookup)
      Reader.refuse("merge", "must be rows, ordered or count");
    if (R.Kind == MergeKind::Ordered && R.OrderBy.empty())
      Reader.refuse("order_by", "is needed to merge ordered rows");
  });
}

Result<LookupRequest> parseLookupRequest(const std::string &Body) {
  return parseBody<LookupRequest>(Body,
                                  [](JsonReader &Reader, LookupRequest &R) {
                                    R.Key = Reader.text("key", 1, MaxKeyBytes);
                                    R.Query = Reader.any("query");
                                    R.Timeout = readTimeout(Reader);
                                  });
}

Result<CommandRequest> parseCommandRequest(const std::string &Body) {
  return parseBody<CommandRequest>(Body,
                                   [](JsonReader &Reader, CommandRequest &R) {
                                     R.Key = Reader.text("key", 1, MaxKeyBytes);
                                     R.Command = Reader.any("command");
                                     R.Timeout = readTimeout(Reader);
                                   });
}

std::optional<Priority> parsePriority(const std::string *Field) {
  if (Field == nullptr)
    return std::nullopt;
  for (absl::string_view Item : absl::StrSplit(*Field, ',')) {
    Item = absl::StripAsciiWhitespace(Item);
    int Urgency = 0;
    if (!absl::ConsumePrefix(&Item, "u=") || !absl::SimpleAtoi(Item, &Urgency))
      continue;
    if (Urgency <= LastUrgent)
      return Priority::Urgent;
    return Urgency <= LastOrdinary ? Priority::Ordinary : Priority::Background;
  }
  return std::nullopt;
}

} // namespace quetzallead
