#pragma once

#include "bronzedeal/types.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bronzedeal::connection {

/// How an attempt on a backend server ended, as `ServerLimiter` counts it.
enum class AttemptOutcome
{
  /// The server's application responded, with or without a result.
  Answered,
  /// The server refused to run it: 503 with `x-outcome: not-run`.
  Refused,
  /// The server confirmed the cancellation. Counts as a slow response when it
  /// took as long as one, because hedging cancels most of the slow attempts;
  /// has no effect otherwise.
  Cancelled,
  /// No byte was written (vetoed or no connection). Only frees the slot.
  NotSent,
  /// The connection broke or was closed without a response. Counts as a slow
  /// response.
  Lost,
};

/// The outcome's name in logs, such as `not_sent`.
[[nodiscard]] std::string_view Name(AttemptOutcome aOutcome) noexcept;

/// Why the allowance was last reset to its cold value.
enum class ResetReason
{
  /// The limiter was created.
  Start,
  /// A connection broke.
  ConnectionLost,
  /// A connection was opened after one had broken.
  Reconnect,
  /// The server refused an attempt.
  Refusals,
  /// Three attempts in a row were slow or lost.
  SlowAnswers,
};

/// The reason's name in logs, such as `connection_lost`.
[[nodiscard]] std::string_view Name(ResetReason aReason) noexcept;

/// Limits of one backend server, from its service's configuration.
struct LimiterOptions
{
  /// Attempts in flight that a warm server takes.
  unsigned slots = 1;
  /// Attempts in flight that a cold server takes; clamped to 1..`slots`.
  unsigned coldAllowance = 1;
  /// Responses of normal latency at one allowance before it doubles.
  unsigned warmCompletions = 8;
  /// False keeps the allowance at `slots` (for comparison runs).
  bool rampEnabled = true;
  /// Attempts that took at most this long never count as slow: scheduling
  /// delays on a busy machine reach a millisecond and say nothing about the
  /// server.
  Duration minSlowLatency = milliseconds(1);
};

/// Concurrency limit of one backend server with slow start. The allowance is
/// the number of attempts that may be in flight at present: it starts at the
/// cold allowance, doubles with responses of normal latency up to `slots`, and
/// is reset when the server seems to have restarted or to be overloaded
/// (docs/design.md, 4.7). Every attempt, a cancelled one included, occupies its
/// slot until `Complete`.
///
/// Reads no clock and does no I/O. Not thread safe.
class ServerLimiter
{
public:
  explicit ServerLimiter(const LimiterOptions& aOptions, TimePoint aNow);

  /// Takes a slot for one attempt. False while draining or when the allowance
  /// is used up.
  [[nodiscard]] bool TryAcquire(TimePoint aNow);
  /// Frees the slot of one attempt. `aNow - aLatency` must be the time at which
  /// the attempt was sent: an attempt sent before the allowance last changed
  /// does not count towards its doubling. `aLatency` is ignored for `NotSent`.
  void Complete(AttemptOutcome aOutcome, Duration aLatency, TimePoint aNow);

  /// Resets the allowance after the loss of a connection, busy or idle, that
  /// had worked before.
  void OnConnectionLost(TimePoint aNow);
  /// Reports an opened connection. The first one after a loss resets the
  /// allowance again, because the server may be a new process.
  void OnConnected(TimePoint aNow);

  /// A draining server takes no new attempts; those in flight go on.
  void SetDraining(bool aDraining) noexcept { mDraining = aDraining; }
  [[nodiscard]] bool IsDraining() const noexcept { return mDraining; }
  /// Applies new limits. A lower `slots` takes effect at once for new attempts;
  /// attempts in flight go on.
  void SetOptions(const LimiterOptions& aOptions, TimePoint aNow);
  /// Sets the median latency of the server's service, measured over more than
  /// this server. Without it, the median of this server's last 64 responses is
  /// used.
  void SetServiceMedian(std::optional<Duration> aMedian) noexcept
  {
    mServiceMedian = aMedian;
  }

  [[nodiscard]] unsigned InFlight() const noexcept { return mInFlight; }
  [[nodiscard]] unsigned Allowance() const noexcept { return mAllowance; }
  [[nodiscard]] unsigned Slots() const noexcept { return mOptions.slots; }
  /// True while the allowance is below `slots`.
  [[nodiscard]] bool IsCold() const noexcept
  {
    return mAllowance < mOptions.slots;
  }
  [[nodiscard]] ResetReason LastResetReason() const noexcept
  {
    return mResetReason;
  }
  [[nodiscard]] std::uint64_t ResetCount() const noexcept
  {
    return mResetCount;
  }
  /// Median latency that responses are compared with: the service's when it was
  /// set, else this server's own, which needs 8 responses.
  [[nodiscard]] std::optional<Duration> MedianLatency() const;

private:
  static constexpr std::size_t kLatencyWindow = 64;

  /// Sets the allowance to its cold value and drops the evidence so far.
  void ResetAllowance(ResetReason aReason, TimePoint aNow);
  void RecordLatency(Duration aLatency);
  [[nodiscard]] bool IsSlow(Duration aLatency) const;
  [[nodiscard]] unsigned ClampedColdAllowance() const noexcept;

  LimiterOptions mOptions;
  unsigned mInFlight = 0;
  unsigned mAllowance = 1;
  /// Responses that count towards the next doubling of the allowance.
  unsigned mRampCompletions = 0;
  /// Slow or lost attempts in a row.
  unsigned mConsecutiveSlow = 0;
  bool mDraining = false;
  /// True from the loss of a connection until the next one is opened.
  bool mReconnectPending = false;
  ResetReason mResetReason = ResetReason::Start;
  std::uint64_t mResetCount = 0;
  /// Only attempts sent after the last change of the allowance count towards
  /// its doubling.
  TimePoint mAllowanceChangedAt;
  /// The result of an attempt sent before the last reset only updates the
  /// median.
  TimePoint mResetAt;
  std::optional<Duration> mServiceMedian;
  /// Ring buffer of the last latencies.
  std::array<Duration, kLatencyWindow> mLatencies{};
  /// Latencies recorded since the start.
  std::size_t mLatencyCount = 0;
  std::optional<Duration> mOwnMedian;
};

} // namespace bronzedeal::connection
