#include "bronzedeal/gateway/used_servers.hpp"

namespace bronzedeal::gateway {

void UsedServers::Add(const std::string& aGroup, const ServerId& aServer)
{
  ++mSends[aGroup][aServer];
}

void UsedServers::Remove(const std::string& aGroup, const ServerId& aServer)
{
  const auto group = mSends.find(aGroup);
  if (group == mSends.end()) {
    return;
  }
  const auto it = group->second.find(aServer);
  if (it == group->second.end() || --it->second > 0) {
    return;
  }
  group->second.erase(it);
  if (group->second.empty()) {
    mSends.erase(group);
  }
}

std::vector<ServerId> UsedServers::Of(const std::string& aGroup) const
{
  std::vector<ServerId> servers;
  if (const auto group = mSends.find(aGroup); group != mSends.end()) {
    for (const auto& [server, sendCount] : group->second) {
      servers.push_back(server);
    }
  }
  return servers;
}

std::vector<std::string> UsedServers::Groups() const
{
  std::vector<std::string> groups;
  for (const auto& [group, servers] : mSends) {
    groups.push_back(group);
  }
  return groups;
}

std::size_t UsedServers::size() const noexcept
{
  std::size_t count = 0;
  for (const auto& [group, servers] : mSends) {
    count += servers.size();
  }
  return count;
}

} // namespace bronzedeal::gateway
