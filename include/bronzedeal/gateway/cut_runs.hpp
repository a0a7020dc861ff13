#pragma once

#include "bronzedeal/gateway/content_id.hpp"
#include "bronzedeal/types.hpp"

#include <optional>
#include <vector>

namespace bronzedeal::gateway {

/// Time in which the end of a server is proven: by a connection that it
/// refuses, or by the metadata service, which drops the entry of a silent
/// server after three heartbeat intervals and tells this some seconds later.
inline constexpr Duration kServerEndProofTime = std::chrono::seconds(20);
/// Time after a connection broke off in which another one is opened to learn
/// whether the server has ended.
inline constexpr Duration kServerProbeTime = std::chrono::seconds(5);
/// Connections that are opened for it after each break. A server that ends may
/// still accept the first.
inline constexpr unsigned kMaxServerProbes = 2;

/// Requests that one server left without an answer, until it is known whether
/// the server has ended.
///
/// Performs no I/O and reads no clock. Not thread-safe.
class CutRuns
{
public:
  struct Run
  {
    ContentId content{};
    TimePoint sentAt{};
    TimePoint cutAt{};
    /// True if the connection broke off; false if the server gave no answer in
    /// time, which it may still be working on.
    bool brokeOff = false;
  };

  /// Records a request whose connection broke off, or which the server has not
  /// answered by the deadline or until its caller left.
  void Add(const Run& aRun);

  /// The server has answered a request that was sent at `aSentAt`: it has not
  /// ended before. Returns true if runs waited for the verdict.
  bool OnAnswered(TimePoint aSentAt);

  /// Records that this instance's links to servers work, after the server has
  /// refused a connection.
  void OnLinksWork(TimePoint aNow) noexcept { mLinksWorkedAt = aNow; }

  /// True if the links of this instance worked shortly before it began a
  /// connection at `aBegunAt`, which the server refused.
  [[nodiscard]] bool WorkedLinksBefore(TimePoint aBegunAt) const noexcept
  {
    return mLinksWorkedAt && aBegunAt >= *mLinksWorkedAt;
  }

  /// What was known of the links says nothing about later refusals.
  void ForgetLinks() noexcept { mLinksWorkedAt.reset(); }

  /// The server has ended, as a refused connection or a newer run of it shows.
  /// Removes and returns the runs that ended with it.
  [[nodiscard]] std::vector<Run> TakeEnded(TimePoint aNow);

  /// True while runs wait for the verdict.
  [[nodiscard]] bool IsWaiting(TimePoint aNow) const;

  /// True if a connection should be opened for the verdict. Late answers alone
  /// are a sign of load, to which connections would add.
  [[nodiscard]] bool ShouldProbe(TimePoint aNow) const;

  /// Records that a connection is opened for the verdict.
  void OnProbe() noexcept { ++mProbeCount; }

private:
  std::vector<Run> mRuns;
  /// Since the last connection that broke off.
  unsigned mProbeCount = 0;
  std::optional<TimePoint> mLinksWorkedAt;
};

} // namespace bronzedeal::gateway
