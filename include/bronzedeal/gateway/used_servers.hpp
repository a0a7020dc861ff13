#pragma once

#include "bronzedeal/types.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

/// The servers that may have run one request of a caller, by group.
///
/// The route limits their number for the request as a whole, so all exchanges
/// that serve the request share this, those at an instance that it is handed to
/// included.
class UsedServers
{
public:
  /// Records that the request is sent to a server.
  void Add(const std::string& aGroup, const ServerId& aServer);

  /// Records that one send to a server was not run.
  void Remove(const std::string& aGroup, const ServerId& aServer);

  /// The servers of one group.
  [[nodiscard]] std::vector<ServerId> Of(const std::string& aGroup) const;

  [[nodiscard]] std::vector<std::string> Groups() const;

  /// Number of servers of all groups.
  [[nodiscard]] std::size_t size() const noexcept;
  [[nodiscard]] bool IsEmpty() const noexcept { return mSends.empty(); }

private:
  /// Numbers of sends that may have run; groups without any are left out.
  std::map<std::string, std::map<ServerId, unsigned>> mSends;
};

} // namespace bronzedeal::gateway
