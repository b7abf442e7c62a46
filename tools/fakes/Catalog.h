#ifndef QUETZALLEAD_TOOLS_FAKES_CATALOG_H
#define QUETZALLEAD_TOOLS_FAKES_CATALOG_H

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace quetzallead {

/// The platform's list of the nodes of each service.
class Catalog {
public:
  /// Index of the last change of \p Service; 1 if it never changed.
  std::uint64_t indexOf(const std::string &Service) const;
  /// The nodes of \p Service in the shape of the catalog call, but for those
  /// in \p Hidden.
  nlohmann::json list(const std::string &Service,
                      const std::set<std::string> &Hidden) const;
  /// Takes the body of a register call. The name of the service, or an empty
  /// string if the body is malformed.
  std::string add(const nlohmann::json &Body);
  /// Removes \p Node from every service.
  void remove(const std::string &Node);

private:
  std::uint64_t LastIndex = 1;
  std::map<std::string, std::map<std::string, nlohmann::json>> Services;
  std::map<std::string, std::uint64_t> Changed;
};

} // namespace quetzallead

#endif // QUETZALLEAD_TOOLS_FAKES_CATALOG_H
