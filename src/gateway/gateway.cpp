#include "bronzedeal/gateway/gateway.hpp"

#include "bronzedeal/gateway/handover.hpp"

#include <algorithm>
#include <boost/beast/http/field.hpp>

namespace bronzedeal::gateway {

namespace {

/// Time after which a caller should retry while the instance has no
/// configuration.
constexpr auto kUnconfiguredRetryDelay = milliseconds(200);
/// The same when the request would not be done before the process stops.
/// Callers find another instance at once.
constexpr auto kStoppingRetryDelay = milliseconds(0);
/// The same while the instance is cut off from servers and no other has room.
constexpr auto kCutOffRetryDelay = milliseconds(100);
/// While the instance is cut off, one request is served here in this interval:
/// its servers may accept connections and not answer.
constexpr auto kTrialInterval = milliseconds(1000);

} // namespace

struct Gateway::TableHolder
{
  explicit TableHolder(RouteConfig aConfig)
    : table(std::move(aConfig))
  {
  }
  ~TableHolder()
  {
    if (onLastUse) {
      onLastUse();
    }
  }
  TableHolder(const TableHolder&) = delete;
  TableHolder& operator=(const TableHolder&) = delete;

  RouteTable table;
  /// Set once another version has been activated.
  std::function<void()> onLastUse;
};

Gateway::Gateway(Process& aProcess, ServerRegistry& aServers)
  : mProcess(aProcess)
  , mServers(aServers)
  , mPeers(aProcess)
{
}

bool Gateway::ActivateConfig(RouteConfig aConfig)
{
  if (mActiveTable && aConfig.version <= mActiveTable->Version()) {
    return false;
  }
  mProcess.log.Write(
    "config_accepted",
    { { "version", static_cast<std::int64_t>(aConfig.version) },
      { "former",
        static_cast<std::int64_t>(mActiveTable ? mActiveTable->Version() : 0) },
      { "routes", static_cast<std::int64_t>(aConfig.routes.size()) } });
  mProcess.metrics.Add(process::Counter::ConfigAccepted);
  mProcess.metrics.Set(process::Gauge::ConfigVersion,
                       static_cast<double>(aConfig.version));
  auto replaced = std::exchange(
    mActiveHolder, std::make_shared<TableHolder>(std::move(aConfig)));
  mActiveTable =
    std::shared_ptr<const RouteTable>(mActiveHolder, &mActiveHolder->table);
  mCredits.clear();
  if (replaced) {
    mProcess.metrics.Set(process::Gauge::FormerVersions,
                         ++mReplacedVersionCount);
    replaced->onLastUse = [this,
                           lifetime = std::weak_ptr(mLifetimeToken),
                           version = replaced->table.Version(),
                           now = std::chrono::steady_clock::now()] {
      if (!lifetime.expired()) {
        OnVersionRetired(version, now);
      }
    };
    replaced.reset(); // runs onLastUse unless requests still use the table
  }
  ApplyLimitShares();
  if (mOnConfigActivated) {
    mOnConfigActivated();
  }
  return true;
}

void Gateway::OnVersionRetired(ConfigVersion aVersion, TimePoint aReplacedAt)
{
  mProcess.metrics.Set(process::Gauge::FormerVersions, --mReplacedVersionCount);
  const auto now = std::chrono::steady_clock::now();
  mProcess.log.Write("version_retired",
                     { { "version", static_cast<std::int64_t>(aVersion) },
                       { "after_ms", Milliseconds(now - aReplacedAt) } });
}

void Gateway::OnConfigActivated(std::function<void()> aHandler)
{
  mOnConfigActivated = std::move(aHandler);
}

void Gateway::ApplyLimitShares()
{
  if (mActiveTable) {
    mServers.ApplyConnectionLimits(*mActiveTable,
                                   mProcess.fleetShares.Divisor());
  }
}

const std::string& Gateway::PickGroup(const Route& aRoute)
{
  const auto& targets = aRoute.targets;
  if (targets.size() == 1) {
    return targets.front().group;
  }
  auto& credits = mCredits[aRoute.name];
  double totalWeight = 0;
  const WeightedGroup* best = &targets.front();
  for (const auto& it : targets) {
    credits[it.group] += it.weight;
    totalWeight += it.weight;
    if (credits[it.group] > credits[best->group]) {
      best = &it;
    }
  }
  credits[best->group] -= totalWeight;
  return best->group;
}

const std::string& Gateway::GroupOf(const RoutedRequest& aRequest)
{
  if (aRequest.usedServers) {
    for (const auto& it : aRequest.route->targets) {
      if (!aRequest.usedServers->Of(it.group).empty()) {
        return it.group;
      }
    }
  }
  return PickGroup(*aRequest.route);
}

void Gateway::UpdateReach(const std::vector<PeerState>& aAlive, TimePoint aNow)
{
  const auto& self = mProcess.peers.Self();
  const bool wasCutOff = mReach.IsCutOff();
  const auto formerCount = mReach.Helpers().size();
  mReach.Update(self, aAlive, aNow);
  mProcess.linkEvidence.SetBehindOthers(mReach.IsCutOff());
  if (mReach.IsCutOff() != wasCutOff ||
      mReach.Helpers().empty() != (formerCount == 0)) {
    mProcess.log.Write(
      "reach_changed",
      { { "percent", static_cast<std::int64_t>(self.reachPercent.value_or(0)) },
        { "cut_off", mReach.IsCutOff() },
        { "helpers", static_cast<std::int64_t>(mReach.Helpers().size()) } });
  }
}

bool Gateway::CanServe(const Route& aRoute, TimePoint aNow)
{
  const auto isUsable = [&](const std::string& aGroup) {
    return mServers.HasUsableServer(mServers.FindOrCreateGroup(aGroup), aNow);
  };
  if (!aRoute.IsFanout()) {
    return std::all_of(aRoute.targets.begin(),
                       aRoute.targets.end(),
                       [&](const auto& aIt) { return isUsable(aIt.group); });
  }
  const auto usableCount =
    std::count_if(aRoute.shards.begin(), aRoute.shards.end(), isUsable);
  return static_cast<std::size_t>(usableCount) >= RequiredShardCount(aRoute);
}

std::shared_ptr<Exchange> Gateway::Handle(CallerRequest aRequest,
                                          ReplyHandler aReply,
                                          bool aWasHandedOver,
                                          UsedServers aUsedServers)
{
  if (!mActiveTable) {
    aReply(RefusedReply("no configuration yet", kUnconfiguredRetryDelay));
    return nullptr;
  }
  const auto host = aRequest.message[boost::beast::http::field::host];
  const auto* route = mActiveTable->FindRoute(host, aRequest.message.target());
  if (route == nullptr) {
    mProcess.log.Write(
      "no_route",
      { { "request", aRequest.requestId },
        { "version", static_cast<std::int64_t>(mActiveTable->Version()) } });
    aReply(TextReply(404, "no route"));
    return nullptr;
  }
  RoutedRequest request;
  request.deadline = aRequest.receivedAt + route->timeout;
  if (aRequest.callerDeadline) {
    request.deadline = std::min(request.deadline, *aRequest.callerDeadline);
  }
  if (mStopTime < request.deadline) {
    if (std::chrono::steady_clock::now() + route->objective > mStopTime) {
      aReply(RefusedReply("the instance stops", kStoppingRetryDelay));
      return nullptr;
    }
    request.deadline = mStopTime;
  }
  request.caller = std::move(aRequest);
  request.route = std::shared_ptr<const Route>(mActiveTable, route);
  request.version = mActiveTable->Version();
  if (!aUsedServers.IsEmpty()) {
    request.usedServers =
      std::make_shared<UsedServers>(std::move(aUsedServers));
  }
  const ExchangeContext context{ mProcess, mServers, mLatency, mPeers };
  const auto now = std::chrono::steady_clock::now();
  const bool canServe = CanServe(*route, now);
  if (!aWasHandedOver && !mReach.Helpers().empty() &&
      (mReach.IsCutOff() || !canServe)) {
    const auto& quarantine = mProcess.crashQuarantine;
    const auto content = ContentIdOf(request.caller.message);
    const auto verdict = quarantine.VerdictOf(content, now);
    auto helpers = mReach.PreferredHelpers();
    // Lost links leave runs without an answer, too. The helper decides whether
    // their servers may have ended.
    const bool mayHelperDecide =
      helpers.allTakeState && !quarantine.IsQuarantineProven(content, now);
    if (verdict == ContentVerdict::Quarantined && !mayHelperDecide) {
      return Serve(std::move(request), std::move(aReply)); // It is refused.
    }
    // A helper that doesn't know of the trial's server would use too many.
    if (verdict == ContentVerdict::Free && canServe && helpers.allTakeState &&
        IsTrialDue(*route, now)) {
      return StartTrialExchange(
        context,
        std::move(request),
        std::move(helpers),
        [this](RoutedRequest aTrial, ReplyHandler aTrialReply) {
          return Serve(std::move(aTrial), std::move(aTrialReply));
        },
        std::move(aReply));
    }
    auto exchange = StartHandoverExchange(context, request, helpers, aReply);
    if (exchange) {
      return exchange;
    }
    if (mReach.IsCutOff()) {
      aReply(
        RefusedReply("no instance with servers has room", kCutOffRetryDelay));
      return nullptr;
    }
  }
  return Serve(std::move(request), std::move(aReply));
}

bool Gateway::IsTrialDue(const Route& aRoute, TimePoint aNow)
{
  if (aRoute.repeatability != Repeatability::Idempotent ||
      aNow < mNextTrialAt) {
    return false;
  }
  mNextTrialAt = aNow + kTrialInterval;
  return true;
}

std::shared_ptr<Exchange> Gateway::Serve(RoutedRequest aRequest,
                                         ReplyHandler aReply)
{
  const ExchangeContext context{ mProcess, mServers, mLatency, mPeers };
  const auto& route = *aRequest.route;
  if (route.IsFanout()) {
    return StartFanoutExchange(context, std::move(aRequest), std::move(aReply));
  }
  if (route.targets.empty()) {
    aReply(TextReply(404, "the route has no target"));
    return nullptr;
  }
  const auto& group = GroupOf(aRequest);
  return StartSingleExchange(
    context, std::move(aRequest), group, std::move(aReply));
}

std::shared_ptr<Exchange> Gateway::HandlePartialQuery(CallerRequest aRequest,
                                                      ReplyHandler aReply)
{
  const auto query = DecodePartialQuery(aRequest.message);
  if (!query) {
    mProcess.log.Write("partial_query_invalid",
                       { { "request", aRequest.requestId } });
    aReply(TextReply(400, "no partial query"));
    return nullptr;
  }
  RemovePartialQueryHeaders(aRequest.message);
  aRequest.callerDeadline =
    std::min(aRequest.callerDeadline.value_or(TimePoint::max()), mStopTime);
  if (*aRequest.callerDeadline == TimePoint::max()) {
    aRequest.callerDeadline.reset();
  }
  const ExchangeContext context{ mProcess, mServers, mLatency, mPeers };
  return StartPartialExchange(
    context, std::move(aRequest), *query, std::move(aReply));
}

} // namespace bronzedeal::gateway
