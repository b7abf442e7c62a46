#include "transport/http/CurlTransfer.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
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

/// True if \p StatusLine, "HTTP/1.1 CODE REASON", has a code from 100 to 199.
bool isInterim(absl::string_view StatusLine) {
  std::size_t Space = StatusLine.find(' ');
  return Space != absl::string_view::npos &&
         absl::StartsWith(StatusLine.substr(Space + 1), "1");
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

std::size_t CurlTransfer::onHeader(char *Data, std::size_t Size,
                                   std::size_t Count, void *Cls) {
  auto *Self = static_cast<CurlTransfer *>(Cls);
  std::size_t Bytes = Size * Count;
  return Self->acceptHeaderLine(Data, Bytes) ? Bytes : 0;
}

bool CurlTransfer::acceptHeaderLine(const char *Data, std::size_t Size) {
  HeaderBytes += Size;
  TooLarge = HeaderBytes > MaxHeaderBytes;
  absl::string_view Line =
      absl::StripAsciiWhitespace(absl::string_view(Data, Size));
  if (absl::StartsWith(Line, "HTTP/")) {
    // The final response replaces an interim one.
    Response.Headers = HttpFields();
    Echoed = false;
    Interim = isInterim(Line);
    return !TooLarge;
  }
  if (Line.empty() && !Interim)
    HeaderEnded = true;
  std::size_t Colon = Line.find(':');
  if (Colon != absl::string_view::npos)
    acceptHeaderField(
        std::string(Line.substr(0, Colon)),
        std::string(absl::StripAsciiWhitespace(Line.substr(Colon + 1))));
  return !TooLarge;
}

void CurlTransfer::acceptHeaderField(const std::string &Name,
                                     std::string Value) {
  if (Call.RequireEcho && absl::EqualsIgnoreCase(Name, EchoHeader)) {
    const std::string *Wanted = Call.Headers.find(EchoHeader);
    Echoed = Wanted != nullptr && *Wanted == Value;
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, Echoed ? 0L : 1L);
  }
  Response.Headers.add(Name, std::move(Value));
}

TransferFailure CurlTransfer::classify(int CurlCode) const {
  // The library takes a header that the connection's end cut short for whole.
  if (CurlCode == CURLE_OK && HeaderEnded)
    return TransferFailure::None;
  if (TooLarge)
    return TransferFailure::TooLarge;
  if (CurlCode == CURLE_OPERATION_TIMEDOUT)
    return Sent ? TransferFailure::TimedOut : TransferFailure::TimedOutNotSent;
  return Sent ? TransferFailure::Lost : TransferFailure::NotSent;
}

std::string CurlTransfer::describe(int CurlCode) const {
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
  long Status = 0;
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  Outcome.Response = std::move(Response);
  Outcome.Response.Status = static_cast<int>(Status);
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

void CurlTransfer::complete(HttpOutcome Outcome) { Done(std::move(Outcome)); }

} // namespace quetzallead
