#pragma once

#include "bronzedeal/gateway/crash_quarantine.hpp"

#include <cstddef>

namespace bronzedeal::gateway {

/// Decides how many shards of a query may be sent while its content may crash
/// the servers that run it.
///
/// A query whose content is suspect, or of which servers broke off two attempts
/// before any shard was answered, goes on with one attempt at a time. If that
/// one is broken off as well, the query ends. The first answer ends the
/// caution. The verdict on the content may change while a query waits, so each
/// further send needs the current one.
///
/// Performs no I/O and reads no clock. Not thread-safe.
class QueryCaution
{
public:
  /// What a query needs before its next send.
  enum class Need
  {
    Nothing,
    /// A permit for its content; without one it ends.
    Permit,
  };

  /// Takes the current verdict on the content into account. `aHasTrial` says
  /// whether the query is the trial of a suspect content, `aIsRunning` whether
  /// a server may be running one of its attempts now.
  [[nodiscard]] Need OnVerdict(ContentVerdict aVerdict,
                               bool aHasTrial,
                               bool aIsRunning) noexcept;

  /// Begins with one attempt at a time, whatever the verdict.
  void BeginOneAtATime() noexcept { mIsOneAtATime = !mIsAnswered; }

  /// True while only one attempt may be in progress.
  [[nodiscard]] bool IsOneAtATime() const noexcept { return mIsOneAtATime; }

  void OnSent(unsigned aAttemptId) noexcept;

  /// Records that servers broke off `aCount` parts of an attempt. Returns false
  /// if the query must end.
  [[nodiscard]] bool OnCut(unsigned aAttemptId, std::size_t aCount) noexcept;

  /// Records that a shard was answered.
  void OnAnswered() noexcept;

  [[nodiscard]] bool IsAnswered() const noexcept { return mIsAnswered; }

  /// True if servers broke off so many attempts and answered none that the next
  /// query with this content should be sent with caution.
  [[nodiscard]] bool IsContentSuspect() const noexcept;

private:
  bool mIsOneAtATime = false;
  bool mIsAnswered = false;
  /// The last attempt that was sent alone; 0 for none.
  unsigned mTrialAttemptId = 0;
  std::size_t mCutCount = 0;
};

} // namespace bronzedeal::gateway
