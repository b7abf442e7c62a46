#ifndef QUETZALLEAD_TRANSPORT_PLATFORM_CATALOGENTRY_H
#define QUETZALLEAD_TRANSPORT_PLATFORM_CATALOGENTRY_H

#include <string>

namespace quetzallead {

/// One node on the platform's list for a service.
struct CatalogEntry {
  std::string Node;
  /// "ip:port".
  std::string Address;
  /// Availability zone; empty if the list does not say.
  std::string Zone;
  /// True if the node is on its way out.
  bool Leaving = false;

  friend bool operator==(const CatalogEntry &A, const CatalogEntry &B) {
    return A.Node == B.Node && A.Address == B.Address && A.Zone == B.Zone &&
           A.Leaving == B.Leaving;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_TRANSPORT_PLATFORM_CATALOGENTRY_H
