#ifndef QUETZALLEAD_RELAY_DEPLOYMENT_H
#define QUETZALLEAD_RELAY_DEPLOYMENT_H

#include "absl/strings/string_view.h"
#include "core/relay/RouteSheet.h"
#include "core/relay/ServerFeed.h"
#include "quetzallead/Error.h"
#include "relay/HeaderNames.h"
#include "relay/LoopTimers.h"
#include "relay/RevisionedStore.h"
#include <functional>
#include <memory>
#include <string>

namespace quetzallead {

class MemoryGuard;

/// Binds the relay to a platform: the platform's header names and store keys,
/// decoders of its formats, and a factory for its store client.
struct Deployment {
  HeaderNames Headers;
  /// Key of the current sheet.
  std::string SheetKey;
  /// Key prefix of all that the operator stores; begins SheetKey and
  /// EvacuationPrefix.
  std::string OperatorPrefix;
  /// Key prefix of the availability zones whose backend servers are to get no
  /// requests; empty if there are no evacuations.
  std::string EvacuationPrefix;
  /// Key prefix of backend servers.
  std::string ServersPrefix;
  /// Key prefix of all that this tier stores.
  std::string TierPrefix;
  /// Key prefix of this tier's instances; begins with TierPrefix.
  std::string InstancesPrefix;
  /// Key of the secret that this tier's instances share; begins with
  /// TierPrefix.
  std::string SecretKey;
  std::function<Result<RouteSheet>(absl::string_view Text)> DecodeSheet;
  std::function<FeedEntry(const StoreItem &)> DecodeServer;
  std::function<std::unique_ptr<RevisionedStore>(
      boost::asio::io_context &, LoopTimers &, const std::string &Address,
      Duration CallTimeout, MemoryGuard *)>
      MakeStore;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_DEPLOYMENT_H
