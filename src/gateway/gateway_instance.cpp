#include "bronzedeal/gateway/gateway_instance.hpp"

#include "bronzedeal/gateway/address_picker.hpp"
#include "bronzedeal/gateway/event_lag.hpp"
#include "bronzedeal/gateway/gateway.hpp"
#include "bronzedeal/gateway/handover.hpp"
#include "bronzedeal/gateway/http_listener.hpp"
#include "bronzedeal/gateway/metadata_follower.hpp"
#include "bronzedeal/gateway/metadata_relay.hpp"
#include "bronzedeal/gateway/peer_gossip.hpp"
#include "bronzedeal/gateway/planned_stop.hpp"
#include "bronzedeal/gateway/relayed_source.hpp"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <cmath>
#include <csignal>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <tuple>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// A changed settings file is also picked up without SIGHUP, at this interval.
constexpr auto kReloadPollInterval = std::chrono::seconds(1);
constexpr auto kSummaryInterval = std::chrono::seconds(10);
/// After the start, the view of the fleet counts as complete this long after
/// the first other instance was heard from: about one round of gossip.
constexpr auto kFleetViewDelay = milliseconds(300);
/// Delay from the first datagram of another instance to the first read of the
/// metadata service. By then, the instances nearby have told which of them read
/// the service.
constexpr auto kMetadataStartDelay = milliseconds(40);
/// Without another instance, the service is read this long after the start; the
/// seeds may come late.
constexpr auto kMaxMetadataStartDelay = milliseconds(450);
constexpr auto kMetadataStartPollInterval = milliseconds(20);
/// If no other instance was heard from within this time, the view of the fleet
/// counts as complete with this instance alone.
constexpr auto kNoPeersTimeout = milliseconds(1000);
/// An instance whose coverage is below this fraction of what routes need is
/// likely cut off by a network partition. Slightly reduced coverage is normal
/// while servers fail.
constexpr double kMinCoverageRatio = 0.85;
/// Above the list of shards of a partial query.
constexpr std::size_t kMaxInstanceHeaderBytes = 65'536;
/// Interval of the check whether this instance's readiness has changed.
constexpr auto kReadinessPollInterval = milliseconds(200);

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
    , relay(
        process,
        servers,
        gateway,
        [this](MetadataTopic aTopic) { return LastMetadataContact(aTopic); })
    , gossip(process, [this] { UpdateShares(); })
    , callers(process,
              process.settings.callerEndpoint,
              [this](CallerRequest aRequest, ReplyHandler aReply) {
                return HandleCallerRequest(std::move(aRequest),
                                           std::move(aReply));
              })
    , readiness(
        process,
        process.settings.readinessEndpoint,
        [this](const CallerRequest& aRequest, const ReplyHandler& aReply) {
          aReply(AnswerReadiness(aRequest));
          return nullptr;
        },
        ListenerRole::Readiness)
    , addresses(
        process,
        process.settings.addressEndpoint,
        [this](const CallerRequest& aRequest, const ReplyHandler& aReply) {
          aReply(AnswerAddresses(aRequest));
          return nullptr;
        },
        ListenerRole::Addresses)
    , instances(
        process,
        { process.settings.gossipEndpoint.address(),
          process.settings.gossipEndpoint.port() },
        [this](CallerRequest aRequest, ReplyHandler aReply) {
          return HandleInstanceRequest(std::move(aRequest), std::move(aReply));
        },
        ListenerRole::Instances)
    , signals(process.context, SIGTERM, SIGINT, SIGHUP)
  {
    servers.SetChangeHandler([this] { relay.OnChange(); });
    gateway.OnConfigActivated([this] {
      relay.OnChange();
      ApplyLimits();
    });
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
        },
        ListenerRole::Metrics);
    }
  }

  std::shared_ptr<Exchange> HandleCallerRequest(CallerRequest aRequest,
                                                ReplyHandler aReply)
  {
    if (!serverFollower.IsSynchronized()) {
      aReply(RefusedReply("no servers known yet", milliseconds(200)));
      return nullptr;
    }
    // Other instances, to which parts of a query go, would believe it.
    std::ignore = TakeHandover(aRequest.message);
    return gateway.Handle(std::move(aRequest), std::move(aReply));
  }

  /// Requests of other instances have the limits of callers, and room for the
  /// headers between instances.
  void ApplyLimits()
  {
    auto limits = gateway.Table()->Config().limits;
    callers.SetLimits(limits);
    limits.headerBytes += kMaxInstanceHeaderBytes;
    limits.idleTimeout = CallerLimits{}.idleTimeout;
    instances.SetLimits(limits);
  }

  std::shared_ptr<Exchange> HandleInstanceRequest(CallerRequest aRequest,
                                                  ReplyHandler aReply)
  {
    if (const auto query = DecodeRelayQuery(aRequest.message)) {
      return relay.Handle(*query, std::move(aReply));
    }
    auto reply = [reply = std::move(aReply),
                  &name = process.settings.headerNames.requestId,
                  id = aRequest.requestId](CallerReply aAnswer) {
      StateRequestId(aAnswer, name, id);
      reply(std::move(aAnswer));
    };
    if (!serverFollower.IsSynchronized()) {
      reply(RefusedReply("no servers known yet", milliseconds(200)));
      return nullptr;
    }
    if (const auto handover = TakeHandover(aRequest.message)) {
      ApplyHandover(*handover, aRequest);
      const auto now = steady_clock::now();
      if (handover->isSuspect) {
        process.crashQuarantine.OnUnanswered(
          ContentIdOf(aRequest.message), now, now);
      }
      process.crashQuarantine.Merge(handover->notices, now);
      return gateway.Handle(
        std::move(aRequest),
        [reply = std::move(reply)](CallerReply aAnswer) {
          MarkHandoverReply(aAnswer);
          reply(std::move(aAnswer));
        },
        true,
        handover->usedServers);
    }
    return gateway.HandlePartialQuery(std::move(aRequest), std::move(reply));
  }

  [[nodiscard]] bool IsReady() const
  {
    return !stop.HasBegun() && gateway.Table() &&
           serverFollower.IsSynchronized();
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
      // The answer would list this instance only; let the caller ask another.
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

  /// Time when the metadata service last told all changes of the topic, if this
  /// instance is ready and reads it directly.
  [[nodiscard]] std::optional<TimePoint> LastMetadataContact(
    MetadataTopic aTopic) const
  {
    const bool readsDirectly =
      serverSource.IsDirect() && operatorSource.IsDirect() &&
      !serverFollower.IsDisconnected() && !operatorFollower.IsDisconnected();
    if (!readsDirectly || !IsReady()) {
      return std::nullopt;
    }
    const auto& follower =
      aTopic == MetadataTopic::Servers ? serverFollower : operatorFollower;
    return follower.LastContactTime();
  }

  /// Updates the state of this instance that gossip tells to the others.
  void UpdateOwnState()
  {
    auto& self = process.peers.Self();
    self.ready = IsReady();
    self.coveragePercent = CoveragePercent();
    const bool metadataReachable =
      !serverFollower.IsDisconnected() && !operatorFollower.IsDisconnected();
    if (self.metadataReachable != metadataReachable) {
      process.log.Write("informed_changed",
                        { { "informed", metadataReachable } });
      self.metadataReachable = metadataReachable;
      gossip.SendNow();
    }
  }

  /// True if the instance has about the coverage that routes need.
  [[nodiscard]] bool HasEnoughCoverage(const PeerState& aState) const
  {
    const auto& table = gateway.Table();
    return !table || aState.coveragePercent >=
                       kMinCoverageRatio * 100 * table->HighestMinCoverage();
  }

  /// Addresses of the instances that callers should be directed to.
  std::vector<boost::asio::ip::address> ServingAddresses()
  {
    const auto now = steady_clock::now();
    UpdateOwnState();
    auto states = process.peers.InstancesWithMetadata(now);
    RemoveCutOff(states);
    // If any live instance has enough coverage, all of them are candidates: the
    // own value is more recent than those that gossip has delivered.
    const bool anyHasEnoughCoverage =
      std::any_of(states.begin(), states.end(), [this](const auto& aIt) {
        return HasEnoughCoverage(aIt);
      });
    if (!anyHasEnoughCoverage) {
      // No instance on this side of a partition can serve; callers may still
      // reach the lost ones.
      const auto lost = process.peers.RecentlyLost(now);
      states.insert(states.end(), lost.begin(), lost.end());
    }
    std::vector<AddressCandidate> candidates;
    // Computed once per failure domain, since it visits all servers.
    std::map<FailureDomain, double> localCoverages;
    for (const auto& it : states) {
      if (it.leaving) {
        continue;
      }
      const auto [localCoverage, isNew] =
        localCoverages.try_emplace(it.failureDomain, 0);
      if (isNew) {
        localCoverage->second = LocalCoverage(it.failureDomain, now);
      }
      candidates.push_back(
        AddressCandidate{ it.address,
                          localCoverage->second,
                          it.cores,
                          it.ready,
                          anyHasEnoughCoverage || HasEnoughCoverage(it),
                          it.failureDomain });
    }
    return PickAddresses(std::move(candidates));
  }

  std::vector<InstanceId> ServingInstances(TimePoint aNow)
  {
    const auto servingAddresses = ServingAddresses();
    std::vector<InstanceId> serving;
    for (const auto& it : process.peers.AliveInstances(aNow)) {
      if (std::find(servingAddresses.begin(),
                    servingAddresses.end(),
                    it.address) != servingAddresses.end()) {
        serving.push_back(it.instance);
      }
    }
    return serving;
  }

  /// Logs the instances that callers are directed to when they change.
  void LogNamedInstances(const std::vector<InstanceId>& aServing)
  {
    auto names = fmt::format("{}", fmt::join(aServing, " "));
    if (names != namedInstances) {
      process.log.Write("addresses_changed", { { "instances", names } });
      namedInstances = std::move(names);
    }
  }

  /// Updates and returns `fleetViewComplete`.
  bool UpdateFleetViewComplete(TimePoint aNow)
  {
    if (fleetViewComplete) {
      return true;
    }
    const bool hasNoPeers = process.peers.AliveInstances(aNow).size() == 1;
    if (!hasNoPeers && firstPeerSeenAt == TimePoint{}) {
      firstPeerSeenAt = aNow;
    }
    fleetViewComplete = hasNoPeers ? aNow - startedAt >= kNoPeersTimeout
                                   : aNow - firstPeerSeenAt >= kFleetViewDelay;
    return fleetViewComplete;
  }

  /// Computes which instances callers are directed to, and from that this
  /// instance's shares of the limits.
  void UpdateShares()
  {
    const auto now = steady_clock::now();
    process.peers.Self().reachPercent = ReachPercent();
    const auto serving = ServingInstances(now);
    LogNamedInstances(serving);
    const bool isViewComplete = UpdateFleetViewComplete(now);
    UpdateRelays(serving, now);
    if (!isViewComplete) {
      return;
    }
    const auto previousDivisor = process.fleetShares.Divisor();
    const bool wasServing = process.fleetShares.IsServing();
    process.fleetShares.Update(serving, now);
    if (process.fleetShares.IsServing() && !wasServing) {
      servers.PreconnectAll();
    }
    process.rateShares.Update(MakeFleetView(
      process.peers.AliveInstances(now), serving, process.settings.instance));
    process.peers.Self().serving = process.fleetShares.IsServing();
    process.crashQuarantine.SetIsolated(IsIsolated(now));
    gateway.Peers().Update(process.peers.InstancesWithMetadata(now));
    gateway.UpdateReach(process.peers.InstancesWithMetadata(now), now);
    if (process.fleetShares.Divisor() != previousDivisor) {
      process.log.Write(
        "shares_changed",
        { { "serving", process.fleetShares.IsServing() },
          { "divisor",
            static_cast<std::int64_t>(process.fleetShares.Divisor()) } });
      gateway.ApplyLimitShares();
    }
  }

  /// True if there are servers in other failure domains, but no instance that
  /// this one hears of.
  [[nodiscard]] bool IsIsolated(TimePoint aNow) const
  {
    const auto& own = process.settings.failureDomain;
    const auto alive = process.peers.AliveInstances(aNow);
    return servers.HasServerOutside(own) &&
           std::all_of(alive.begin(), alive.end(), [&](const auto& aIt) {
             return aIt.failureDomain == own;
           });
  }

  /// True if no known instance is much stronger than this one.
  [[nodiscard]] bool IsStrongAmongKnown(TimePoint aNow) const
  {
    double mostCores = 0;
    for (const auto& it : process.peers.AliveInstances(aNow)) {
      mostCores = std::max(mostCores, it.cores);
    }
    return IsStrongInstance(process.settings.cores, mostCores);
  }

  /// Instances that callers are directed to read the metadata service directly;
  /// the others read from one of these, in their failure domain if there is
  /// one.
  void UpdateRelays(const std::vector<InstanceId>& aServing, TimePoint aNow)
  {
    const auto isServing = [&](const InstanceId& aInstance) {
      return std::find(aServing.begin(), aServing.end(), aInstance) !=
             aServing.end();
    };
    std::vector<PeerState> relays;
    std::vector<PeerState> distantRelays;
    // In a fleet that starts, each instance knows few others and would count
    // itself among the serving ones.
    const bool readsDirectly = fleetViewComplete
                                 ? isServing(process.settings.instance)
                                 : IsStrongAmongKnown(aNow);
    if (!readsDirectly) {
      for (auto& it : process.peers.AliveInstances(aNow)) {
        if (isServing(it.instance) && it.metadataReachable && it.ready &&
            !it.leaving) {
          const bool isNear =
            it.failureDomain == process.settings.failureDomain;
          (isNear ? relays : distantRelays).push_back(std::move(it));
        }
      }
    }
    if (relays.empty()) {
      relays = std::move(distantRelays);
    }
    serverSource.SetRelays(relays, readsDirectly);
    operatorSource.SetRelays(relays, readsDirectly);
  }

  /// Percentage of the shards with a usable server, rounded up; 0 without a
  /// configuration.
  [[nodiscard]] unsigned CoveragePercent()
  {
    if (!gateway.Table()) {
      return 0;
    }
    const auto share = servers.Coverage(*gateway.Table(), steady_clock::now());
    return static_cast<unsigned>(std::ceil(100 * share));
  }

  /// Percentage of the servers of the routes that are reachable, rounded up.
  [[nodiscard]] unsigned ReachPercent()
  {
    const auto share = gateway.Table()
                         ? servers.Reach(*gateway.Table(), steady_clock::now())
                         : 1;
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
        } else if (!stop.HasBegun()) {
          BeginStop();
        }
        WaitForSignal();
      });
  }

  void PollReload()
  {
    process.timers.Schedule(steady_clock::now() + kReloadPollInterval,
                            [this] { PollReload(); });
    Reload();
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
    // Only these settings take effect without a restart; addresses do not.
    auto& settings = process.settings;
    settings.seeds = reload.settings->seeds;
    settings.retryLimits = reload.settings->retryLimits;
    settings.coldServerLimits = reload.settings->coldServerLimits;
    settings.shutdownGrace = reload.settings->shutdownGrace;
    settings.addressTtl = reload.settings->addressTtl;
    settings.contactTime = reload.settings->contactTime;
    settings.configActivationTime = reload.settings->configActivationTime;
    settings.maxDrainTime = reload.settings->maxDrainTime;
    process.log.Write(
      "settings_reloaded",
      { { "seeds", static_cast<std::int64_t>(settings.seeds.size()) } });
  }

  void PollReadiness()
  {
    const auto now = steady_clock::now();
    eventLag.OnTick(now);
    process.timers.Schedule(now + kReadinessPollInterval,
                            [this] { PollReadiness(); });
    auto& self = process.peers.Self();
    if (self.ready != IsReady()) {
      self.ready = IsReady();
      process.log.Write("ready_changed", { { "ready", self.ready } });
      gossip.SendNow();
    }
  }

  /// Logs the counters at regular intervals, so that the log alone shows the
  /// load around a failure.
  void LogSummary()
  {
    process.timers.Schedule(steady_clock::now() + kSummaryInterval,
                            [this] { LogSummary(); });
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
  }

  void BeginStop()
  {
    const auto now = steady_clock::now();
    const auto signalledAt = eventLag.EarliestArrival(now);
    const StopSchedule schedule(signalledAt, process.settings.shutdownGrace);
    gateway.SetStopTime(schedule.ConcludeAt());
    process.peers.Self().leaving = true;
    process.peers.Self().ready = false;
    gossip.SendNow();
    relay.ConcludeQueries();
    stop.Begin(schedule, signalledAt, now);
  }

  /// Begins to follow the metadata once enough is known of the other instances.
  void StartMetadata()
  {
    UpdateShares();
    const auto now = steady_clock::now();
    const bool knowsOthers = firstPeerSeenAt != TimePoint{} &&
                             now - firstPeerSeenAt >= kMetadataStartDelay;
    if (!knowsOthers && now - startedAt < kMaxMetadataStartDelay) {
      process.timers.Schedule(now + kMetadataStartPollInterval,
                              [this] { StartMetadata(); });
      return;
    }
    serverFollower.Start();
    operatorFollower.Start();
  }

  /// Runs the context until it is stopped. An event whose handler throws ends
  /// there; the others go on.
  void RunEvents()
  {
    for (;;) {
      try {
        process.context.run();
        return;
      } catch (const std::exception& e) {
        process.metrics.Add(bronzedeal::process::Counter::InternalErrors);
        process.log.Write("internal_error", { { "reason", e.what() } });
      }
    }
  }

  int Run()
  {
    process.log.Write("start",
                      { { "version", BRONZEDEAL_VERSION },
                        { "domain", process.settings.failureDomain } });
    WaitForSignal();
    gossip.Start();
    StartMetadata();
    PollReload();
    PollReadiness();
    LogSummary();
    RunEvents();
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
  /// Serves partial and metadata queries of other instances, on the TCP port
  /// with the number of the gossip port.
  HttpListener instances;
  std::unique_ptr<HttpListener> metrics;
  boost::asio::signal_set signals;
  TimePoint startedAt = steady_clock::now();
  TimePoint firstPeerSeenAt{};
  /// True once the view of the fleet counts as complete after the start.
  bool fleetViewComplete = false;
  PlannedStop stop{ process, callers, instances };
  EventLag eventLag{ kReadinessPollInterval, startedAt };
  /// The instances of the last `addresses_changed` line.
  std::string namedInstances;
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
