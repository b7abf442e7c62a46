#ifndef QUETZALLEAD_DAEMON_QUERYPLANNER_H
#define QUETZALLEAD_DAEMON_QUERYPLANNER_H

#include "daemon/Problem.h"
#include "daemon/QuerySession.h"
#include <cstdint>
#include <memory>
#include <variant>

namespace quetzallead {

struct ClusterView;
struct LookupRequest;
struct PolicySettings;
struct SurveyRequest;

/// A job ready to run, or the problem that refuses the request unrun.
using PlannedQuery = std::variant<QueryJob, Problem>;

/// Plans a survey over one sheet. Refuses it unrun if too many of its shards
/// could not start their part before the deadline.
PlannedQuery planSurvey(const ClusterView &View,
                        std::shared_ptr<const ServiceView> Service,
                        const SurveyRequest &Request, RequestContext Context,
                        std::uint64_t MinVersion, const PolicySettings &Policy);

/// As planSurvey(), for the one shard that holds the key.
PlannedQuery planLookup(const ClusterView &View,
                        std::shared_ptr<const ServiceView> Service,
                        const LookupRequest &Request, RequestContext Context,
                        std::uint64_t MinVersion, const PolicySettings &Policy);

} // namespace quetzallead

#endif // QUETZALLEAD_DAEMON_QUERYPLANNER_H
