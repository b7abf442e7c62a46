#ifndef QUETZALLEAD_BACKENDSERVERSPEC_H
#define QUETZALLEAD_BACKENDSERVERSPEC_H

#include "quetzallead/Time.h"
#include <string>

namespace quetzallead {

/// What the sheet states of one backend server.
struct BackendServerSpec {
  std::string Name;
  std::string Zone;
  /// "ip:port" of its HTTP listener.
  std::string Address;
  /// Requests it executes at the same time.
  int Slots = 1;
  /// Connections it accepts from the whole fleet.
  int ConnectionLimit = 1;
  /// Time that a new connection takes to set up.
  Duration ConnectTime = absl::Milliseconds(1);
  /// True if it is to receive no new work.
  bool Leaving = false;

  friend bool operator==(const BackendServerSpec &A,
                         const BackendServerSpec &B) {
    return A.Name == B.Name && A.Zone == B.Zone && A.Address == B.Address &&
           A.Slots == B.Slots && A.ConnectionLimit == B.ConnectionLimit &&
           A.ConnectTime == B.ConnectTime && A.Leaving == B.Leaving;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_BACKENDSERVERSPEC_H
