#ifndef QUETZALLEAD_TESTS_RELAY_INSTANCEGRAPH_H
#define QUETZALLEAD_TESTS_RELAY_INSTANCEGRAPH_H

#include "core/relay/HandOver.h"
#include "core/relay/RelayState.h"
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

namespace quetzallead {

/// Instances and backend servers in zones, with cuts between any two of them
/// that come and go and processes that end, in simulated time. Each instance
/// decides with a RelayState, a ServerContact and chooseHandOver(), and its
/// requests are RelayRequests.
class InstanceGraph {
public:
  /// A request of a caller.
  struct Call {
    int Origin = 0;
    TimePoint Arrived;
    bool Idempotent = true;
    int MaxAttempts = 1;
    /// Servers that have got it, by service.
    std::map<std::string, int> Runs;
    /// Instances other than Origin that have begun to serve it.
    std::set<int> Helpers;
    /// Instances that one request passed in a row.
    int Hops = 0;
    bool Answered = false;
    bool Served = false;
    /// Rejected as not executed.
    bool Rejected = false;
    TimePoint AnsweredAt;
  };

  /// \p ExtraLoadBase is the base of the extra load of each instance.
  explicit InstanceGraph(std::uint64_t Seed, double ExtraLoadBase = 1000);
  ~InstanceGraph();

  /// Runs until \p Time from the start, with requests at random instances.
  void run(Duration Time);

  /// Whether instance \p I can serve a request, by itself or through another.
  bool servable(int I) const;
  /// Whether no instance reaches any server.
  bool hopeless() const;
  /// When the last cut began or ended.
  TimePoint lastChange() const { return LastChange; }
  TimePoint now() const { return Now; }

  std::vector<std::unique_ptr<Call>> Calls;
  /// Called with each call that has been answered, and with its instance's
  /// servable().
  std::function<void(const Call &)> OnAnswered;
  /// The random cuts go on; if false, what is cut stays as it is.
  bool CutsChange = true;

private:
  struct Instance;
  struct Work;

  void at(TimePoint When, std::function<void()> Event);
  bool chance(double Share);
  Duration randomTime(Duration Mean);
  void changeCuts();
  /// Ends the process of instance \p I and starts it again at once: its
  /// requests are lost, what it knows of servers is kept.
  void endWorkAt(int I);
  /// Delivers a message between two instances, unless their link is cut by
  /// then.
  void overLink(int From, int To, std::function<void()> Deliver);
  void arrive();
  bool reaches(int I, const ServerRef &Server) const;
  void heard(int I);
  void check(int I);
  void lose(int I);
  void markUnreachable(int I, const ServerRef &Server);
  void reconnect(int I, const ServerRef &Server);
  const Route &routeOf(const Instance &I, const Call &C) const;
  HandOverQuestion question(int I, const Call &C, bool FromInstance,
                            bool HandedOver) const;
  void serve(int I, Call &C, std::shared_ptr<Work> Asking, bool Repeated,
             bool HeldBack, bool HandedOver);
  void forward(int I, Call &C, bool Repeated);
  void begin(const std::shared_ptr<Work> &W, RelayPlan Plan);
  void perform(const std::shared_ptr<Work> &W, const RelayActions &Actions);
  void sendToServer(const std::shared_ptr<Work> &W,
                    const SendRelayAttempt &Send);
  void sendToHome(const std::shared_ptr<Work> &W, const SendRelayAttempt &Send);
  void endAttempt(const std::shared_ptr<Work> &W, std::size_t Attempt,
                  AttemptResult Result);
  void finish(const std::shared_ptr<Work> &W, const RelayResult &Result);
  void answer(Call &C, bool Served, bool Rejected);

  pcg32 Engine;
  TimePoint Now = absl::UnixEpoch() + absl::Hours(1);
  TimePoint LastChange = Now;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<std::unique_ptr<Instance>> Instances;
  /// Zone by server id.
  std::map<std::string, std::string> ServerZones;
  /// Pairs of an instance and a server, or of two instances, that are cut.
  std::set<std::pair<int, std::string>> ServerCuts;
  std::set<std::pair<int, int>> LinkCuts;
  std::vector<std::shared_ptr<Work>> Working;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_RELAY_INSTANCEGRAPH_H
