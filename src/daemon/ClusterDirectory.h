#ifndef QUETZALLEAD_DAEMON_CLUSTERDIRECTORY_H
#define QUETZALLEAD_DAEMON_CLUSTERDIRECTORY_H

#include "absl/base/thread_annotations.h"
#include "daemon/ClusterView.h"
#include "daemon/RcuCell.h"
#include "daemon/Settings.h"
#include "quetzallead/PosixMutex.h"
#include "quetzallead/Sheet.h"
#include "quetzallead/Time.h"
#include <memory>
#include <string>

namespace quetzallead {

/// Holds the ClusterView in force and makes the next one from a new sheet or a
/// new number of instances. What was learned of services and backend servers
/// that stay is kept. Thread-safe.
class ClusterDirectory {
public:
  ClusterDirectory(const Settings &S);

  std::shared_ptr<const ClusterView> view() const { return Current.read(); }

  /// Puts \p S in force. Ignored if \p Revision is not above the present one.
  void applySheet(const Sheet &S, std::uint64_t Revision, TimePoint Now);
  /// The connections of each server are shared by \p Instances instances.
  void applyInstanceCount(int Instances, TimePoint Now);

  /// Passes word about a backend server on to its replica set.
  void noteLeaving(const std::string &Server, LeavingCause Cause,
                   TimePoint Now);
  void noteDead(const std::string &Server, TimePoint Now);
  void noteUnanswering(const std::string &Server, TimePoint Now);
  /// True if the server is used again from now on.
  bool noteHealthy(const std::string &Server, TimePoint Now);

private:
  std::shared_ptr<const ServiceView>
  makeService(const ServiceSpec &Spec, const ServiceView *Old, TimePoint Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(WriterMutex);
  template <typename Fn> void forEachSet(Fn Do) const;

  const std::string Zone;
  const PolicySettings Policy;
  const int QueuePerShard;
  PosixMutex WriterMutex;
  int Instances ABSL_GUARDED_BY(WriterMutex) = 1;
  std::uint64_t NextSeed ABSL_GUARDED_BY(WriterMutex);
  RcuCell<ClusterView> Current;
};

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_CLUSTERDIRECTORY_H
