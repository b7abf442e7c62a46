#ifndef QUETZALLEAD_TESTS_SUPPORT_COVERAGECHECK_H
#define QUETZALLEAD_TESTS_SUPPORT_COVERAGECHECK_H

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace quetzallead {

/// Each way in which the answer \p Body to a survey of rows contradicts itself
/// or \p Partition, the "shards" of its epoch's sheet: every shard is either
/// covered by all its rows, each once, or named as missing with its key range,
/// and all rows are of the answer's version.
std::vector<std::string> coverageFaults(const nlohmann::json &Body,
                                        const nlohmann::json &Partition);

} // namespace quetzallead

#endif // QUETZALLEAD_TESTS_SUPPORT_COVERAGECHECK_H
