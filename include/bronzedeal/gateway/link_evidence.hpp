#pragma once

#include "bronzedeal/types.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace bronzedeal::gateway {

/// Collects evidence that this instance's links to servers work.
///
/// A server that refuses connections has ended, or this instance is cut off
/// from it and from others. Only the answer of some server to a later request
/// tells the two apart.
///
/// Performs no I/O and reads no clock. Not thread-safe.
class LinkEvidence
{
public:
  using Handler = std::function<void()>;

  /// Calls `aHandler` once when a request that was sent after `aSince` is
  /// answered, unless this takes longer than `aMaxWait`. Replaces the former
  /// request with the same key.
  void Await(const void* aKey,
             TimePoint aSince,
             Duration aMaxWait,
             Handler aHandler);

  /// Records that a server has answered a request that was sent at `aSentAt`.
  void OnWorked(TimePoint aSentAt, TimePoint aNow);

  /// A server answers that hadn't for a while: the links of this instance may
  /// work again, so what was observed of other servers is outdated.
  void OnAnsweringAgain() noexcept { ++mEpoch; }

  /// Number of the present epoch; a new one begins when links may work again.
  [[nodiscard]] std::uint64_t Epoch() const noexcept { return mEpoch; }

  /// Others reach far more servers than this instance.
  void SetBehindOthers(bool aIsBehind) noexcept { mIsBehindOthers = aIsBehind; }
  [[nodiscard]] bool IsBehindOthers() const noexcept { return mIsBehindOthers; }

  /// Keep the numbers of known servers and of those that can't be reached.
  void OnServerAdded() noexcept { ++mServerCount; }
  void OnServerRemoved() noexcept { --mServerCount; }
  void OnServerUnreachable() noexcept { ++mUnreachableCount; }
  void OnServerReachable() noexcept { --mUnreachableCount; }

  /// True if most servers can't be reached, which is rather the fault of this
  /// instance's links.
  [[nodiscard]] bool IsCutOff() const noexcept
  {
    return 2 * mUnreachableCount > mServerCount;
  }

  /// Number of requests that wait for evidence.
  [[nodiscard]] std::size_t size() const noexcept { return mRequests.size(); }

private:
  struct Request
  {
    const void* key;
    TimePoint since;
    TimePoint expiresAt;
    Handler handler;
  };

  std::vector<Request> mRequests;
  std::uint64_t mEpoch = 0;
  bool mIsBehindOthers = false;
  std::size_t mServerCount = 0;
  std::size_t mUnreachableCount = 0;
};

} // namespace bronzedeal::gateway
