#pragma once

#include "bronzedeal/version/document.hpp"

#include <string>
#include <vector>

namespace bronzedeal::version {

/// The differences between two documents in words, one sentence each, for the
/// audit trail: "label state of failure domain fd-a changed from in to out".
[[nodiscard]] std::vector<std::string> DescribeChanges(const Document& aFrom,
                                                       const Document& aTo);

} // namespace bronzedeal::version
