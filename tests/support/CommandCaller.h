#ifndef QUETZALLEAD_TESTS_SUPPORT_COMMANDCALLER_H
#define QUETZALLEAD_TESTS_SUPPORT_COMMANDCALLER_H

#include "absl/base/thread_annotations.h"
#include "quetzallead/PosixMutex.h"
#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace quetzallead {

class TestFleet;

/// A command with its ticket, which may be sent any number of times.
struct TicketedCommand {
  std::string Ticket;
  nlohmann::json Content;
  /// Index of the shard that it is for.
  int Shard = 0;
};

/// Sends commands to the daemons of a fleet and remembers what it was told of
/// each. Thread-safe.
class CommandCaller {
public:
  explicit CommandCaller(TestFleet &Under) : Fleet(Under) {}

  /// A command unlike all others, with a ticket of the daemon \p Index.
  TicketedCommand make(std::size_t Index, int Shard = 0);
  /// Sends a copy to the daemon. The run state in its answer, "in_progress" or
  /// "no_answer".
  std::string send(std::size_t Index, const TicketedCommand &Command);
  /// True once a backend server began the command; false after a generous
  /// limit.
  bool waitBegun(const TicketedCommand &Command) const;

  /// Each way in which the backend servers' journals contradict the words:
  /// two executions, none after "ran", one after "not_run". To be called once
  /// no server works any more.
  std::vector<std::string> contradictions() const;
  /// How often each word fell.
  std::map<std::string, int> words() const;

private:
  struct Told {
    nlohmann::json Content;
    std::string Word;
  };

  TestFleet &Fleet;
  mutable PosixMutex Lock;
  int Made ABSL_GUARDED_BY(Lock) = 0;
  std::vector<Told> Notes ABSL_GUARDED_BY(Lock);
};

/// Waits until no backend server of the fleet works any more; false after a
/// generous limit.
bool waitIdle(TestFleet &Fleet);

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_COMMANDCALLER_H
