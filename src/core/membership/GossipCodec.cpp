#include "core/membership/GossipCodec.h"

#include "core/base/Cbor.h"
#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace quetzallead {
namespace {

using nlohmann::json;

constexpr const char *TypeField = "t";
constexpr const char *KindField = "k";
constexpr const char *SenderField = "from";
constexpr const char *NumberField = "n";
constexpr const char *TargetField = "to";
constexpr const char *DigestField = "d";
constexpr const char *BucketsField = "b";
constexpr const char *MembersField = "m";
constexpr const char *SheetsField = "v";
constexpr const char *ServersField = "s";
constexpr const char *DeparturesField = "x";

/// Longest remaining life of a notice that a reader accepts.
constexpr std::int64_t MaxRemainingMs = 24LL * 3600 * 1000;

/// Bytes of a record or notice apart from its texts, at most.
constexpr std::size_t RecordOverheadBytes = 40;
constexpr std::size_t ReportOverheadBytes = 17;
constexpr std::size_t NoticeOverheadBytes = 24;
constexpr std::size_t TextOverheadBytes = 2;

/// Reads the elements of one array in order; failed() tells if any was missing
/// or of another type or size.
class RowReader {
public:
  explicit RowReader(const json &Array) : Row(Array), Failed(!Row.is_array()) {}

  std::string text(std::size_t MaxBytes) {
    const json *Value = next();
    if (!Value || !Value->is_string() ||
        Value->get_ref<const std::string &>().size() > MaxBytes)
      return fail<std::string>();
    return Value->get<std::string>();
  }
  std::uint64_t
  number(std::uint64_t Max = std::numeric_limits<std::uint64_t>::max()) {
    const json *Value = next();
    if (!Value || !Value->is_number_unsigned() ||
        Value->get<std::uint64_t>() > Max)
      return fail<std::uint64_t>();
    return Value->get<std::uint64_t>();
  }
  std::vector<std::string> texts(std::size_t MaxCount, std::size_t MaxBytes) {
    const json *Value = next();
    if (!Value || !Value->is_array() || Value->size() > MaxCount)
      return fail<std::vector<std::string>>();
    RowReader Inner(*Value);
    std::vector<std::string> Texts;
    for (std::size_t I = 0; I < Value->size(); ++I)
      Texts.push_back(Inner.text(MaxBytes));
    Failed |= Inner.failed();
    return Texts;
  }
  bool failed() const { return Failed; }
  /// True if all was read and nothing is left.
  bool ended() const { return !Failed && At == Row.size(); }

private:
  template <typename T> T fail() {
    Failed = true;
    return T();
  }
  const json *next() {
    if (Failed || At >= Row.size())
      return nullptr;
    return &Row[At++];
  }

  const json &Row;
  std::size_t At = 0;
  bool Failed;
};

json rowOf(const MemberRecord &R) {
  return json::array({R.Name, R.Address, R.Zone, R.Incarnation, R.Revision,
                      static_cast<unsigned>(R.Health),
                      static_cast<unsigned>(R.Leaving), R.SheetRevision});
}

std::uint64_t remainingMs(TimePoint Expires, TimePoint Now) {
  return static_cast<std::uint64_t>(std::clamp<std::int64_t>(
      absl::ToInt64Milliseconds(Expires - Now), 0, MaxRemainingMs));
}

json rowOf(const SheetReport &R) {
  return json::array({R.Instance, R.IncarnationTag, R.SheetRevision});
}

json rowOf(const ServerNotice &N, TimePoint Now) {
  return json::array({N.Server, static_cast<unsigned>(N.State), N.Revision,
                      remainingMs(N.Expires, Now)});
}

json rowOf(const DepartureNotice &N, TimePoint Now) {
  return json::array(
      {N.Instance, N.Incarnation, N.Successors, remainingMs(N.Expires, Now)});
}

std::optional<MemberRecord> memberOf(const json &Row) {
  RowReader Reader(Row);
  MemberRecord R;
  R.Name = Reader.text(MemberRecord::MaxTextBytes);
  R.Address = Reader.text(MemberRecord::MaxTextBytes);
  R.Zone = Reader.text(MemberRecord::MaxTextBytes);
  R.Incarnation = Reader.number();
  R.Revision = Reader.number();
  R.Health = static_cast<MemberState>(
      Reader.number(static_cast<unsigned>(MemberState::Dead)));
  R.Leaving = Reader.number(1) == 1;
  R.SheetRevision = Reader.number();
  // Leaving is a mark of its own, never a value of the health.
  if (!Reader.ended() || R.Name.empty() || R.Health == MemberState::Leaving)
    return std::nullopt;
  return R;
}

std::optional<SheetReport> sheetReportOf(const json &Row) {
  RowReader Reader(Row);
  SheetReport R;
  R.Instance = Reader.text(MemberRecord::MaxTextBytes);
  R.IncarnationTag = static_cast<std::uint32_t>(
      Reader.number(std::numeric_limits<std::uint32_t>::max()));
  R.SheetRevision = Reader.number();
  if (!Reader.ended() || R.Instance.empty())
    return std::nullopt;
  return R;
}

TimePoint expiryOf(std::uint64_t RemainingMs, TimePoint Now) {
  return Now + absl::Milliseconds(static_cast<std::int64_t>(RemainingMs));
}

std::optional<ServerNotice> serverNoticeOf(const json &Row, TimePoint Now) {
  RowReader Reader(Row);
  ServerNotice N;
  N.Server = Reader.text(ServerNotice::MaxNameBytes);
  N.State = static_cast<ServerNoticeState>(
      Reader.number(static_cast<unsigned>(ServerNoticeState::Unanswering)));
  N.Revision = Reader.number();
  N.Expires = expiryOf(Reader.number(MaxRemainingMs), Now);
  if (!Reader.ended() || N.Server.empty())
    return std::nullopt;
  return N;
}

std::optional<DepartureNotice> departureOf(const json &Row, TimePoint Now) {
  RowReader Reader(Row);
  DepartureNotice N;
  N.Instance = Reader.text(MemberRecord::MaxTextBytes);
  N.Incarnation = Reader.number();
  N.Successors =
      Reader.texts(DepartureNotice::MaxSuccessors, MemberRecord::MaxTextBytes);
  N.Expires = expiryOf(Reader.number(MaxRemainingMs), Now);
  if (!Reader.ended() || N.Instance.empty())
    return std::nullopt;
  return N;
}

/// Decodes every row of \p Array, which may be absent; false if any fails.
template <typename T, typename Decode>
bool readRows(const json &Map, const char *Field, std::vector<T> &Out,
              Decode &&DecodeRow) {
  const auto It = Map.find(Field);
  if (It == Map.end())
    return true;
  if (!It->is_array())
    return false;
  for (const json &Row : *It) {
    std::optional<T> Item = DecodeRow(Row);
    if (!Item)
      return false;
    Out.push_back(*std::move(Item));
  }
  return true;
}

bool isNumber(const json &Map, const char *Field) {
  return Map.contains(Field) && Map[Field].is_number_unsigned();
}

bool isWellFormedHead(const json &Map) {
  return Map.is_object() && Map.contains(TypeField) &&
         Map[TypeField] == GossipFrameType && Map.contains(KindField) &&
         Map[KindField].is_string() && Map.contains(SenderField) &&
         isNumber(Map, NumberField) && isNumber(Map, DigestField) &&
         (!Map.contains(TargetField) || Map[TargetField].is_string());
}

std::optional<std::uint64_t> bucketNumberOf(const json &Value) {
  if (!Value.is_number_unsigned())
    return std::nullopt;
  return Value.get<std::uint64_t>();
}

bool readBody(const json &Map, GossipMessage &M, TimePoint Now) {
  const auto ServerOf = [Now](const json &Row) {
    return serverNoticeOf(Row, Now);
  };
  const auto LeaverOf = [Now](const json &Row) {
    return departureOf(Row, Now);
  };
  return readRows(Map, BucketsField, M.Buckets, bucketNumberOf) &&
         M.Buckets.size() <= GossipMessage::BucketCount &&
         readRows(Map, MembersField, M.Members, memberOf) &&
         readRows(Map, SheetsField, M.Sheets, sheetReportOf) &&
         readRows(Map, ServersField, M.Servers, ServerOf) &&
         readRows(Map, DeparturesField, M.Departures, LeaverOf);
}

std::optional<GossipMessage> messageOf(const json &Map, TimePoint Now) {
  if (!isWellFormedHead(Map))
    return std::nullopt;
  GossipMessage M;
  const auto Kind =
      valueOf(GossipKindNames, Map[KindField].get_ref<const std::string &>());
  std::optional<MemberRecord> Sender = memberOf(Map[SenderField]);
  if (!Kind || !Sender || !readBody(Map, M, Now))
    return std::nullopt;
  M.Kind = *Kind;
  M.Sender = *std::move(Sender);
  M.Number = Map[NumberField].get<std::uint64_t>();
  M.Digest = Map[DigestField].get<std::uint64_t>();
  M.Target = Map.value(TargetField, std::string());
  if (M.Target.size() > MemberRecord::MaxTextBytes)
    return std::nullopt;
  return M;
}

} // namespace

std::string encodeGossip(const GossipMessage &M, TimePoint Now) {
  json Map = {{TypeField, GossipFrameType},
              {KindField, nameOf(GossipKindNames, M.Kind).data()},
              {SenderField, rowOf(M.Sender)},
              {NumberField, M.Number},
              {DigestField, M.Digest}};
  if (!M.Target.empty())
    Map[TargetField] = M.Target;
  if (!M.Buckets.empty())
    Map[BucketsField] = M.Buckets;
  for (const MemberRecord &R : M.Members)
    Map[MembersField].push_back(rowOf(R));
  for (const SheetReport &R : M.Sheets)
    Map[SheetsField].push_back(rowOf(R));
  for (const ServerNotice &N : M.Servers)
    Map[ServersField].push_back(rowOf(N, Now));
  for (const DepartureNotice &N : M.Departures)
    Map[DeparturesField].push_back(rowOf(N, Now));
  return cborOf(Map);
}

Result<GossipMessage> decodeGossip(absl::string_view Bytes, TimePoint Now) {
  if (Bytes.size() > GossipMessage::MaxBytes)
    return fail(ErrorCode::InvalidArgument, "the gossip message is too large");
  std::optional<GossipMessage> M = messageOf(parseCbor(Bytes), Now);
  if (!M)
    return fail(ErrorCode::InvalidArgument, "the gossip message is malformed");
  return *std::move(M);
}

std::size_t encodedBytes(const MemberRecord &R) {
  return RecordOverheadBytes + R.Name.size() + R.Address.size() + R.Zone.size();
}

std::size_t encodedBytes(const SheetReport &R) {
  return ReportOverheadBytes + R.Instance.size();
}

std::size_t encodedBytes(const ServerNotice &N) {
  return NoticeOverheadBytes + N.Server.size();
}

std::size_t encodedBytes(const DepartureNotice &N) {
  std::size_t Bytes = NoticeOverheadBytes + N.Instance.size();
  for (const std::string &Name : N.Successors)
    Bytes += TextOverheadBytes + Name.size();
  return Bytes;
}

} // namespace quetzallead
