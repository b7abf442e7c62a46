#ifndef QUETZALLEAD_TRANSPORT_HTTP_HTTPMESSAGE_H
#define QUETZALLEAD_TRANSPORT_HTTP_HTTPMESSAGE_H

#include "absl/strings/string_view.h"
#include <string>
#include <vector>

namespace quetzallead {

/// One header field or query parameter.
struct HttpField {
  std::string Name;
  std::string Value;
};

/// Fields in the order they were given; names compare without case.
class HttpFields {
public:
  void add(std::string Name, std::string Value) {
    Fields.push_back(HttpField{std::move(Name), std::move(Value)});
  }
  /// Value of the first field called \p Name; null if there is none.
  const std::string *find(absl::string_view Name) const;
  const std::vector<HttpField> &all() const { return Fields; }

private:
  std::vector<HttpField> Fields;
};

/// A request as an HTTP server received it.
struct HttpRequest {
  std::string Method;
  /// Path without the query string, percent-decoded.
  std::string Path;
  HttpFields Query;
  HttpFields Headers;
  std::string Body;
};

/// A response, on either side.
struct HttpResponse {
  int Status = 200;
  HttpFields Headers;
  std::string Body;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_HTTP_HTTPMESSAGE_H
