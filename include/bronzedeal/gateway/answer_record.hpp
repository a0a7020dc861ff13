#pragma once

#include "bronzedeal/types.hpp"

#include <cstdint>
#include <optional>

namespace bronzedeal::gateway {

/// What is known of whether a server answers this instance.
enum class AnswerState : std::uint8_t
{
  /// No request has shown it of late.
  Unknown,
  Answering,
  NotAnswering,
};

/// Tells whether a server answers this instance. A connection that was accepted
/// proves nothing: a dead proxy, a full accept queue or a stuck switch accepts
/// connections as well, and then resets them or stays silent.
///
/// `aEpoch` is `LinkEvidence::Epoch()`: what was observed in a former one is
/// forgotten.
///
/// Performs no I/O and reads no clock. Not thread-safe.
class AnswerRecord
{
public:
  struct Options
  {
    /// So many requests in a row without an answer.
    unsigned maxUnanswered = 3;
    /// The oldest request has had no answer for this long, and no later request
    /// has had one.
    Duration maxSilence = milliseconds(1500);
    /// What requests have shown counts for this long: that the server answers,
    /// and that it does not.
    Duration answerMemory = std::chrono::seconds(2);
    Duration silenceMemory = std::chrono::seconds(10);
  };

  explicit AnswerRecord(const Options& aOptions) noexcept
    : mOptions(aOptions)
  {
  }

  void OnAnswered(TimePoint aNow) noexcept;

  /// Records that a request which was sent at `aSentAt` was broken off, or was
  /// ended without an answer.
  void OnUnanswered(TimePoint aSentAt,
                    std::uint64_t aEpoch,
                    TimePoint aNow) noexcept;

  /// `aOldestSentAt` is when the oldest request in progress was sent.
  [[nodiscard]] AnswerState State(std::optional<TimePoint> aOldestSentAt,
                                  std::uint64_t aEpoch,
                                  TimePoint aNow) const noexcept;

private:
  /// True if a request that was sent at `aSentAt` has had no answer for too
  /// long.
  [[nodiscard]] bool IsSilentSince(TimePoint aSentAt,
                                   TimePoint aNow) const noexcept;

  Options mOptions;
  unsigned mUnansweredCount = 0;
  std::uint64_t mEpoch = 0;
  TimePoint mLastUnansweredAt{};
  TimePoint mLastAnsweredAt{};
};

} // namespace bronzedeal::gateway
