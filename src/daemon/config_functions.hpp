#pragma once

#include "bronzedeal/process/audit_trail.hpp"
#include "bronzedeal/process/config_distributor.hpp"
#include "bronzedeal/version/snapshot.hpp"

#include <vector>

namespace bronzedeal::daemon {

/// Validation and merge patches by the version library.
[[nodiscard]] process::ConfigFunctions MakeConfigFunctions();

/// What a new snapshot changes, in words, for the audit trail. `aPrevious` may
/// be null.
[[nodiscard]] std::vector<process::AuditNote> MakeChangeNotes(
  const version::Snapshot* aPrevious,
  const version::Snapshot& aSnapshot);

} // namespace bronzedeal::daemon
