#pragma once

#include "bronzedeal/types.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::process {

enum class AuditKind : std::uint8_t
{
  ProcessStarted,
  ConfigAccepted,
  ConfigRejected,
  ConfigConflict,
  RosterChanged,
  MemberStatusChanged,
  MemberReplaced,
  MessageRefused,
  LeaseAcquired,
  LeaseLost,
  LeaseReleased,
  Paused,
  Rejoined,
  Fenced,
  Unfenced,
  WithdrawalCompleted,
  ServerLeaving,
  ServerCold,
  ContentQuarantined,
  Leaving,
  FaultInjected,
  Other,
};

inline constexpr std::size_t kAuditKindCount = 22;

/// The name of a kind in logs and reports, such as `config_accepted`.
[[nodiscard]] std::string_view NameOf(AuditKind aKind) noexcept;

/// An event as the control components report it; `AuditTrail::Record` adds the
/// instance, sequence and time.
struct AuditNote
{
  AuditKind kind = AuditKind::Other;
  ConfigVersion configVersion = 0;
  std::string detail;
};

struct AuditEvent
{
  /// Starts at 1 and increases by one with each event of a process.
  std::uint64_t sequence = 0;
  InstanceId instance;
  /// Unix time in milliseconds.
  std::uint64_t unixMs = 0;
  ConfigVersion configVersion = 0;
  AuditKind kind = AuditKind::Other;
  std::string detail;

  bool operator==(const AuditEvent&) const = default;
};

/// The latest events of a process. Thread-safe.
class AuditTrail
{
public:
  static constexpr std::size_t kDefaultCapacity = 4096;

  explicit AuditTrail(InstanceId aInstance,
                      std::size_t aCapacity = kDefaultCapacity);

  /// Appends an event and returns it. When the trail is full, the oldest event
  /// is dropped.
  AuditEvent Record(const AuditNote& aNote, std::uint64_t aUnixMs);

  /// At most `aCount` events with a sequence above `aSequence`, oldest first.
  /// If the first one's is above `aSequence + 1`, events in between were
  /// dropped.
  [[nodiscard]] std::vector<AuditEvent> EventsAfter(
    std::uint64_t aSequence,
    std::size_t aCount = kDefaultCapacity) const;

  [[nodiscard]] std::uint64_t LastSequence() const;

private:
  const InstanceId mInstance;
  const std::size_t mCapacity;
  mutable std::mutex mMutex;
  std::deque<AuditEvent> mEvents;
  std::uint64_t mLastSequence = 0;
};

} // namespace bronzedeal::process
