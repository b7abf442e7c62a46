#include "fakes/Catalog.h"

namespace quetzallead {

using nlohmann::json;

static std::string textOf(const json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_string())
    return "";
  return Found->get<std::string>();
}

std::uint64_t Catalog::indexOf(const std::string &Service) const {
  const auto Found = Changed.find(Service);
  return Found == Changed.end() ? 1 : Found->second;
}

json Catalog::list(const std::string &Service,
                   const std::set<std::string> &Hidden) const {
  json Nodes = json::array();
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return Nodes;
  for (const auto &Item : Found->second)
    if (Hidden.count(Item.first) == 0)
      Nodes.push_back(Item.second);
  return Nodes;
}

std::string Catalog::add(const json &Body) {
  if (!Body.is_object() || !Body.contains("Service") ||
      !Body["Service"].is_object())
    return "";
  const json &Given = Body["Service"];
  const std::string Node = textOf(Body, "Node");
  std::string Service = textOf(Given, "Service");
  if (Node.empty() || Service.empty())
    return "";
  std::string Address = textOf(Given, "Address");
  if (Address.empty())
    Address = textOf(Body, "Address");
  json Entry = {{"Node", Node},
                {"Address", textOf(Body, "Address")},
                {"ServiceName", Service},
                {"ServiceAddress", Address},
                {"ServicePort", Given.value("Port", json(0))},
                {"ServiceMeta", Given.value("Meta", json::object())}};
  json &Known = Services[Service][Node];
  if (Known == Entry)
    return Service;
  Known = std::move(Entry);
  Changed[Service] = ++LastIndex;
  return Service;
}

void Catalog::remove(const std::string &Node) {
  for (auto &Item : Services)
    if (Item.second.erase(Node) > 0)
      Changed[Item.first] = ++LastIndex;
}

} // namespace quetzallead
