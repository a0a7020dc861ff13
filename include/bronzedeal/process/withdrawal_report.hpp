#pragma once

#include "bronzedeal/process/lease.hpp"
#include "bronzedeal/process/messages.hpp"
#include "bronzedeal/process/roster.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::process {

/// Work of one instance under versions below the one in question.
struct LedgerCounts
{
  std::uint64_t admitted = 0;
  std::uint64_t queued = 0;
  std::uint64_t inFlight = 0;
  std::uint64_t hedged = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t unconfirmed = 0;
};

struct WithdrawalInputs
{
  RosterRevision rosterRevision = 0;
  std::span<const RosterEntry> roster;
  /// `Membership::Records`.
  std::span<const Member> members;
  /// All slices of the configuration in force.
  std::span<const SliceId> slices;
  /// Longest `limits.max_subrequest_ms` of the versions still in use.
  milliseconds maxSubrequest{ 1000 };
};

enum class WaitReason : std::uint8_t
{
  /// Too few witnesses of the slice report the version.
  WitnessQuorum,
  /// Too few members of the roster report the version.
  RosterMajority,
  /// The instance reports a lower version and may hold a lease.
  OlderVersion,
  /// The instance has unfinished work under a lower version.
  UnfinishedWork,
  /// The instance does not report and may act until its lease has expired.
  Silent,
};

[[nodiscard]] std::string_view NameOf(WaitReason aReason) noexcept;

struct WaitItem
{
  WaitReason reason = WaitReason::Silent;
  /// Empty for a reason that concerns no single instance.
  InstanceId instance;
  /// Empty failure domain for a reason that concerns no single slice.
  SliceId slice;
  /// Since when the report has been waiting for it, by the own clock.
  TimePoint since{};
  std::string detail;
};

struct WithdrawalStatus
{
  ConfigVersion version = 0;
  bool complete = false;
  /// Empty when complete.
  std::vector<WaitItem> waiting;
};

/// Evaluates the claim that no work under a version below `v` runs or can
/// start. `Observe` collects evidence over time; the claim is never made early.
class WithdrawalReport
{
public:
  explicit WithdrawalReport(LeaseOptions aOptions = {});
  ~WithdrawalReport();
  WithdrawalReport(WithdrawalReport&&) noexcept;
  WithdrawalReport& operator=(WithdrawalReport&&) noexcept;

  /// Starts to follow a version; a version in force is followed by the caller
  /// as soon as it is accepted. At most 16 are kept, the highest ones.
  void Follow(ConfigVersion aVersion, TimePoint aNow);

  /// To be called with each tick or change of a record.
  void Observe(const WithdrawalInputs& aInputs, TimePoint aNow);

  /// Counts reported by an instance for versions below `aVersion`; they only
  /// add detail to the report and can delay the claim, never hasten it.
  void SetCounts(const InstanceId& aInstance,
                 Incarnation aIncarnation,
                 ConfigVersion aVersion,
                 const LedgerCounts& aCounts);

  /// The state of the claim for a version; follows the version when it was not
  /// followed yet.
  WithdrawalStatus Evaluate(ConfigVersion aVersion, TimePoint aNow);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::process
