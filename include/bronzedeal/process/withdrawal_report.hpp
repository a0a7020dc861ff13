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

/// Unfinished work of one instance under versions below a given one, in
/// requests by their state.
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
  /// All slices of the configuration in force. Slices of former versions stay
  /// tracked, since a holder with an old version may still act on them.
  std::span<const SliceId> slices;
  /// `limits.max_subrequest_ms` of the configuration in force; the longest
  /// value observed counts.
  milliseconds maxSubrequest{ 1000 };
};

/// Why a withdrawal is not complete yet.
enum class WaitReason : std::uint8_t
{
  /// Too few witnesses of the slice report the version.
  WitnessQuorum,
  /// Too few live members of the roster report the version. A restarted
  /// instance adopts the highest version of a majority, so fewer than half of
  /// the roster may lack the version for it to survive one restart.
  RosterMajority,
  /// The instance is alive and reports a lower version.
  OlderVersion,
  /// The instance has unfinished work under a lower version.
  UnfinishedWork,
  /// The instance is dead or has never been heard from, and may act until
  /// leases granted under lower versions have expired.
  Silent,
  /// Leases granted under lower versions may not have expired yet, including
  /// those of replaced or unlisted instances.
  LeasesRunning,
};

[[nodiscard]] std::string_view NameOf(WaitReason aReason) noexcept;

/// One condition that a withdrawal waits for.
struct WaitItem
{
  WaitReason reason = WaitReason::Silent;
  /// Empty when the condition concerns no single instance.
  InstanceId instance;
  /// With an empty failure domain when the condition concerns no single slice.
  SliceId slice;
  /// Time on the own clock since when the report has waited for the condition.
  TimePoint since{};
  std::string detail;
};

struct WithdrawalStatus
{
  /// The version below which versions are withdrawn.
  ConfigVersion version = 0;
  bool complete = false;
  /// The conditions that do not hold yet; empty when complete.
  std::vector<WaitItem> waiting;
};

/// Decides when the withdrawal of all versions below a given one is complete,
/// that is, when no work under such a version is running or can start.
/// docs/notes/withdrawal.md has the proof. `Observe` collects the evidence over
/// time; a withdrawal that is complete stays complete.
class WithdrawalReport
{
public:
  explicit WithdrawalReport(LeaseOptions aOptions = {});
  ~WithdrawalReport();
  WithdrawalReport(WithdrawalReport&&) noexcept;
  WithdrawalReport& operator=(WithdrawalReport&&) noexcept;

  /// Starts to track the withdrawal of the versions below `aVersion`; to be
  /// called for each accepted version. The 16 highest are kept.
  void Track(ConfigVersion aVersion, TimePoint aNow);

  /// To be called on each tick. A gap of more than 1 s between two calls
  /// discards the evidence for conditions that must hold continuously.
  void Observe(const WithdrawalInputs& aInputs, TimePoint aNow);

  /// Sets the counts that an instance reports for versions below `aVersion`.
  /// They can delay the completion but never bring it forward. Ignored for a
  /// version that is not tracked.
  void SetUnfinishedWork(const InstanceId& aInstance,
                         Incarnation aIncarnation,
                         ConfigVersion aVersion,
                         const UnfinishedWorkCounts& aCounts);

  /// The state of a withdrawal as of the last observation. Starts to track a
  /// version that is not tracked yet.
  WithdrawalStatus Evaluate(ConfigVersion aVersion, TimePoint aNow);

  /// Versions whose withdrawal of lower ones has completed since the last call.
  [[nodiscard]] std::vector<ConfigVersion> TakeCompleted();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::process
