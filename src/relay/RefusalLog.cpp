#include "relay/RefusalLog.h"
#include "relay/BackendClient.h"
#include "relay/CallerSession.h"
#include "relay/RelayMetrics.h"
#include "relay/RevisionedStore.h"
#include "runtime/Logger.h"

namespace quetzallead {

RefusalLog::RefusalLog(RelayMetrics &GivenMetrics) : Metrics(GivenMetrics) {}

void RefusalLog::watch(CallerHandlers &Listener, PeerKind From) {
  Listener.OnRefused = [this, From](const std::string &Address,
                                    RequestDefect Defect) {
    onRequest(From, Address, Defect);
  };
}

void RefusalLog::watch(BackendClient &Backends) {
  Backends.Observer.OnRefused = [this](const PoolServer &From,
                                       ResponseDefect Defect) {
    const DiscoveredServer &Info = From.Info;
    onResponse(Info.IsInstance ? PeerKind::Instance : PeerKind::Server, Info.Id,
               Info.Address, Defect);
  };
}

void RefusalLog::watch(RevisionedStore &Store) {
  Store.OnRefused = [this](const std::string &Address, ResponseDefect Defect) {
    onResponse(PeerKind::Store, "", Address, Defect);
  };
}

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
