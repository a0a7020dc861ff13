#pragma once

#include "bronzedeal/process/roster.hpp"
#include "bronzedeal/types.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::daemon {

/// The platform's list of live and leaving instances and servers.
struct InstanceList
{
  RosterRevision revision = 0;
  std::vector<process::RosterEntry> instances;
  std::set<ServerId> leavingServers;
  /// Admin addresses of the instances that publish one.
  std::map<InstanceId, std::string> adminAddresses;
};

/// Parses the answer of `GET /v1/instances`; nullopt when a field is missing or
/// has another type, a state is neither `live` nor `leaving`, or an instance's
/// id is empty or occurs twice. Fields that are not known are ignored, since
/// the platform may publish more.
[[nodiscard]] std::optional<InstanceList> ParseInstanceList(
  std::string_view aText);

} // namespace bronzedeal::daemon
