#include "quetzallead/SheetDocumentCodec.h"
#include "core/base/JsonReader.h"
#include "core/base/JsonText.h"
#include "quetzallead/SheetCodec.h"
#include "quetzallead/SheetDocument.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;

static constexpr std::int64_t DocumentFormat = 1;
static constexpr std::size_t MaxDocumentBytes = std::size_t{4} << 20;
static constexpr std::size_t MaxAuditEntries = 4096;
static constexpr std::size_t MaxIdBytes = 128;
static constexpr std::size_t MaxTextBytes = 1024;
static constexpr std::size_t MaxChanges = 64;

json auditEntryToJson(const AuditEntry &Entry) {
  json Out = json::object();
  Out["revision"] = Entry.Revision;
  Out["base_revision"] = Entry.BaseRevision;
  Out["submission_id"] = Entry.SubmissionId;
  Out["author"] = Entry.Author;
  Out["reason"] = Entry.Reason;
  Out["time"] =
      absl::FormatTime(absl::RFC3339_full, Entry.Time, absl::UTCTimeZone());
  Out["digest"] = Entry.Digest;
  Out["change_count"] = Entry.ChangeCount;
  Out["changes"] = Entry.Changes;
  Out["history"] = Entry.History;
  Out["superseded"] = Entry.Superseded;
  return Out;
}

static std::uint64_t readRevision(JsonReader &Reader, absl::string_view Key) {
  return static_cast<std::uint64_t>(Reader.integer(Key, 0, INT64_MAX));
}

static AuditEntry readAuditEntry(JsonReader &Reader) {
  AuditEntry Entry;
  Entry.Revision = readRevision(Reader, "revision");
  Entry.BaseRevision = readRevision(Reader, "base_revision");
  Entry.SubmissionId = Reader.text("submission_id", 1, MaxIdBytes);
  Entry.Author = Reader.text("author", 1, MaxTextBytes);
  Entry.Reason = Reader.text("reason", 0, MaxTextBytes);
  std::string Time = Reader.text("time", 1, MaxIdBytes);
  std::string Failure;
  if (!absl::ParseTime(absl::RFC3339_full, Time, &Entry.Time, &Failure))
    Reader.refuse("time", "must be a time of RFC 3339");
  Entry.Digest = Reader.text("digest", 1, MaxIdBytes);
  Entry.ChangeCount = readRevision(Reader, "change_count");
  Entry.Changes = Reader.texts("changes", MaxChanges, MaxTextBytes);
  Entry.History = Reader.text("history", 1, MaxIdBytes);
  Entry.Superseded = Reader.boolean("superseded", false);
  Reader.finish();
  return Entry;
}

json documentToJson(const SheetDocument &Document) {
  json Out = json::object();
  Out["format"] = DocumentFormat;
  Out["revision"] = Document.Revision;
  Out["digest"] = Document.Digest;
  Out["archived_through"] = Document.ArchivedThrough;
  Out["audit"] = json::array();
  for (const AuditEntry &Entry : Document.Audit)
    Out["audit"].push_back(auditEntryToJson(Entry));
  Out["sheet"] = sheetToJson(Document.Content);
  return Out;
}

std::string formatDocument(const SheetDocument &Document) {
  return documentToJson(Document).dump();
}

static void checkDocument(const SheetDocument &Document, JsonReader &Reader) {
  if (Document.Digest != sheetDigest(Document.Content))
    Reader.refuse("digest", "is not that of the sheet");
  if (Document.Audit.empty() ||
      Document.Audit.back().Revision != Document.Revision ||
      Document.Audit.back().Digest != Document.Digest)
    Reader.refuse("audit", "does not end with the entry of the revision");
}

Result<SheetDocument> documentFromJson(const json &Json) {
  JsonProblem Problem;
  JsonReader Reader(Json, std::string(), Problem);
  SheetDocument Document;
  Reader.integer("format", DocumentFormat, DocumentFormat);
  Document.Revision = readRevision(Reader, "revision");
  Document.Digest = Reader.text("digest", 1, MaxIdBytes);
  Document.ArchivedThrough = readRevision(Reader, "archived_through");
  for (JsonReader &EntryReader : Reader.objects("audit", 1, MaxAuditEntries))
    Document.Audit.push_back(readAuditEntry(EntryReader));
  Result<Sheet> Content = sheetFromJson(Reader.any("sheet"));
  if (!Content)
    return Content.error();
  Document.Content = std::move(Content.value());
  Reader.finish();
  checkDocument(Document, Reader);
  if (Problem)
    return leaf::new_error(*Problem);
  return Document;
}

Result<SheetDocument> parseDocument(absl::string_view Text) {
  JsonLimits Limits;
  Limits.MaxBytes = MaxDocumentBytes;
  Result<json> Json = parseJsonText(Text, Limits);
  if (!Json)
    return Json.error();
  return documentFromJson(Json.value());
}

std::string formatAuditBlock(const std::vector<AuditEntry> &Entries) {
  json Out = json::object();
  Out["format"] = DocumentFormat;
  Out["audit"] = json::array();
  for (const AuditEntry &Entry : Entries)
    Out["audit"].push_back(auditEntryToJson(Entry));
  return Out.dump();
}

Result<std::vector<AuditEntry>> parseAuditBlock(absl::string_view Text) {
  JsonLimits Limits;
  Limits.MaxBytes = MaxDocumentBytes;
  Result<json> Json = parseJsonText(Text, Limits);
  if (!Json)
    return Json.error();
  JsonProblem Problem;
  JsonReader Reader(Json.value(), std::string(), Problem);
  Reader.integer("format", DocumentFormat, DocumentFormat);
  std::vector<AuditEntry> Entries;
  for (JsonReader &EntryReader : Reader.objects("audit", 1, MaxAuditEntries))
    Entries.push_back(readAuditEntry(EntryReader));
  Reader.finish();
  if (Problem)
    return leaf::new_error(*Problem);
  return Entries;
}

} // namespace quetzallead
