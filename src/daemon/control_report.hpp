#pragma once

#include "bronzedeal/daemon/fleet_view.hpp"
#include "bronzedeal/process/audit_trail.hpp"
#include "bronzedeal/process/withdrawal_report.hpp"
#include "bronzedeal/version/work_ledger.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::daemon {

/// The name of a status in reports, such as `alive`.
[[nodiscard]] std::string_view NameOf(process::MemberStatus aStatus) noexcept;

/// Body of `GET /v1/state`.
[[nodiscard]] std::string WriteState(
  const FleetView& aFleet,
  const process::Member& aSelf,
  const std::vector<SliceId>& aOwned,
  const std::vector<process::Member>& aMembers,
  const std::map<InstanceId, std::string>& aAdminAddresses,
  std::uint64_t aInFlight);

/// Body of `GET /v1/withdrawal`; the counts are those of this instance.
[[nodiscard]] std::string WriteWithdrawal(
  const process::WithdrawalStatus& aStatus,
  const InstanceId& aSelf,
  const std::vector<version::WorkCount>& aCounts,
  TimePoint aNow,
  std::uint64_t aUnixMs);

/// Body of `GET /v1/audit`.
[[nodiscard]] std::string WriteAudit(
  const std::vector<process::AuditEvent>& aEvents);

} // namespace bronzedeal::daemon
