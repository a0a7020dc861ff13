#include "bronzedeal/gateway/gateway.hpp"

#include <algorithm>
#include <boost/beast/http/field.hpp>

namespace bronzedeal::gateway {

namespace {

/// When a caller of an instance without a configuration should come back.
constexpr auto kRetryUnconfigured = milliseconds(200);

} // namespace

struct Gateway::VersionUse
{
  explicit VersionUse(RouteConfig aConfig)
    : table(std::move(aConfig))
  {
  }
  ~VersionUse()
  {
    if (onEnd) {
      onEnd();
    }
  }
  VersionUse(const VersionUse&) = delete;
  VersionUse& operator=(const VersionUse&) = delete;

  RouteTable table;
  /// Set once another version is in force.
  std::function<void()> onEnd;
};

Gateway::Gateway(Process& aProcess, ServerRegistry& aServers)
  : mProcess(aProcess)
  , mServers(aServers)
  , mPeers(aProcess)
{
}

bool Gateway::ActivateConfig(RouteConfig aConfig)
{
  if (mTable && aConfig.version <= mTable->Version()) {
    return false;
  }
  mProcess.log.Write(
    "config_accepted",
    { { "version", static_cast<std::int64_t>(aConfig.version) },
      { "former", static_cast<std::int64_t>(mTable ? mTable->Version() : 0) },
      { "routes", static_cast<std::int64_t>(aConfig.routes.size()) } });
  mProcess.metrics.Add(process::Counter::ConfigAccepted);
  mProcess.metrics.Set(process::Gauge::ConfigVersion,
                       static_cast<double>(aConfig.version));
  auto former =
    std::exchange(mUse, std::make_shared<VersionUse>(std::move(aConfig)));
  mTable = std::shared_ptr<const RouteTable>(mUse, &mUse->table);
  mCredits.clear();
  if (former) {
    mProcess.metrics.Set(process::Gauge::FormerVersions, ++mFormerVersions);
    former->onEnd = [this,
                     running = std::weak_ptr(mRunning),
                     version = former->table.Version(),
                     now = std::chrono::steady_clock::now()] {
      if (!running.expired()) {
        OnVersionRetired(version, now);
      }
    };
    former.reset(); // the end, unless requests use it
  }
  ApplyLimitShares();
  if (mOnAccept) {
    mOnAccept();
  }
  return true;
}

void Gateway::OnVersionRetired(ConfigVersion aVersion, TimePoint aReplacedAt)
{
  mProcess.metrics.Set(process::Gauge::FormerVersions, --mFormerVersions);
  const auto now = std::chrono::steady_clock::now();
  mProcess.log.Write("version_retired",
                     { { "version", static_cast<std::int64_t>(aVersion) },
                       { "after_ms", Milliseconds(now - aReplacedAt) } });
}

void Gateway::OnConfigActivated(std::function<void()> aHandler)
{
  mOnAccept = std::move(aHandler);
}

void Gateway::ApplyLimitShares()
{
  if (mTable) {
    mServers.ApplyConnectionLimits(*mTable, mProcess.fleetShares.Divisor());
  }
}

const std::string& Gateway::PickGroup(const Route& aRoute)
{
  const auto& targets = aRoute.targets;
  if (targets.size() == 1) {
    return targets.front().group;
  }
  auto& credits = mCredits[aRoute.name];
  double total = 0;
  const WeightedGroup* best = &targets.front();
  for (const auto& it : targets) {
    credits[it.group] += it.weight;
    total += it.weight;
    if (credits[it.group] > credits[best->group]) {
      best = &it;
    }
  }
  credits[best->group] -= total;
  return best->group;
}

std::shared_ptr<Exchange> Gateway::Handle(CallerRequest aRequest,
                                          ReplyHandler aReply)
{
  if (!mTable) {
    aReply(RefusedReply("no configuration yet", kRetryUnconfigured));
    return nullptr;
  }
  const auto host = aRequest.message[boost::beast::http::field::host];
  const auto* route = mTable->FindRoute(host, aRequest.message.target());
  if (route == nullptr) {
    mProcess.log.Write(
      "no_route",
      { { "request", aRequest.requestId },
        { "version", static_cast<std::int64_t>(mTable->Version()) } });
    aReply(TextReply(404, "no route"));
    return nullptr;
  }
  RoutedRequest request;
  request.deadline = aRequest.receivedAt + route->timeout;
  if (aRequest.callerDeadline) {
    request.deadline = std::min(request.deadline, *aRequest.callerDeadline);
  }
  request.caller = std::move(aRequest);
  request.route = std::shared_ptr<const Route>(mTable, route);
  request.version = mTable->Version();
  const ExchangeContext context{ mProcess, mServers, mLatency, mPeers };
  if (route->IsFanout()) {
    return StartFanoutExchange(context, std::move(request), std::move(aReply));
  }
  if (route->targets.empty()) {
    aReply(TextReply(404, "the route has no target"));
    return nullptr;
  }
  return StartSingleExchange(
    context, std::move(request), PickGroup(*route), std::move(aReply));
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
  const ExchangeContext context{ mProcess, mServers, mLatency, mPeers };
  return StartPartialExchange(
    context, std::move(aRequest), *query, std::move(aReply));
}

} // namespace bronzedeal::gateway
