#pragma once

#include "bronzedeal/gateway/exchange.hpp"
#include "bronzedeal/gateway/reach_view.hpp"

#include <functional>
#include <memory>
#include <random>
#include <unordered_map>

namespace bronzedeal::gateway {

/// Routes callers' requests to backend servers by the active configuration
/// version.
class Gateway
{
public:
  Gateway(Process& aProcess, ServerRegistry& aServers);

  /// Activates a configuration version; returns false when it isn't higher than
  /// the active one.
  bool ActivateConfig(RouteConfig aConfig);

  /// Sets the handler that is called after each activation; there is one at
  /// most.
  void OnConfigActivated(std::function<void()> aHandler);

  /// The routes of the active version; null before the first activation.
  [[nodiscard]] const std::shared_ptr<const RouteTable>& Table() const noexcept
  {
    return mActiveTable;
  }

  /// Starts a request. `aReply` may be called before the return; the returned
  /// exchange is then null or may be ignored. When this instance lacks servers
  /// that others reach, one of these serves the request, unless it was handed
  /// over to this one.
  std::shared_ptr<Exchange> Handle(CallerRequest aRequest,
                                   ReplyHandler aReply,
                                   bool aWasHandedOver = false,
                                   UsedServers aUsedServers = {});

  /// Starts the part of another instance's query that this instance was asked
  /// for.
  std::shared_ptr<Exchange> HandlePartialQuery(CallerRequest aRequest,
                                               ReplyHandler aReply);

  /// Divides the limits of the active version by the present number of serving
  /// instances. To be called when that number changes.
  void ApplyLimitShares();

  [[nodiscard]] PeerPool& Peers() noexcept { return mPeers; }

  /// Requests end before this time, at which the process stops. What can't be
  /// done until then is refused.
  void SetStopTime(TimePoint aWhen) noexcept { mStopTime = aWhen; }

  /// Compares this instance with the others; to be called regularly.
  void UpdateReach(const std::vector<PeerState>& aAlive, TimePoint aNow);

private:
  /// The route table of one version, kept alive by the requests that use it.
  struct TableHolder;

  /// Called when the last request of a replaced version has ended.
  void OnVersionRetired(ConfigVersion aVersion, TimePoint aReplacedAt);
  /// Sends the request to servers.
  std::shared_ptr<Exchange> Serve(RoutedRequest aRequest, ReplyHandler aReply);
  /// True if this request should show whether servers answer again.
  [[nodiscard]] bool IsTrialDue(const Route& aRoute, TimePoint aNow);
  /// True if servers of enough of the route's groups are usable.
  [[nodiscard]] bool CanServe(const Route& aRoute, TimePoint aNow);
  /// The group of the next request by the weights of the route's targets;
  /// updates their credits.
  [[nodiscard]] const std::string& PickGroup(const Route& aRoute);
  /// The group to which the request was sent before; picks one if there is
  /// none.
  [[nodiscard]] const std::string& GroupOf(const RoutedRequest& aRequest);

  Process& mProcess;
  ServerRegistry& mServers;
  RouteLatency mLatency;
  PeerPool mPeers;
  TimePoint mStopTime = TimePoint::max();
  ReachView mReach{ ReachView::Options{} };
  TimePoint mNextTrialAt{};
  std::shared_ptr<TableHolder> mActiveHolder;
  std::shared_ptr<const RouteTable> mActiveTable;
  unsigned mReplacedVersionCount = 0;
  /// Expires with the gateway; requests of a stopping process may outlive it.
  std::shared_ptr<bool> mLifetimeToken = std::make_shared<bool>(true);
  std::function<void()> mOnConfigActivated;
  /// Credit of each target of a weighted route, by route and group (smooth
  /// weighted round robin).
  std::unordered_map<std::string, std::unordered_map<std::string, double>>
    mCredits;
};

} // namespace bronzedeal::gateway
