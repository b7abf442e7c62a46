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

/// How the surroundings of the relay speak: where things lie in the store, and
/// functions that translate them.
struct Deployment {
  HeaderNames Headers;
  /// Key of the sheet in force.
  std::string SheetKey;
  /// Begins the keys of backend servers.
  std::string ServersPrefix;
  /// Begins the keys of this tier's own instances.
  std::string InstancesPrefix;
  std::function<Result<RouteSheet>(absl::string_view Text)> DecodeSheet;
  std::function<FeedEntry(const StoreItem &)> DecodeServer;
  std::function<std::unique_ptr<RevisionedStore>(
      boost::asio::io_context &, LoopTimers &, const std::string &Address,
      Duration CallTime)>
      MakeStore;
};

} // namespace quetzallead

#endif // QUETZALLEAD_RELAY_DEPLOYMENT_H
