#include "bronzedeal/gateway/gateway_instance.hpp"

#include "bronzedeal/gateway/address_picker.hpp"
#include "bronzedeal/gateway/gateway.hpp"
#include "bronzedeal/gateway/http_listener.hpp"
#include "bronzedeal/gateway/metadata_follower.hpp"
#include "bronzedeal/gateway/metadata_relay.hpp"
#include "bronzedeal/gateway/peer_gossip.hpp"
#include "bronzedeal/gateway/relayed_source.hpp"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <cmath>
#include <csignal>
#include <fmt/format.h>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// Callers keep an address answer for its lifetime, some for three times that;
/// new connections are accepted this long after SIGTERM.
constexpr auto kAcceptDuringDrain = milliseconds(3000);
/// The process ends this part of the grace time before it would be killed.
constexpr int kExitMarginDivisor = 6;
constexpr auto kDrainPollInterval = milliseconds(50);
/// A changed settings file is noticed without a signal, too.
constexpr auto kReloadPollInterval = std::chrono::seconds(1);
constexpr auto kSummaryInterval = std::chrono::seconds(10);
/// A process that has just started takes its view of the fleet for complete
/// this long after it has heard of the first other instance: a round of gossip.
constexpr auto kFleetViewDelay = milliseconds(300);
/// The service is read only after this, by when running instances have answered
/// the first datagram and told who reads it.
constexpr auto kMetadataStartDelay = milliseconds(40);
/// Without any other instance heard of, it is alone.
constexpr auto kNoPeersTimeout = milliseconds(1000);
/// An instance with less than this part of the coverage that routes need is
/// likely behind a partition; a little less is usual while servers fail.
constexpr double kMinCoverageRatio = 0.85;
/// Whether this instance is ready is told to the others this often.
constexpr auto kReadyPollInterval = milliseconds(200);

} // namespace

struct GatewayInstance::Impl
{
  Impl(Settings aSettings, Platform& aPlatform, DecisionLog::Sink aSink)
    : platform(aPlatform)
    , process(std::move(aSettings), std::move(aSink))
    , servers(process)
    , gateway(process, servers)
    , metadata(platform.OpenMetadata(process.context, process.settings))
    , serverSource(process, *metadata, MetadataTopic::Servers)
    , operatorSource(process, *metadata, MetadataTopic::Operators)
    , serverFollower(process,
                     gateway,
                     servers,
                     serverSource,
                     MetadataTopic::Servers)
    , operatorFollower(process,
                       gateway,
                       servers,
                       operatorSource,
                       MetadataTopic::Operators)
    , relay(process, servers, gateway, [this] { return LastContact(); })
    , gossip(process, [this] { UpdateShares(); })
    , callers(process,
              process.settings.callerEndpoint,
              [this](CallerRequest aRequest, ReplyHandler aReply) {
                return OnRequest(std::move(aRequest), std::move(aReply));
              })
    , readiness(
        process,
        process.settings.readinessEndpoint,
        [this](const CallerRequest& aRequest, const ReplyHandler& aReply) {
          aReply(AnswerReadiness(aRequest));
          return nullptr;
        })
    , addresses(
        process,
        process.settings.addressEndpoint,
        [this](const CallerRequest& aRequest, const ReplyHandler& aReply) {
          aReply(AnswerAddresses(aRequest));
          return nullptr;
        })
    , instances(process,
                { process.settings.gossipEndpoint.address(),
                  process.settings.gossipEndpoint.port() },
                [this](CallerRequest aRequest, ReplyHandler aReply) {
                  return OnInstanceRequest(std::move(aRequest),
                                           std::move(aReply));
                })
    , signals(process.context, SIGTERM, SIGINT, SIGHUP)
  {
    servers.SetChangeHandler([this] { relay.OnChange(); });
    gateway.OnConfigActivated([this] { relay.OnChange(); });
    if (process.settings.metricsEndpoint) {
      metrics = std::make_unique<HttpListener>(
        process,
        *process.settings.metricsEndpoint,
        [this](const CallerRequest&, const ReplyHandler& aReply) {
          CallerReply reply;
          reply.headers = "Content-Type: text/plain; version=0.0.4\r\n";
          reply.body = process.metrics.Expose();
          aReply(std::move(reply));
          return nullptr;
        });
    }
  }

  std::shared_ptr<Exchange> OnRequest(CallerRequest aRequest,
                                      ReplyHandler aReply)
  {
    const auto& table = gateway.Table();
    if (table && table->Version() != appliedLimitsVersion) {
      appliedLimitsVersion = table->Version();
      callers.SetLimits(table->Config().limits);
    }
    if (!serverFollower.IsSynchronized()) {
      aReply(RefusedReply("no servers known yet", milliseconds(200)));
      return nullptr;
    }
    return gateway.Handle(std::move(aRequest), std::move(aReply));
  }

  std::shared_ptr<Exchange> OnInstanceRequest(CallerRequest aRequest,
                                              ReplyHandler aReply)
  {
    if (const auto query = DecodeRelayQuery(aRequest.message)) {
      return relay.Handle(*query, std::move(aReply));
    }
    if (!serverFollower.IsSynchronized()) {
      aReply(RefusedReply("no servers known yet", milliseconds(200)));
      return nullptr;
    }
    return gateway.HandlePartialQuery(std::move(aRequest), std::move(aReply));
  }

  [[nodiscard]] bool IsReady() const
  {
    return !draining && gateway.Table() && serverFollower.IsSynchronized();
  }

  CallerReply AnswerReadiness(const CallerRequest& aRequest)
  {
    if (!platform.IsReadinessTarget(aRequest.message.target())) {
      return TextReply(404, "unknown path");
    }
    return IsReady() ? TextReply(200, "ready") : TextReply(503, "not ready");
  }

  CallerReply AnswerAddresses(const CallerRequest& aRequest)
  {
    if (!platform.IsAddressTarget(aRequest.message.target())) {
      return TextReply(404, "unknown path");
    }
    if (!fleetViewComplete) {
      // It would name itself alone; the caller asks another instance.
      return TextReply(503, "the other instances aren't known yet");
    }
    std::vector<std::string> picked;
    for (const auto& it : ServingAddresses()) {
      picked.push_back(fmt::format(
        "{}:{}", it.to_string(), process.settings.callerEndpoint.port()));
    }
    if (picked.empty()) {
      return TextReply(503, "no instance serves callers");
    }
    return platform.EncodeAddresses(picked, process.settings.addressTtl);
  }

  /// When the service last answered, if this instance reads it itself. The
  /// servers' topic tells, since it is never quiet for long.
  [[nodiscard]] std::optional<TimePoint> LastContact() const
  {
    const bool readsDirectly =
      serverSource.IsDirect() && operatorSource.IsDirect() &&
      !serverFollower.IsDisconnected() && !operatorFollower.IsDisconnected();
    return readsDirectly && IsReady()
             ? std::optional(serverFollower.LastContactTime())
             : std::nullopt;
  }

  void UpdateSelf()
  {
    auto& self = process.peers.Self();
    self.ready = IsReady();
    self.coveragePercent = CoveragePercent();
    const bool informed =
      !serverFollower.IsDisconnected() && !operatorFollower.IsDisconnected();
    if (self.metadataReachable != informed) {
      process.log.Write("informed_changed", { { "informed", informed } });
      self.metadataReachable = informed;
      gossip.SendNow();
    }
  }

  [[nodiscard]] bool HasEnoughCoverage(const PeerState& aState) const
  {
    const auto& table = gateway.Table();
    return !table || aState.coveragePercent >=
                       kMinCoverageRatio * 100 * table->HighestMinCoverage();
  }

  std::vector<boost::asio::ip::address> ServingAddresses()
  {
    const auto now = steady_clock::now();
    UpdateSelf();
    auto states = process.peers.InstancesWithMetadata(now);
    // Among living instances the coverage decides nothing: one's own is newer
    // than what gossip has brought of the others.
    const bool anyHasEnoughCoverage =
      std::any_of(states.begin(), states.end(), [this](const auto& aIt) {
        return HasEnoughCoverage(aIt);
      });
    if (!anyHasEnoughCoverage) {
      // This side of a partition can't serve; callers may reach the other one.
      const auto lost = process.peers.RecentlyLost(now);
      states.insert(states.end(), lost.begin(), lost.end());
    }
    std::vector<AddressCandidate> candidates;
    // Worked out once for each domain: it looks at all servers.
    std::map<FailureDomain, double> localities;
    for (const auto& it : states) {
      if (it.leaving) {
        continue;
      }
      const auto [locality, isNew] =
        localities.try_emplace(it.failureDomain, 0);
      if (isNew) {
        locality->second = LocalCoverage(it.failureDomain, now);
      }
      candidates.push_back(
        AddressCandidate{ it.address,
                          locality->second,
                          it.cores,
                          it.ready,
                          anyHasEnoughCoverage || HasEnoughCoverage(it) });
    }
    return PickAddresses(std::move(candidates));
  }

  std::vector<InstanceId> ServingInstances(TimePoint aNow)
  {
    const auto addressesToServe = ServingAddresses();
    std::vector<InstanceId> serving;
    for (const auto& it : process.peers.AliveInstances(aNow)) {
      if (std::find(addressesToServe.begin(),
                    addressesToServe.end(),
                    it.address) != addressesToServe.end()) {
        serving.push_back(it.instance);
      }
    }
    return serving;
  }

  bool UpdateFleetViewComplete(TimePoint aNow)
  {
    if (fleetViewComplete) {
      return true;
    }
    const bool alone = process.peers.AliveInstances(aNow).size() == 1;
    if (!alone && firstPeerSeenAt == TimePoint{}) {
      firstPeerSeenAt = aNow;
    }
    fleetViewComplete = alone ? aNow - startedAt >= kNoPeersTimeout
                              : aNow - firstPeerSeenAt >= kFleetViewDelay;
    return fleetViewComplete;
  }

  /// Works out which instances callers are sent to, and so this one's shares.
  void UpdateShares()
  {
    const auto now = steady_clock::now();
    const auto serving = ServingInstances(now);
    UpdateRelays(serving, now);
    if (!UpdateFleetViewComplete(now)) {
      return;
    }
    const auto previousDivisor = process.fleetShares.Divisor();
    const bool wasServing = process.fleetShares.IsServing();
    process.fleetShares.Update(serving, now);
    if (process.fleetShares.IsServing() && !wasServing) {
      servers.PreconnectAll();
    }
    process.peers.Self().serving = process.fleetShares.IsServing();
    gateway.Peers().Update(process.peers.InstancesWithMetadata(now));
    if (process.fleetShares.Divisor() != previousDivisor) {
      process.log.Write(
        "shares_changed",
        { { "serving", process.fleetShares.IsServing() },
          { "divisor",
            static_cast<std::int64_t>(process.fleetShares.Divisor()) } });
      gateway.ApplyLimitShares();
    }
  }

  /// The instances that callers are sent to read the service; the others ask
  /// one of those in their failure domain.
  void UpdateRelays(const std::vector<InstanceId>& aServing, TimePoint aNow)
  {
    const auto isServing = [&](const InstanceId& aInstance) {
      return std::find(aServing.begin(), aServing.end(), aInstance) !=
             aServing.end();
    };
    std::vector<PeerState> relays;
    const bool readsDirectly = isServing(process.settings.instance);
    if (!readsDirectly) {
      for (auto& it : process.peers.AliveInstances(aNow)) {
        if (isServing(it.instance) && it.metadataReachable && it.ready &&
            !it.leaving && it.failureDomain == process.settings.failureDomain) {
          relays.push_back(std::move(it));
        }
      }
    }
    serverSource.SetRelays(relays, readsDirectly);
    operatorSource.SetRelays(relays, readsDirectly);
  }

  /// In percent.
  [[nodiscard]] unsigned CoveragePercent()
  {
    if (!gateway.Table()) {
      return 0;
    }
    const auto share = servers.Coverage(*gateway.Table(), steady_clock::now());
    return static_cast<unsigned>(std::ceil(100 * share));
  }

  double LocalCoverage(const FailureDomain& aDomain, TimePoint aNow)
  {
    return gateway.Table()
             ? servers.LocalCoverage(*gateway.Table(), aDomain, aNow)
             : 1;
  }

  void WaitForSignal()
  {
    signals.async_wait(
      [this](const boost::system::error_code& aError, int aSignal) {
        if (aError) {
          return;
        }
        if (aSignal == SIGHUP) {
          Reload();
        } else if (!draining) {
          BeginDrain();
        }
        WaitForSignal();
      });
  }

  void PollReload()
  {
    Reload();
    process.timers.Schedule(steady_clock::now() + kReloadPollInterval,
                            [this] { PollReload(); });
  }

  void Reload()
  {
    auto reload = platform.ReloadSettings();
    if (!reload.error.empty()) {
      process.log.Write("settings_refused", { { "reason", reload.error } });
    }
    if (!reload.settings) {
      return;
    }
    // Addresses stay as they are until the next start.
    auto& settings = process.settings;
    settings.seeds = reload.settings->seeds;
    settings.retryLimits = reload.settings->retryLimits;
    settings.coldServerLimits = reload.settings->coldServerLimits;
    settings.shutdownGrace = reload.settings->shutdownGrace;
    settings.addressTtl = reload.settings->addressTtl;
    process.log.Write(
      "settings_reloaded",
      { { "seeds", static_cast<std::int64_t>(settings.seeds.size()) } });
  }

  void PollReady()
  {
    auto& self = process.peers.Self();
    if (self.ready != IsReady()) {
      self.ready = IsReady();
      process.log.Write("ready_changed", { { "ready", self.ready } });
      gossip.SendNow();
    }
    process.timers.Schedule(steady_clock::now() + kReadyPollInterval,
                            [this] { PollReady(); });
  }

  /// One line with the counters, so that the log alone shows the load around
  /// a failure.
  void PollSummary()
  {
    const auto count = [this](bronzedeal::process::Counter aCounter) {
      return static_cast<std::int64_t>(process.metrics.Value(aCounter));
    };
    using bronzedeal::process::Counter;
    process.log.Write("summary",
                      { { "whole", count(Counter::QueriesWhole) },
                        { "partial", count(Counter::QueriesPartial) },
                        { "failed", count(Counter::QueriesFailed) },
                        { "refused", count(Counter::QueriesRefused) },
                        { "sub_requests", count(Counter::SubRequestsServed) },
                        { "crossing", count(Counter::SubRequestsCrossing) },
                        { "partial_queries", count(Counter::PartialQueries) },
                        { "hedges", count(Counter::Hedges) },
                        { "repeats_denied", count(Counter::RepeatsDenied) },
                        { "connections", count(Counter::ServerConnections) },
                        { "store_reads", count(Counter::PlatformReads) } });
    process.timers.Schedule(steady_clock::now() + kSummaryInterval,
                            [this] { PollSummary(); });
  }

  void BeginDrain()
  {
    draining = true;
    drainStartedAt = steady_clock::now();
    process.log.Write(
      "stop_begins",
      { { "connections", static_cast<std::int64_t>(callers.ConnectionCount()) },
        { "requests",
          static_cast<std::int64_t>(callers.BusyConnectionCount()) } });
    process.peers.Self().leaving = true;
    process.peers.Self().ready = false;
    gossip.SendNow();
    callers.BeginDrain();
    PollDrain();
  }

  void PollDrain()
  {
    const auto elapsed = steady_clock::now() - drainStartedAt;
    const auto acceptDuration = std::min<Duration>(
      kAcceptDuringDrain, process.settings.shutdownGrace / 2);
    if (elapsed >= acceptDuration) {
      callers.StopAccepting();
      callers.CloseIdleConnections();
    }
    const bool finished =
      elapsed >= acceptDuration && callers.BusyConnectionCount() == 0;
    const auto grace = process.settings.shutdownGrace;
    if (finished || elapsed >= grace - grace / kExitMarginDivisor) {
      process.log.Write(
        "stop_ends",
        { { "requests",
            static_cast<std::int64_t>(callers.BusyConnectionCount()) },
          { "took_ms", Milliseconds(elapsed) } });
      process.context.stop();
      return;
    }
    process.timers.Schedule(steady_clock::now() + kDrainPollInterval,
                            [this] { PollDrain(); });
  }

  int Run()
  {
    process.log.Write("start",
                      { { "version", BRONZEDEAL_VERSION },
                        { "domain", process.settings.failureDomain } });
    WaitForSignal();
    gossip.Start();
    process.timers.Schedule(startedAt + kMetadataStartDelay, [this] {
      UpdateShares();
      serverFollower.Start();
      operatorFollower.Start();
    });
    PollReload();
    PollReady();
    PollSummary();
    process.context.run();
    serverFollower.Stop();
    operatorFollower.Stop();
    return 0;
  }

  Platform& platform;
  Process process;
  ServerRegistry servers;
  Gateway gateway;
  std::unique_ptr<MetadataSource> metadata;
  RelayedSource serverSource;
  RelayedSource operatorSource;
  MetadataFollower serverFollower;
  MetadataFollower operatorFollower;
  MetadataRelay relay;
  PeerGossip gossip;
  HttpListener callers;
  HttpListener readiness;
  HttpListener addresses;
  /// Parts of other instances' queries, on the port of the gossip.
  HttpListener instances;
  std::unique_ptr<HttpListener> metrics;
  boost::asio::signal_set signals;
  ConfigVersion appliedLimitsVersion = 0;
  TimePoint startedAt = steady_clock::now();
  TimePoint firstPeerSeenAt{};
  /// Whether the view of the fleet is taken for complete.
  bool fleetViewComplete = false;
  bool draining = false;
  TimePoint drainStartedAt{};
};

GatewayInstance::GatewayInstance(Settings aSettings,
                                 Platform& aPlatform,
                                 DecisionLog::Sink aSink)
  : mImpl(
      std::make_unique<Impl>(std::move(aSettings), aPlatform, std::move(aSink)))
{
}

GatewayInstance::~GatewayInstance() = default;

int GatewayInstance::Run()
{
  return mImpl->Run();
}

} // namespace bronzedeal::gateway
