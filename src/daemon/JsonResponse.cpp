#include "daemon/JsonResponse.h"

namespace quetzallead {

using nlohmann::ordered_json;

HttpResponse jsonResponse(const ordered_json &Body, int Status) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "application/json");
  Response.Body =
      Body.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
  return Response;
}

} // namespace quetzallead
