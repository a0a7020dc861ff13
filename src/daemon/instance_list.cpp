#include "bronzedeal/daemon/instance_list.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <stdexcept>

namespace bronzedeal::daemon {

namespace json = boost::json;

namespace {

std::string StringMember(const json::object& aObject, std::string_view aKey)
{
  return json::value_to<std::string>(aObject.at(aKey));
}

bool IsLeaving(const json::object& aObject)
{
  const auto state = StringMember(aObject, "state");
  if (state != "live" && state != "leaving") {
    throw std::invalid_argument("state");
  }
  return state == "leaving";
}

process::RosterEntry ParseInstance(const json::value& aValue)
{
  const auto& object = aValue.as_object();
  return {
    StringMember(object, "id"),     StringMember(object, "http"),
    StringMember(object, "peer"),   StringMember(object, "failure_domain"),
    StringMember(object, "region"), IsLeaving(object)
  };
}

InstanceList Parse(const json::value& aValue)
{
  const auto& object = aValue.as_object();
  InstanceList list;
  list.revision = object.at("revision").to_number<RosterRevision>();
  std::set<InstanceId> ids;
  for (const auto& it : object.at("instances").as_array()) {
    list.instances.push_back(ParseInstance(it));
    const auto& id = list.instances.back().id;
    if (id.empty() || !ids.insert(id).second) {
      throw std::invalid_argument("id");
    }
    if (const auto* admin = it.as_object().if_contains("admin")) {
      list.adminAddresses.emplace(list.instances.back().id,
                                  json::value_to<std::string>(*admin));
    }
  }
  const auto* servers = object.if_contains("servers");
  if (servers != nullptr) {
    for (const auto& it : servers->as_array()) {
      if (IsLeaving(it.as_object())) {
        list.leavingServers.insert(StringMember(it.as_object(), "id"));
      }
    }
  }
  return list;
}

} // namespace

std::optional<InstanceList> ParseInstanceList(std::string_view aText)
{
  try {
    return Parse(json::parse(json::string_view(aText.data(), aText.size())));
  } catch (const std::exception&) {
    // Boost.JSON reports missing members and other types by exceptions.
    return std::nullopt;
  }
}

} // namespace bronzedeal::daemon
