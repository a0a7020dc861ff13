#include "bronzedeal/process/audit_trail.hpp"

#include <algorithm>
#include <utility>

namespace bronzedeal::process {
namespace {

struct KindName
{
  AuditKind kind;
  std::string_view name;
};

constexpr std::array<KindName, kAuditKindCount> kKindNames{ {
  { AuditKind::ProcessStarted, "process_started" },
  { AuditKind::ConfigAccepted, "config_accepted" },
  { AuditKind::ConfigRejected, "config_rejected" },
  { AuditKind::ConfigConflict, "config_conflict" },
  { AuditKind::RosterChanged, "roster_changed" },
  { AuditKind::MemberStatusChanged, "member_status_changed" },
  { AuditKind::MemberReplaced, "member_replaced" },
  { AuditKind::MessageRefused, "message_refused" },
  { AuditKind::LeaseAcquired, "lease_acquired" },
  { AuditKind::LeaseLost, "lease_lost" },
  { AuditKind::LeaseReleased, "lease_released" },
  { AuditKind::Paused, "paused" },
  { AuditKind::Rejoined, "rejoined" },
  { AuditKind::Fenced, "fenced" },
  { AuditKind::Unfenced, "unfenced" },
  { AuditKind::WithdrawalCompleted, "withdrawal_completed" },
  { AuditKind::ServerLeaving, "server_leaving" },
  { AuditKind::ServerCold, "server_cold" },
  { AuditKind::ContentQuarantined, "content_quarantined" },
  { AuditKind::Leaving, "leaving" },
  { AuditKind::FaultInjected, "fault_injected" },
  { AuditKind::Other, "other" },
} };

constexpr bool RowsMatchKinds()
{
  for (std::size_t i = 0; i < kKindNames.size(); ++i) {
    if (static_cast<std::size_t>(kKindNames[i].kind) != i) {
      return false;
    }
  }
  return true;
}
static_assert(RowsMatchKinds(),
              "kKindNames must list the kinds in their order");

} // namespace

std::string_view NameOf(AuditKind aKind) noexcept
{
  const auto n = static_cast<std::size_t>(aKind);
  return n < kKindNames.size() ? kKindNames[n].name : "unknown";
}

AuditTrail::AuditTrail(InstanceId aInstance, std::size_t aCapacity)
  : mInstance(std::move(aInstance))
  , mCapacity(std::max<std::size_t>(aCapacity, 1))
{
}

AuditEvent AuditTrail::Record(const AuditNote& aNote, std::uint64_t aUnixMs)
{
  const std::lock_guard lock(mMutex);
  if (mEvents.size() == mCapacity) {
    mEvents.pop_front();
  }
  mEvents.push_back({ ++mLastSequence,
                      mInstance,
                      aUnixMs,
                      aNote.configVersion,
                      aNote.kind,
                      aNote.detail });
  return mEvents.back();
}

std::vector<AuditEvent> AuditTrail::EventsAfter(std::uint64_t aSequence,
                                                std::size_t aCount) const
{
  const std::lock_guard lock(mMutex);
  const auto lastDropped = mLastSequence - mEvents.size();
  const auto skip = aSequence <= lastDropped
                      ? 0
                      : std::min(aSequence - lastDropped, mEvents.size());
  const auto n = std::min<std::size_t>(aCount, mEvents.size() - skip);
  const auto begin = mEvents.begin() + static_cast<std::ptrdiff_t>(skip);
  return { begin, begin + static_cast<std::ptrdiff_t>(n) };
}

std::uint64_t AuditTrail::LastSequence() const
{
  const std::lock_guard lock(mMutex);
  return mLastSequence;
}

} // namespace bronzedeal::process
