#include "transport/http/CurlTransfer.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "runtime/PeerScope.h"
#include <algorithm>
#include <cstring>
#include <curl/curl.h>
#include <sys/socket.h>

namespace quetzallead {
namespace {

constexpr absl::string_view EchoHeader = "X-Request-Id";
/// Largest accepted response header, bytes.
constexpr std::size_t MaxHeaderBytes = 64 << 10;

bool isAddressChar(char C) {
  return absl::ascii_isalnum(static_cast<unsigned char>(C)) || C == '.' ||
         C == '-' || C == ':' || C == '[' || C == ']';
}

bool isTargetChar(char C) { return C > ' ' && C != '\x7f' && C != '#'; }

bool isTokenChar(char C) {
  return absl::ascii_isgraph(static_cast<unsigned char>(C)) && C != ':' &&
         C != ';';
}

bool isValueChar(char C) { return C != '\r' && C != '\n' && C != '\0'; }

bool allOf(absl::string_view Text, bool (*Predicate)(char)) {
  return std::all_of(Text.begin(), Text.end(), Predicate);
}

/// Why \p Call cannot be put on the wire as it is; empty if it can.
std::string findDefect(const HttpCall &Call) {
  if (Call.Address.empty() || !allOf(Call.Address, isAddressChar))
    return "malformed address";
  if (!absl::StartsWith(Call.Target, "/") || !allOf(Call.Target, isTargetChar))
    return "malformed target";
  if (Call.Method.empty() || !allOf(Call.Method, isTokenChar))
    return "malformed method";
  for (const HttpField &Field : Call.Headers.all())
    if (Field.Name.empty() || !allOf(Field.Name, isTokenChar) ||
        !allOf(Field.Value, isValueChar))
      return absl::StrCat("malformed header field ", Field.Name);
  return std::string();
}

/// True if the method announces a body even when it is empty.
bool announcesBody(const HttpCall &Call) {
  return !Call.Body.empty() || Call.Method == "POST" || Call.Method == "PUT" ||
         Call.Method == "PATCH";
}

bool isEmptyLine(absl::string_view Line) {
  return Line == "\r\n" || Line == "\n";
}

long timeoutMs(Duration Timeout) {
  auto Ms =
      absl::ToInt64Milliseconds(absl::Ceil(Timeout, absl::Milliseconds(1)));
  return static_cast<long>(std::max<std::int64_t>(Ms, 1));
}

} // namespace

CurlTransfer::CurlTransfer(HttpClient::CallId TransferId, HttpCall Request,
                           HttpClient::Completion OnDone)
    : Id(TransferId), Call(std::move(Request)), Done(std::move(OnDone)) {
  static_assert(std::tuple_size<decltype(ErrorText)>::value >= CURL_ERROR_SIZE,
                "libcurl writes up to CURL_ERROR_SIZE bytes");
}

CurlTransfer::~CurlTransfer() { curl_slist_free_all(HeaderList); }

bool CurlTransfer::prepare(void *EasyHandle) {
  Malformed = findDefect(Call);
  if (!Malformed.empty())
    return false;
  Easy = EasyHandle;
  Url = absl::StrCat("http://", Call.Address, Call.Target);
  curl_easy_setopt(Easy, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS, timeoutMs(Call.Timeout));
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS, timeoutMs(Call.Timeout));
  curl_easy_setopt(Easy, CURLOPT_ERRORBUFFER, ErrorText.data());
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &onWrite);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &onHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, this);
  // Gets the lines of heads, but for the empty ones, before the library
  // interprets them: it would append a folded first field to a field of an
  // earlier response, which has been freed.
  curl_easy_setopt(Easy, CURLOPT_VERBOSE, 1L);
  curl_easy_setopt(Easy, CURLOPT_DEBUGFUNCTION, &onDebug);
  curl_easy_setopt(Easy, CURLOPT_DEBUGDATA, this);
  curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, &onRequestStart);
  curl_easy_setopt(Easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(Easy, CURLOPT_OPENSOCKETFUNCTION, &onOpenSocket);
  curl_easy_setopt(Easy, CURLOPT_OPENSOCKETDATA, this);
  // Lifted once the right echo has come.
  curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, Call.RequireEcho ? 1L : 0L);
  setBody();
  setHeaders();
  return true;
}

void CurlTransfer::setBody() {
  if (Call.Method == "HEAD") {
    curl_easy_setopt(Easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (announcesBody(Call)) {
    // The body goes through a callback without a seek function, so that the
    // library has no means to send it twice.
    curl_easy_setopt(Easy, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(Easy, CURLOPT_INFILESIZE_LARGE,
                     static_cast<curl_off_t>(Call.Body.size()));
    curl_easy_setopt(Easy, CURLOPT_READFUNCTION, &onRead);
    curl_easy_setopt(Easy, CURLOPT_READDATA, this);
  }
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Call.Method.c_str());
}

void CurlTransfer::setHeaders() {
  HeaderList = curl_slist_append(HeaderList, "Expect:");
  HeaderList = curl_slist_append(HeaderList, "Accept:");
  for (const HttpField &Field : Call.Headers.all()) {
    // "Name;" is the library's notation for a field with an empty value.
    std::string Line = Field.Value.empty()
                           ? absl::StrCat(Field.Name, ";")
                           : absl::StrCat(Field.Name, ": ", Field.Value);
    HeaderList = curl_slist_append(HeaderList, Line.c_str());
  }
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, HeaderList);
}

std::size_t CurlTransfer::onRead(char *Out, std::size_t Size, std::size_t Count,
                                 void *Cls) {
  auto *Self = static_cast<CurlTransfer *>(Cls);
  std::size_t Left = Self->Call.Body.size() - Self->BodyGiven;
  std::size_t Given = std::min(Size * Count, Left);
  if (Given == 0)
    return 0;
  std::memcpy(Out, Self->Call.Body.data() + Self->BodyGiven, Given);
  Self->BodyGiven += Given;
  Self->Sent = true;
  return Given;
}

int CurlTransfer::onRequestStart(void *Cls, char *, char *, int, int) {
  auto *Self = static_cast<CurlTransfer *>(Cls);
  if (Self->Sent) {
    Self->RepeatRefused = true;
    return CURL_PREREQFUNC_ABORT;
  }
  // Without a body the header is the whole request.
  if (Self->Call.Body.empty())
    Self->Sent = true;
  return CURL_PREREQFUNC_OK;
}

int CurlTransfer::onOpenSocket(void *Cls, int, void *Address) {
  auto *Self = static_cast<CurlTransfer *>(Cls);
  if (Self->Sent) {
    Self->RepeatRefused = true;
    return CURL_SOCKET_BAD;
  }
  const auto *Target = static_cast<curl_sockaddr *>(Address);
  return socket(Target->family, Target->socktype | SOCK_CLOEXEC,
                Target->protocol);
}

std::size_t CurlTransfer::onWrite(char *Data, std::size_t Size,
                                  std::size_t Count, void *Cls) {
  auto *Self = static_cast<CurlTransfer *>(Cls);
  std::size_t Bytes = Size * Count;
  if (Self->Response.Body.size() + Bytes > Self->Call.MaxResponseBytes) {
    Self->TooLarge = true;
    return 0;
  }
  Self->Response.Body.append(Data, Bytes);
  return Bytes;
}

int CurlTransfer::onDebug(void *, int Type, char *Data, std::size_t Size,
                          void *Cls) {
  if (Type == CURLINFO_HEADER_IN)
    static_cast<CurlTransfer *>(Cls)->checkHeadLine({Data, Size});
  return 0;
}

void CurlTransfer::checkHeadLine(absl::string_view Line) {
  if (isEmptyLine(Line) || Head.Defect != ResponseDefect::None)
    return;
  if (Head.Complete) {
    if (!isInterim(Head))
      return;
    // The final response replaces an interim one.
    Head = ResponseHead();
    Response.Headers = HttpFields();
    Echoed = false;
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, Call.RequireEcho ? 1L : 0L);
  }
  addHeadLine(Head, Line);
  if (Head.Defect == ResponseDefect::None)
    return;
  // Keeps the library from interpreting the line.
  curl_easy_pause(Easy, CURLPAUSE_RECV);
  OnDefect();
}

std::size_t CurlTransfer::onHeader(char *Data, std::size_t Size,
                                   std::size_t Count, void *Cls) {
  auto *Self = static_cast<CurlTransfer *>(Cls);
  std::size_t Bytes = Size * Count;
  return Self->acceptHeaderLine({Data, Bytes}) ? Bytes : 0;
}

bool CurlTransfer::acceptHeaderLine(absl::string_view Line) {
  HeaderBytes += Line.size();
  TooLarge = HeaderBytes > MaxHeaderBytes;
  if (TooLarge)
    return false;
  if (Head.Complete)
    return acceptTrailerLine(Line);
  // checkHeadLine() has seen the others.
  if (isEmptyLine(Line))
    addHeadLine(Head, Line);
  else if (!absl::StartsWith(Line, "HTTP/"))
    acceptHeaderField(splitFieldLine(Line));
  return Head.Defect == ResponseDefect::None;
}

bool CurlTransfer::acceptTrailerLine(absl::string_view Line) {
  // The fields of a trailer are not among those of the head.
  if (!isEmptyLine(Line) && checkFieldLine(Line) != ResponseDefect::None)
    Head.Defect = ResponseDefect::Framing;
  return Head.Defect == ResponseDefect::None;
}

void CurlTransfer::acceptHeaderField(const FieldLine &Field) {
  if (Call.RequireEcho && absl::EqualsIgnoreCase(Field.Name, EchoHeader)) {
    const std::string *Wanted = Call.Headers.find(EchoHeader);
    Echoed = Wanted != nullptr && *Wanted == Field.Value;
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, Echoed ? 0L : 1L);
  }
  Response.Headers.add(std::string(Field.Name), std::string(Field.Value));
}

TransferFailure CurlTransfer::classify(int CurlCode) const {
  if (Head.Defect != ResponseDefect::None)
    return TransferFailure::BadResponse;
  // The library takes a header that the connection's end cut short for whole.
  if (CurlCode == CURLE_OK && Head.Complete && !isInterim(Head))
    return TransferFailure::None;
  if (TooLarge)
    return TransferFailure::TooLarge;
  if (CurlCode == CURLE_OPERATION_TIMEDOUT)
    return Sent ? TransferFailure::TimedOut : TransferFailure::TimedOutNotSent;
  return Sent ? TransferFailure::Lost : TransferFailure::NotSent;
}

std::string CurlTransfer::describe(int CurlCode) const {
  if (Head.Defect != ResponseDefect::None)
    return std::string(nameOf(ResponseDefectNames, Head.Defect));
  if (RepeatRefused || CurlCode == CURLE_OK)
    return "the connection ended before a whole response";
  if (ErrorText[0] != '\0')
    return ErrorText.data();
  return curl_easy_strerror(static_cast<CURLcode>(CurlCode));
}

HttpOutcome CurlTransfer::finish(int CurlCode) {
  HttpOutcome Outcome = fail(classify(CurlCode));
  if (Outcome.Failure != TransferFailure::None) {
    Outcome.Detail = describe(CurlCode);
    return Outcome;
  }
  Outcome.Response = std::move(Response);
  Outcome.Response.Status = static_cast<int>(Head.Status);
  Outcome.EchoMismatch = Call.RequireEcho && !Echoed;
  if (Outcome.EchoMismatch)
    Outcome.Detail = "the response does not echo X-Request-Id";
  return Outcome;
}

HttpOutcome CurlTransfer::fail(TransferFailure Failure) {
  HttpOutcome Outcome;
  Outcome.Failure = Failure;
  Outcome.Sent = Sent;
  Outcome.Detail = Malformed;
  if (Easy == nullptr)
    return Outcome;
  curl_off_t TotalUs = 0;
  curl_easy_getinfo(Easy, CURLINFO_TOTAL_TIME_T, &TotalUs);
  long Connects = 0;
  curl_easy_getinfo(Easy, CURLINFO_NUM_CONNECTS, &Connects);
  Outcome.Elapsed = absl::Microseconds(TotalUs);
  Outcome.NewConnection = Connects > 0;
  return Outcome;
}

void CurlTransfer::complete(HttpOutcome Outcome) {
  const PeerScope Scope(
      "reading a response",
      [](const void *Peer) {
        return static_cast<const CurlTransfer *>(Peer)->Call.Address;
      },
      this);
  Done(std::move(Outcome));
}

} // namespace quetzallead
