#pragma once

#include "bronzedeal/version/document.hpp"
#include "bronzedeal/version/snapshot.hpp"

#include <set>
#include <string>
#include <vector>

namespace bronzedeal::version {

/// The differences between two documents in words, one sentence each, for the
/// audit trail: "label state of failure domain fd-a changed from in to out".
[[nodiscard]] std::vector<std::string> DescribeChanges(const Document& aFrom,
                                                       const Document& aTo);

/// Servers of `aTo` that another owner may use under `aFrom`: their slice
/// changed, or their address belonged to another server.
[[nodiscard]] std::set<ServerId> ReassignedServers(const Snapshot& aFrom,
                                                   const Snapshot& aTo);

} // namespace bronzedeal::version
