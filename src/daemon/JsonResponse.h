#ifndef QUETZALLEAD_DAEMON_JSONRESPONSE_H
#define QUETZALLEAD_DAEMON_JSONRESPONSE_H

#include "transport/http/HttpMessage.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

/// A response with \p Body as JSON. Texts that came from outside need not be
/// UTF-8: the bytes that are not are replaced, since the library would throw.
HttpResponse jsonResponse(const nlohmann::ordered_json &Body, int Status = 200);

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_JSONRESPONSE_H
