#pragma once

#include "bronzedeal/gateway/exchange.hpp"

#include <functional>
#include <memory>
#include <random>
#include <unordered_map>

namespace bronzedeal::gateway {

/// Takes callers' requests to the servers that the version in force names.
class Gateway
{
public:
  Gateway(Process& aProcess, ServerRegistry& aServers);

  /// Puts a version in force; false when it isn't higher than the present one.
  bool ActivateConfig(RouteConfig aConfig);

  /// Called after each version that has been put in force.
  void OnConfigActivated(std::function<void()> aHandler);

  /// The version in force; null before the first.
  [[nodiscard]] const std::shared_ptr<const RouteTable>& Table() const noexcept
  {
    return mTable;
  }

  /// Starts a request. The reply may come before the return; the exchange is
  /// null then or may be ignored.
  std::shared_ptr<Exchange> Handle(CallerRequest aRequest, ReplyHandler aReply);

  /// Starts a part of another instance's query.
  std::shared_ptr<Exchange> HandlePartialQuery(CallerRequest aRequest,
                                               ReplyHandler aReply);

  /// Shares of limits follow the number of instances.
  void ApplyLimitShares();

  [[nodiscard]] PeerPool& Peers() noexcept { return mPeers; }

private:
  /// A version's table, for as long as requests use it.
  struct VersionUse;

  /// The last request of a version that is no longer in force has ended.
  void OnVersionRetired(ConfigVersion aVersion, TimePoint aReplacedAt);
  [[nodiscard]] const std::string& PickGroup(const Route& aRoute);

  Process& mProcess;
  ServerRegistry& mServers;
  RouteLatency mLatency;
  PeerPool mPeers;
  std::shared_ptr<VersionUse> mUse;
  std::shared_ptr<const RouteTable> mTable;
  unsigned mFormerVersions = 0;
  /// Expires with the gateway, which requests of a stopping process outlive.
  std::shared_ptr<bool> mRunning = std::make_shared<bool>(true);
  std::function<void()> mOnAccept;
  /// What each target of a weighted route is owed (smooth round robin).
  std::unordered_map<std::string, std::unordered_map<std::string, double>>
    mCredits;
};

} // namespace bronzedeal::gateway
