#ifndef QUETZALLEAD_DAEMON_SHEETSERVICE_H
#define QUETZALLEAD_DAEMON_SHEETSERVICE_H

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "daemon/PeerCalls.h"
#include "quetzallead/PosixMutex.h"
#include "quetzallead/SheetAction.h"
#include "quetzallead/SheetEvent.h"
#include "quetzallead/SheetStore.h"
#include "runtime/TimerService.h"
#include "transport/http/HttpServer.h"
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace quetzallead {

class ClusterDirectory;
class FleetService;
class PlatformClient;

/// Carries out the actions of this instance's SheetStore: watches and writes
/// the platform's store, fetches from peers, puts sheets in force, and answers
/// operators. Thread-safe.
class SheetService {
public:
  SheetService(ClusterDirectory &Directory, PlatformClient &Platform,
               TimerService &Timers, std::uint64_t Seed);

  /// Begins to follow the store and the peers; \p Fleet must outlive stop().
  void start(FleetService &Fleet);
  void stop();

  /// An instance has \p Revision in force.
  void onPeerRevision(const std::string &Instance, std::uint64_t Revision);
  /// A peer asks for the document in force, \p Request holding the revision
  /// that it has.
  nlohmann::json serveFetch(const nlohmann::json &Request) const;

  /// Operators' calls, see docs/PROTOCOLS.md.
  void submit(const std::string &Body, const HttpServer::Responder &Respond);
  HttpResponse current() const;
  HttpResponse status() const;
  HttpResponse audit() const;

private:
  void step(const SheetEvent &Event);
  void perform(const SheetAction &Action);
  void perform(const SheetAction::Read &Action);
  void perform(const SheetAction::Watch &Action);
  void perform(const SheetAction::Write &Action);
  void perform(const SheetAction::Fetch &Action);
  void perform(const SheetAction::Publish &Action);
  void perform(const SheetAction::Answer &Action);
  void perform(const SheetAction::Notice &Action);
  void onFetched(const std::string &Peer, const nlohmann::json &Body);
  void tick(TimePoint Now);
  void remindOfLaterSheets(TimePoint Now);
  void fetch(const std::string &Peer, std::uint64_t FromRevision);
  std::shared_ptr<const SheetDocument> inForce() const;
  /// A document that was in force here not long ago; null if none has
  /// \p Revision.
  std::shared_ptr<const SheetDocument> recent(std::uint64_t Revision) const;

  ClusterDirectory &Directory;
  PlatformClient &Platform;
  TimerService &Timers;
  FleetService *Fleet = nullptr;
  mutable PosixMutex Mutex;
  SheetStore Store ABSL_GUARDED_BY(Mutex);
  /// Documents in force before, newest last; patches for peers start here.
  std::deque<std::shared_ptr<const SheetDocument>>
      Recent ABSL_GUARDED_BY(Mutex);
  bool Watching ABSL_GUARDED_BY(Mutex) = false;
  std::uint64_t NextRequest ABSL_GUARDED_BY(Mutex) = 1;
  absl::flat_hash_map<std::uint64_t, HttpServer::Responder>
      Waiting ABSL_GUARDED_BY(Mutex);
  /// Used by the timer alone.
  TimePoint NextReminder = absl::InfinitePast();
  std::shared_ptr<TimerService::Subscription> Ticker;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_SHEETSERVICE_H
