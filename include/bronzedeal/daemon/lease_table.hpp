#pragma once

#include "bronzedeal/types.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace bronzedeal::daemon {

/// The slices that this instance may send to and until when. Written by the
/// control plane, read right before each send. Thread safe.
class LeaseTable
{
public:
  using Limits = std::map<SliceId, TimePoint>;

  void Publish(const std::vector<std::pair<SliceId, TimePoint>>& aSendable)
  {
    mLimits.store(
      std::make_shared<const Limits>(aSendable.begin(), aSendable.end()));
  }

  [[nodiscard]] bool MaySend(const SliceId& aSlice,
                             TimePoint aNow) const noexcept
  {
    const auto limits = mLimits.load();
    const auto it = limits->find(aSlice);
    return it != limits->end() && aNow < it->second;
  }

  /// Servers that get no work until no instance can act under the version that
  /// assigned them to another slice.
  void Hold(std::set<ServerId> aServers)
  {
    mHeld.store(
      std::make_shared<const std::set<ServerId>>(std::move(aServers)));
  }

  [[nodiscard]] bool Held(const ServerId& aServer) const noexcept
  {
    return mHeld.load()->contains(aServer);
  }

private:
  std::atomic<std::shared_ptr<const std::set<ServerId>>> mHeld{
    std::make_shared<const std::set<ServerId>>()
  };
  std::atomic<std::shared_ptr<const Limits>> mLimits{
    std::make_shared<const Limits>()
  };
};

} // namespace bronzedeal::daemon
