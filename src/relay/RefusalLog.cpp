#include "relay/RefusalLog.h"
#include "relay/RelayMetrics.h"
#include "runtime/Logger.h"

namespace quetzallead {

RefusalLog::RefusalLog(RelayMetrics &GivenMetrics) : Metrics(GivenMetrics) {}

void RefusalLog::onRequest(PeerKind From, absl::string_view Address,
                           RequestDefect Defect) {
  const absl::string_view Name = nameOf(RequestDefectNames, Defect);
  logEvent(LogLevel::Warning, "request_refused",
           {{"peer", nameOf(PeerKindNames, From)},
            {"address", Address},
            {"defect", Name},
            {"status", statusOf(Defect)}});
  Metrics.messageRefused(From, Name);
}

void RefusalLog::onResponse(PeerKind From, absl::string_view Name,
                            absl::string_view Address, ResponseDefect Defect) {
  const absl::string_view DefectName = nameOf(ResponseDefectNames, Defect);
  logEvent(LogLevel::Warning, "response_refused",
           {{"peer", nameOf(PeerKindNames, From)},
            {"name", Name},
            {"address", Address},
            {"defect", DefectName}});
  Metrics.messageRefused(From, DefectName);
}

} // namespace quetzallead
