#include "daemon/SheetService.h"
#include "daemon/ClusterDirectory.h"
#include "daemon/Problem.h"
#include "quetzallead/SheetCodec.h"
#include "runtime/TimerService.h"
#include <nlohmann/json.hpp>

namespace quetzallead {

SheetService::SheetService(ClusterDirectory &Dir, TimerService &TimerPart)
    : Directory(Dir), Timers(TimerPart) {}

void SheetService::submit(const std::string &Body,
                          const HttpServer::Responder &Respond) {
  auto Request = nlohmann::json::parse(Body, nullptr, false);
  if (!Request.is_object() || !Request.contains("sheet"))
    return Respond(
        problemResponse({ProblemType::BadRequest, "sheet: is missing"}, ""));
  auto Parsed = capture([&] { return sheetFromJson(Request["sheet"]); });
  if (auto *Fault = std::get_if<Error>(&Parsed))
    return Respond(
        problemResponse({ProblemType::BadRequest, Fault->text()}, ""));
  std::uint64_t Revision = Directory.view()->Revision + 1;
  Directory.applySheet(std::get<Sheet>(Parsed), Revision, Timers.now());
  HttpResponse Response;
  Response.Body =
      nlohmann::json{{"outcome", "accepted"}, {"revision", Revision}}.dump();
  Respond(std::move(Response));
}

HttpResponse SheetService::current() const { return HttpResponse(); }
HttpResponse SheetService::status() const { return HttpResponse(); }
HttpResponse SheetService::audit() const { return HttpResponse(); }

} // namespace quetzallead
