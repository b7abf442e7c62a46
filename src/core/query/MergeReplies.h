#ifndef QUETZALLEAD_CORE_QUERY_MERGEREPLIES_H
#define QUETZALLEAD_CORE_QUERY_MERGEREPLIES_H

#include <vector>

namespace quetzallead {

struct Answer;
struct SubReply;
struct SurveyPlan;

/// Merges the replies of one snapshot, in shard order, into \p Out by the
/// plan's merge kind. Rows keep their order within a shard; ordered rows that
/// compare equal keep the order of the shards.
void mergeReplies(const SurveyPlan &Plan, std::vector<SubReply> Replies,
                  Answer &Out);

} // namespace quetzallead

#endif // QUETZALLEAD_CORE_QUERY_MERGEREPLIES_H
