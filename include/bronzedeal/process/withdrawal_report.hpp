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
struct UnfinishedWorkCounts
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
  /// `Membership::Records` and its epoch.
  std::span<const Member> members;
  std::uint64_t epoch = 0;
  /// All slices of the configuration in force. Slices of former versions are
  /// kept, since a holder with an old version may still act on them.
  std::span<const SliceId> slices;
  /// Longest `limits.max_subrequest_ms` of the versions still in use.
  milliseconds maxSubrequest{ 1000 };
};

enum class WaitReason : std::uint8_t
{
  /// Too few witnesses of the slice report the version.
  WitnessQuorum,
  /// Too few live members of the roster report the version. An instance that
  /// restarts takes the highest version of a majority; fewer than half of the
  /// list may lack it, so that it outlives one restart.
  RosterMajority,
  /// The instance is alive and reports a lower version.
  OlderVersion,
  /// The instance has unfinished work under a lower version.
  UnfinishedWork,
  /// The instance is dead or was never heard of, and may act until leases
  /// granted under lower versions have expired.
  Silent,
  /// Leases granted under lower versions, also those of replaced or unlisted
  /// instances, may not have expired yet.
  LeasesRunning,
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
/// start; docs/notes/withdrawal.md has the proof. `Observe` collects evidence
/// over time; a claim that holds once holds for good.
class WithdrawalReport
{
public:
  explicit WithdrawalReport(LeaseOptions aOptions = {});
  ~WithdrawalReport();
  WithdrawalReport(WithdrawalReport&&) noexcept;
  WithdrawalReport& operator=(WithdrawalReport&&) noexcept;

  /// Starts to follow a version, which the caller does for each accepted one.
  /// The 16 highest are kept.
  void Track(ConfigVersion aVersion, TimePoint aNow);

  /// To be called with each tick. A gap of more than 1 s between two calls
  /// discards the evidence of continuous conditions.
  void Observe(const WithdrawalInputs& aInputs, TimePoint aNow);

  /// Counts reported by an instance for versions below `aVersion`; they can
  /// delay the claim, never hasten it.
  void SetUnfinishedWork(const InstanceId& aInstance,
                         Incarnation aIncarnation,
                         ConfigVersion aVersion,
                         const UnfinishedWorkCounts& aCounts);

  /// The state of the claim as of the last observation; follows the version
  /// when it was not followed yet.
  WithdrawalStatus Evaluate(ConfigVersion aVersion, TimePoint aNow);

  /// Versions for which the claim has come to hold since the last call.
  [[nodiscard]] std::vector<ConfigVersion> TakeCompleted();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::process
