#ifndef QUETZALLEAD_RELAY_REFUSALLOG_H
#define QUETZALLEAD_RELAY_REFUSALLOG_H

#include "absl/strings/string_view.h"
#include "core/http/ResponseDefect.h"
#include "relay/PeerKind.h"
#include "relay/RequestDefect.h"

namespace quetzallead {

class BackendClient;
class RelayMetrics;
class RevisionedStore;
struct CallerHandlers;

/// Logs and counts messages of peers that are refused, so that who sent them
/// can be told. Never logs their bytes.
class RefusalLog {
public:
  explicit RefusalLog(RelayMetrics &Metrics);

  /// Has what is refused of a listener's peers reported here.
  void watch(CallerHandlers &Listener, PeerKind From);
  /// Likewise of backend servers and other instances, and of the store.
  void watch(BackendClient &Backends);
  void watch(RevisionedStore &Store);

  void onRequest(PeerKind From, absl::string_view Address,
                 RequestDefect Defect);
  /// \p Name is that of a server or an instance; empty for the store.
  void onResponse(PeerKind From, absl::string_view Name,
                  absl::string_view Address, ResponseDefect Defect);

private:
  RelayMetrics &Metrics;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_REFUSALLOG_H
