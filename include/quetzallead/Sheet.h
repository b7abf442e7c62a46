#ifndef QUETZALLEAD_SHEET_H
#define QUETZALLEAD_SHEET_H

#include "quetzallead/ServiceSpec.h"
#include <string>
#include <vector>

namespace quetzallead {

/// The configuration that governs every availability zone: the services of the
/// day with their shards, replicas, capacities and priorities. Immutable once
/// published.
struct Sheet {
  /// Name of the deployment, for example "escaparates".
  std::string Deployment;
  /// Names of the availability zones.
  std::vector<std::string> Zones;
  std::vector<ServiceSpec> Services;

  friend bool operator==(const Sheet &A, const Sheet &B) {
    return A.Deployment == B.Deployment && A.Zones == B.Zones &&
           A.Services == B.Services;
  }
};

} // namespace quetzallead

#endif // QUETZALLEAD_SHEET_H
