#ifndef QUETZALLEAD_TOOLS_FAKES_FAKEBACKENDSERVER_H
#define QUETZALLEAD_TOOLS_FAKES_FAKEBACKENDSERVER_H

#include "fakes/ServerFaults.h"
#include "fakes/ServiceTimeModel.h"
#include "quetzallead/BackendServerSpec.h"
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace quetzallead {

class FakeLoop;
class Journal;

/// What one fake backend server is.
struct FakeBackendServerOptions {
  BackendServerSpec Spec;
  std::string Service;
  std::string Shard;
  /// Key range of the shard; an empty To means no upper end.
  std::string From;
  std::string To;
  std::uint64_t Epoch = 1;
  std::uint64_t Version = 1;
  ServiceTimeModel ServiceTime;
  std::uint64_t Seed = 1;
};

/// One backend server: slots, a queue, a connection limit and faults. Its data
/// is a pure function of service, shard and version.
class FakeBackendServer {
public:
  /// Starts listening; null if the address cannot be bound. \p Loop and
  /// \p Notes outlive it.
  static std::unique_ptr<FakeBackendServer>
  make(FakeLoop &Loop, Journal &Notes, FakeBackendServerOptions Options);
  virtual ~FakeBackendServer() = default;

  virtual const std::string &name() const = 0;
  /// Merges \p Patch into the faults. The member "close_connections": true is
  /// an act: it closes all connections. An empty string, or what is wrong.
  virtual std::string applyFaults(nlohmann::json Patch) = 0;
  /// Takes over the shard, key range and epoch of \p Options.
  virtual void reassign(const FakeBackendServerOptions &Options) = 0;
  virtual nlohmann::json describe() const = 0;
  /// requests, executions, and connections open, peak, accepted, refused.
  virtual nlohmann::json counters() const = 0;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_FAKEBACKENDSERVER_H
