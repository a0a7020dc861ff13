#pragma once

#include "bronzedeal/types.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bronzedeal::connection {

/// How an attempt on a backend server ended, as far as its limiter cares.
enum class AttemptOutcome
{
  /// Answered by the server's application, with or without a result.
  Answered,
  /// Refused as not run: 503 with `x-outcome: not-run`.
  Refused,
  /// The cancellation was confirmed. Evidence only when it took as long as a
  /// slow answer: hedging cancels most of the slow attempts.
  Cancelled,
  /// No byte was written (veto, no connection); no evidence.
  NotSent,
  /// Ended without an answer: the connection broke or was given up. Counts like
  /// a slow answer.
  Lost,
};

[[nodiscard]] std::string_view Name(AttemptOutcome aOutcome) noexcept;

/// Why the allowance last fell back to its cold value.
enum class ResetReason
{
  Start,
  ConnectionLost,
  Reconnect,
  Refusals,
  SlowAnswers,
};

[[nodiscard]] std::string_view Name(ResetReason aReason) noexcept;

/// Limits of one backend server, from its service's configuration.
struct LimiterOptions
{
  unsigned slots = 1;
  unsigned coldAllowance = 1;
  /// Completions of normal latency at one allowance before it doubles.
  unsigned warmCompletions = 8;
  /// False keeps the allowance at `slots` (for comparison runs).
  bool rampEnabled = true;
  /// Answers faster than this are never slow: delays of the scheduler on a
  /// busy machine reach a millisecond and say nothing about the server.
  Duration minSlowLatency = milliseconds(1);
};

/// Counts the attempts in flight on one backend server against its present
/// allowance and ramps the allowance of a cold server (design, 4.7). Every
/// attempt, a cancelled one included, occupies its slot until `Complete`.
///
/// Pure and not thread safe.
class ServerLimiter
{
public:
  explicit ServerLimiter(const LimiterOptions& aOptions, TimePoint aNow);

  /// Takes a slot. False while draining or when the allowance is used up.
  [[nodiscard]] bool TryAcquire(TimePoint aNow);
  /// Frees the slot of one attempt. `aNow - aLatency` must be the time at which
  /// the attempt was sent: an attempt sent before the allowance last changed
  /// does not count towards the ramp.
  void Complete(AttemptOutcome aOutcome, Duration aLatency, TimePoint aNow);

  /// A connection broke that had worked before, in use or idle.
  void OnConnectionLost(TimePoint aNow);
  /// A connection was opened. After a loss the server may be a new process, so
  /// the allowance falls back once more.
  void OnConnected(TimePoint aNow);

  /// A draining server takes no new work; its attempts in flight go on.
  void SetDraining(bool aDraining) noexcept { mDraining = aDraining; }
  [[nodiscard]] bool IsDraining() const noexcept { return mDraining; }
  /// New limits of the configuration. A lower `slots` takes effect at once for
  /// new attempts; attempts in flight go on.
  void SetOptions(const LimiterOptions& aOptions, TimePoint aNow);
  /// Median latency of the server's service from a wider source. Without it,
  /// the median of this server's last 64 answers is used.
  void SetServiceMedian(std::optional<Duration> aMedian) noexcept
  {
    mServiceMedian = aMedian;
  }

  [[nodiscard]] unsigned InFlight() const noexcept { return mInFlight; }
  [[nodiscard]] unsigned Allowance() const noexcept { return mAllowance; }
  [[nodiscard]] unsigned Slots() const noexcept { return mOptions.slots; }
  /// True below the full number of slots.
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
  /// Median against which answers are judged; none before 8 answers.
  [[nodiscard]] std::optional<Duration> MedianLatency() const;

private:
  static constexpr std::size_t kLatencyWindow = 64;

  void ResetAllowance(ResetReason aReason, TimePoint aNow);
  void RecordLatency(Duration aLatency);
  [[nodiscard]] bool IsSlow(Duration aLatency) const;
  [[nodiscard]] unsigned ClampedColdAllowance() const noexcept;

  LimiterOptions mOptions;
  unsigned mInFlight = 0;
  unsigned mAllowance = 1;
  unsigned mRampCompletions = 0;
  /// Refusals, slow answers and lost ones in a row.
  unsigned mConsecutiveSlow = 0;
  bool mDraining = false;
  bool mReconnectPending = false;
  ResetReason mResetReason = ResetReason::Start;
  std::uint64_t mResetCount = 0;
  /// Only attempts sent after the last change of the allowance count towards
  /// the ramp.
  TimePoint mAllowanceChangedAt;
  /// Attempts sent before the last fall-back are no evidence at all.
  TimePoint mResetAt;
  std::optional<Duration> mServiceMedian;
  std::array<Duration, kLatencyWindow> mLatencies{};
  std::size_t mLatencyCount = 0;
  std::optional<Duration> mOwnMedian;
};

} // namespace bronzedeal::connection
