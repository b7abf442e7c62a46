#include "support/Fetch.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include <curl/curl.h>
#include <utility>

namespace quetzallead {

namespace {

/// A response as it comes in.
struct Incoming {
  HttpResponse Response;
  /// libcurl takes a response that is cut short within its headers for a whole
  /// one without a body; only the empty line after them tells.
  bool HeadersEnded = false;
};

} // namespace

static std::size_t takeBody(char *Data, std::size_t Size, std::size_t Count,
                            void *Into) {
  static_cast<Incoming *>(Into)->Response.Body.append(Data, Size * Count);
  return Size * Count;
}

static std::size_t takeHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *Into) {
  const absl::string_view Line(Data, Size * Count);
  Incoming &Taken = *static_cast<Incoming *>(Into);
  Taken.HeadersEnded = Line == "\r\n";
  const std::size_t Colon = Line.find(':');
  if (Colon != absl::string_view::npos)
    Taken.Response.Headers.add(
        std::string(Line.substr(0, Colon)),
        std::string(absl::StripAsciiWhitespace(Line.substr(Colon + 1))));
  return Size * Count;
}

static curl_slist *headerList(const HttpFields &Fields) {
  curl_slist *List = curl_slist_append(nullptr, "Expect:");
  for (const HttpField &Field : Fields.all())
    List = curl_slist_append(
        List, absl::StrCat(Field.Name, ": ", Field.Value).c_str());
  return List;
}

std::optional<HttpResponse> fetch(const FetchCall &Call) {
  static const CURLcode Initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  CURL *Easy = curl_easy_init();
  if (Initialized != CURLE_OK || Easy == nullptr)
    return std::nullopt;
  Incoming Taken;
  const std::string Url = absl::StrCat("http://", Call.Address, Call.Target);
  curl_slist *Headers = headerList(Call.Headers);
  curl_easy_setopt(Easy, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Call.Method.c_str());
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Headers);
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(absl::ToInt64Milliseconds(Call.Timeout)));
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, takeBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Taken);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, takeHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Taken);
  if (Call.Method != "GET") {
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Call.Body.c_str());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Call.Body.size()));
  }
  const CURLcode Outcome = curl_easy_perform(Easy);
  long Status = 0;
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  curl_slist_free_all(Headers);
  curl_easy_cleanup(Easy);
  if (Outcome != CURLE_OK || !Taken.HeadersEnded)
    return std::nullopt;
  Taken.Response.Status = static_cast<int>(Status);
  return Taken.Response;
}

static nlohmann::json fetchJson(const FetchCall &Call) {
  const std::optional<HttpResponse> Response = fetch(Call);
  if (!Response || Response->Status / 100 != 2)
    return nullptr;
  return bodyOf(*Response);
}

nlohmann::json getJson(const std::string &Address, const std::string &Target) {
  FetchCall Call;
  Call.Address = Address;
  Call.Target = Target;
  return fetchJson(Call);
}

nlohmann::json postJson(const std::string &Address, const std::string &Target,
                        const nlohmann::json &Body) {
  FetchCall Call;
  Call.Method = "POST";
  Call.Address = Address;
  Call.Target = Target;
  Call.Body = Body.dump();
  return fetchJson(Call);
}

nlohmann::json bodyOf(const HttpResponse &Response) {
  return nlohmann::json::parse(Response.Body, nullptr, false);
}

} // namespace quetzallead
