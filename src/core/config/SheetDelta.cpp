#include "quetzallead/SheetDelta.h"
#include "core/base/Digest.h"
#include "core/base/JsonText.h"
#include "quetzallead/SheetDocument.h"
#include "quetzallead/SheetDocumentCodec.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

using nlohmann::json;

static constexpr std::size_t MaxDeltaBytes = std::size_t{4} << 20;

SheetDelta makeDelta(const SheetDocument *Held, const SheetDocument &Document) {
  SheetDelta Delta;
  Delta.ToRevision = Document.Revision;
  json To = documentToJson(Document);
  Delta.Body = To.dump();
  Delta.Digest = sha256Hex(Delta.Body);
  if (!Held || Held->Revision == 0)
    return Delta;
  std::string Patch = json::diff(documentToJson(*Held), To).dump();
  if (Patch.size() >= Delta.Body.size())
    return Delta;
  Delta.FromRevision = Held->Revision;
  Delta.Body = std::move(Patch);
  return Delta;
}

/// True if \p Patch holds only operations that makeDelta() writes. Others,
/// such as "copy", could make a small patch grow without bound.
static bool hasOnlyPlainOperations(const json &Patch) {
  if (!Patch.is_array())
    return false;
  for (const json &Operation : Patch) {
    if (!Operation.is_object() || !Operation.contains("op"))
      return false;
    const json &Name = Operation["op"];
    if (Name != "add" && Name != "remove" && Name != "replace")
      return false;
  }
  return true;
}

/// Applies a patch. The library throws on one that does not fit.
static Result<json> applyPatch(const json &Base, const json &Patch) {
  try {
    return Base.patch(Patch);
  } catch (const json::exception &Failure) {
    return fail(ErrorCode::Conflict, Failure.what(), "patch");
  }
}

static Result<json> resultOf(const SheetDocument *Held, const json &Body,
                             std::uint64_t FromRevision) {
  if (FromRevision == 0)
    return Body;
  if (!Held || Held->Revision != FromRevision)
    return fail(ErrorCode::Conflict, "patch against another revision");
  if (!hasOnlyPlainOperations(Body))
    return fail(ErrorCode::InvalidArgument, "not a patch of plain operations");
  return applyPatch(documentToJson(*Held), Body);
}

Result<SheetDocument> applyDelta(const SheetDocument *Held,
                                 const SheetDelta &Delta) {
  JsonLimits Limits;
  Limits.MaxBytes = MaxDeltaBytes;
  Result<json> Body = parseJsonText(Delta.Body, Limits);
  if (!Body)
    return Body.error();
  Result<json> Json = resultOf(Held, Body.value(), Delta.FromRevision);
  if (!Json)
    return Json.error();
  Result<SheetDocument> Document = documentFromJson(Json.value());
  if (!Document)
    return Document.error();
  if (sha256Hex(formatDocument(Document.value())) != Delta.Digest)
    return fail(ErrorCode::Conflict, "the result has another digest");
  return Document;
}

} // namespace quetzallead
