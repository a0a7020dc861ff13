#pragma once

#include "bronzedeal/process/messages.hpp"
#include "bronzedeal/process/roster.hpp"
#include "bronzedeal/types.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace bronzedeal::daemon {

/// State of the fleet that the request path needs, as last published by the
/// control plane. Immutable once published.
struct FleetView
{
  InstanceId self;
  Incarnation incarnation = 0;
  /// A configuration is in force and enough peers have been heard from.
  bool ready = false;
  bool fenced = true;
  bool leaving = false;
  RosterRevision rosterRevision = 0;
  std::map<SliceId, InstanceId> owners;
  std::vector<process::Member> members;
  std::set<ServerId> leavingServers;

  /// `nullptr` when no live member announces the slice.
  [[nodiscard]] const InstanceId* OwnerOf(const SliceId& aSlice) const
  {
    const auto it = owners.find(aSlice);
    return it == owners.end() ? nullptr : &it->second;
  }

  /// False without an owner and for an owner that has missed a probe: its
  /// servers are used only when no other replica is left.
  [[nodiscard]] bool HasResponsiveOwner(const SliceId& aSlice) const
  {
    const auto* owner = OwnerOf(aSlice);
    if (owner == nullptr || *owner == self) {
      return owner != nullptr;
    }
    const auto* member = FindMember(*owner);
    return member != nullptr &&
           member->status != process::MemberStatus::Suspect;
  }

  [[nodiscard]] const process::Member* FindMember(const InstanceId& aId) const
  {
    for (const auto& it : members) {
      if (it.id == aId) {
        return &it;
      }
    }
    return nullptr;
  }
};

/// The latest view (read-copy-update). Thread safe.
class FleetViewHolder
{
public:
  [[nodiscard]] std::shared_ptr<const FleetView> Load() const noexcept
  {
    return mView.load();
  }
  void Store(std::shared_ptr<const FleetView> aView) noexcept
  {
    mView.store(std::move(aView));
  }

private:
  std::atomic<std::shared_ptr<const FleetView>> mView{
    std::make_shared<const FleetView>()
  };
};

} // namespace bronzedeal::daemon
