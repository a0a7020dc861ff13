#pragma once

#include "bronzedeal/types.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace bronzedeal::daemon {

/// The slices that this instance may send to, each with the expiry of its
/// lease, and the servers held back from new work. The control plane writes the
/// table; it is read right before each send. Thread safe.
class LeaseTable
{
public:
  using ExpiryBySlice = std::map<SliceId, TimePoint>;

  void SetSendableSlices(
    const std::vector<std::pair<SliceId, TimePoint>>& aSlices)
  {
    mExpiryBySlice.store(
      std::make_shared<const ExpiryBySlice>(aSlices.begin(), aSlices.end()));
  }

  [[nodiscard]] bool MaySend(const SliceId& aSlice,
                             TimePoint aNow) const noexcept
  {
    const auto expiryBySlice = mExpiryBySlice.load();
    const auto it = expiryBySlice->find(aSlice);
    return it != expiryBySlice->end() && aNow < it->second;
  }

  /// Sets the servers that get no work until no instance can still act under
  /// the configuration version that assigned them to another slice.
  void SetHeldServers(std::set<ServerId> aServers)
  {
    mHeldServers.store(
      std::make_shared<const std::set<ServerId>>(std::move(aServers)));
  }

  [[nodiscard]] bool IsHeld(const ServerId& aServer) const noexcept
  {
    return mHeldServers.load()->contains(aServer);
  }

private:
  std::atomic<std::shared_ptr<const std::set<ServerId>>> mHeldServers{
    std::make_shared<const std::set<ServerId>>()
  };
  std::atomic<std::shared_ptr<const ExpiryBySlice>> mExpiryBySlice{
    std::make_shared<const ExpiryBySlice>()
  };
};

} // namespace bronzedeal::daemon
