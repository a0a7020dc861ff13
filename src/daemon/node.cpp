#include "bronzedeal/daemon/node.hpp"

#include "address_service.hpp"
#include "bronzedeal/daemon/codec.hpp"
#include "bronzedeal/daemon/control_plane.hpp"
#include "bronzedeal/daemon/operation_service.hpp"
#include "bronzedeal/daemon/query_service.hpp"
#include "bronzedeal/peer.pb.h"
#include "bronzedeal/version/explain.hpp"
#include "control_report.hpp"

#include "bronzedeal/request/caller_request.hpp"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <csignal>
#include <iostream>
#include <optional>
#include <random>
#include <thread>

namespace bronzedeal::daemon {

using namespace process;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr milliseconds kShutdownPollInterval{ 50 };
// Work has a deadline of at most 10 s and ends long before this.
constexpr std::chrono::seconds kMaxShutdownDuration{ 60 };
constexpr milliseconds kTrafficMetricsInterval{ 1000 };
// The lower bits of an incarnation are random: two starts may fall within one
// millisecond.
constexpr unsigned kIncarnationRandomBits = 20;

Incarnation NewIncarnation()
{
  const auto ms = std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
  std::random_device random;
  const auto low = random() & ((1U << kIncarnationRandomBits) - 1);
  return (static_cast<Incarnation>(ms) << kIncarnationRandomBits) | low;
}

/// The number in a query parameter, 0 when it is absent, nullopt when it is not
/// a number.
std::optional<std::uint64_t> NumberParameter(const HttpRequest& aRequest,
                                             std::string_view aName)
{
  const auto text = QueryParameter(aRequest.queryString, aName);
  std::uint64_t n = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, n);
  if (!text.empty() && (error != std::errc{} || rest != end)) {
    return std::nullopt;
  }
  return n;
}

std::string WithPort(const std::string& aAddress, unsigned aPort)
{
  return aAddress.substr(0, aAddress.rfind(':') + 1) + std::to_string(aPort);
}

} // namespace

struct Node::Impl
{
  explicit Impl(Settings aSettings)
    : settings(std::move(aSettings))
    , incarnation(NewIncarnation())
    , context(static_cast<int>(settings.threads))
    , audit(settings.instance)
    , transport({ .self = settings.instance, .incarnation = incarnation })
    , executor(context,
               snapshots,
               leases,
               ledger,
               settings.features.coldRamp,
               MakeExecutorHooks())
    , router(settings.instance,
             incarnation,
             fleet,
             executor,
             transport,
             ledger,
             metrics)
    , queries(context, settings, snapshots, fleet, router, ledger, metrics)
    , operations(context,
                 settings,
                 incarnation,
                 snapshots,
                 fleet,
                 router,
                 queries,
                 transport,
                 ledger,
                 metrics)
    , addresses(settings.addressTtl, snapshots, fleet)
    , signals(context)
    , shutdownTimer(context)
  {
  }

  OwnerExecutor::Hooks MakeExecutorHooks();
  ControlPlane::Hooks MakeControlHooks();
  void Start();
  void OnEnvelope(peer::Envelope&& aEnvelope);
  [[nodiscard]] bool IsFromKnownMember(const peer::Envelope& aEnvelope) const;
  void HandleCallerRequest(HttpRequest aRequest, HttpReply aReply);
  void HandleAdminRequest(const HttpRequest& aRequest, const HttpReply& aReply);
  void HandleFaultRequest(const std::string& aBody, const HttpReply& aReply);
  void HandleReportRequest(const HttpRequest& aRequest,
                           const HttpReply& aReply) const;
  void HandleExplainRequest(const std::string& aBody,
                            const HttpReply& aReply) const;
  void ApplyFaults(const FaultInjection& aFaults);
  void Tick(TimePoint aNow);
  void BroadcastQuarantine();
  void UpdateTrafficMetrics();
  void AwaitSignal();
  void BeginShutdown();
  void PollShutdown();
  [[nodiscard]] bool IsDrained() const;

  Settings settings;
  Incarnation incarnation;
  boost::asio::io_context context;
  Metrics metrics;
  AuditTrail audit;
  version::WorkLedger ledger;
  version::SnapshotHolder snapshots;
  LeaseTable leases;
  FleetViewHolder fleet;
  connection::PeerTransport transport;
  std::unique_ptr<ControlPlane> control;
  OwnerExecutor executor;
  AttemptRouter router;
  QueryService queries;
  OperationService operations;
  AddressService addresses;
  std::unique_ptr<HttpServer> callerServer;
  std::unique_ptr<HttpServer> adminServer;
  boost::asio::signal_set signals;
  boost::asio::steady_timer shutdownTimer;
  TimePoint shutdownStart{};
  TimePoint nextTrafficUpdate{};
  std::array<double, 5> countedTraffic{};
  bool shuttingDown = false;
};

OwnerExecutor::Hooks Node::Impl::MakeExecutorHooks()
{
  return {
    .contentState =
      [this](const request::Fingerprint& aContent) {
        return queries.StateOfContent(aContent);
      },
    .onServerCrashed =
      [this](std::span<const request::Fingerprint> aContents,
             const ServerId& aServer) {
        queries.RecordCrash(aContents, aServer);
        control->RecordAudit(
          AuditKind::ContentQuarantined,
          "server " + aServer + " lost its connections with " +
            std::to_string(aContents.size()) + " contents in flight");
        BroadcastQuarantine();
      },
    .onAllowanceReset =
      [this](const ServerId& aServer, std::string_view aReason) {
        control->RecordAudit(AuditKind::ServerCold,
                             aServer + ": " + std::string(aReason));
      },
  };
}

ControlPlane::Hooks Node::Impl::MakeControlHooks()
{
  return {
    .onSnapshot =
      [this](const version::Snapshot& aSnapshot) {
        queries.OnSnapshot(aSnapshot);
        executor.Refresh(SteadyClock::now());
      },
    .onFleetChange =
      [this](const FleetView& aFleet) {
        if (const auto snapshot = snapshots.Load()) {
          queries.OnFleetView(*snapshot, aFleet);
        }
      },
    .onTick = [this](TimePoint aNow) { Tick(aNow); },
    .isSliceIdle =
      [this](const SliceId& aSlice) { return executor.IsIdle(aSlice); },
    .onLeavingServers =
      [this](const std::set<ServerId>& aServers) {
        executor.SetLeavingServers(aServers);
      },
  };
}

void Node::Impl::Start()
{
  callerServer = std::make_unique<HttpServer>(
    context,
    settings.httpAddress,
    [this](HttpRequest aRequest, HttpReply aReply) {
      HandleCallerRequest(std::move(aRequest), std::move(aReply));
    });
  adminServer = std::make_unique<HttpServer>(
    context,
    settings.adminAddress,
    [this](HttpRequest aRequest, HttpReply aReply) {
      HandleAdminRequest(aRequest, aReply);
    });
  router.SetResultHandler(
    [this](request::AttemptId aAttempt, OwnerResult aResult) {
      if (aAttempt >= QueryService::kFirstOperationAttempt) {
        operations.OnResult(aAttempt, std::move(aResult));
      } else {
        queries.OnResult(aAttempt, std::move(aResult));
      }
    });
  transport.SetMessageHandler(
    [this](peer::Envelope&& aEnvelope) { OnEnvelope(std::move(aEnvelope)); });
  transport.SetStreamBrokenHandler([this](const InstanceId& aPeer) {
    router.OnPeerDisconnected(aPeer);
    operations.OnPeerDisconnected(aPeer);
  });
  const auto port = boost::leaf::try_handle_all(
    [&]() -> Result<unsigned> {
      return transport.Listen(settings.peerAddress);
    },
    [&](const Error& aError) -> unsigned {
      throw std::runtime_error(aError.message);
    },
    []() -> unsigned { throw std::runtime_error("the peer listener failed"); });
  const auto peerAddress = WithPort(settings.peerAddress, port);
  if (settings.faultInjection) {
    ApplyFaults(*settings.faultInjection);
  }
  control = std::make_unique<ControlPlane>(context,
                                           settings,
                                           RosterEntry{ settings.instance,
                                                        callerServer->Address(),
                                                        peerAddress,
                                                        settings.failureDomain,
                                                        settings.region,
                                                        false },
                                           incarnation,
                                           snapshots,
                                           leases,
                                           fleet,
                                           transport,
                                           ledger,
                                           audit,
                                           metrics,
                                           MakeControlHooks());
  const boost::json::value line{ { "event", "listening" },
                                 { "instance", settings.instance },
                                 { "http", callerServer->Address() },
                                 { "admin", adminServer->Address() },
                                 { "peer", peerAddress } };
  std::cout << boost::json::serialize(line) << std::endl;
  control->Start();
}

bool Node::Impl::IsFromKnownMember(const peer::Envelope& aEnvelope) const
{
  const auto view = fleet.Load();
  const auto* member = view->FindMember(aEnvelope.sender());
  return member != nullptr &&
         aEnvelope.sender_incarnation() >= member->incarnation;
}

void Node::Impl::OnEnvelope(peer::Envelope&& aEnvelope)
{
  const auto& from = aEnvelope.sender();
  const auto senderIncarnation = aEnvelope.sender_incarnation();
  router.OnPeerReachable(from);
  switch (aEnvelope.body_case()) {
    case peer::Envelope::kSubRequestBatch:
      if (IsFromKnownMember(aEnvelope)) {
        router.OnBatch(from, senderIncarnation, aEnvelope.sub_request_batch());
      }
      break;
    case peer::Envelope::kSubResponse:
      router.OnResponse(from, std::move(*aEnvelope.mutable_sub_response()));
      break;
    case peer::Envelope::kCancelSubRequest: {
      const auto& ids = aEnvelope.cancel_sub_request().attempt_ids();
      const std::vector<request::AttemptId> attempts(ids.begin(), ids.end());
      router.OnCancel(from, senderIncarnation, attempts);
      break;
    }
    case peer::Envelope::kTicketForward:
      if (IsFromKnownMember(aEnvelope)) {
        operations.OnForward(from, aEnvelope.ticket_forward());
      }
      break;
    case peer::Envelope::kTicketOutcome:
      operations.OnOutcome(from, aEnvelope.ticket_outcome());
      break;
    case peer::Envelope::kQuarantineNotice:
      if (IsFromKnownMember(aEnvelope)) {
        queries.MergeQuarantine(Decode(aEnvelope.quarantine_notice()));
      }
      break;
    default:
      control->Receive(std::move(aEnvelope));
      break;
  }
}

void Node::Impl::HandleCallerRequest(HttpRequest aRequest, HttpReply aReply)
{
  const auto& path = aRequest.path;
  if (aRequest.method == "POST" && path == "/v1/query") {
    queries.Handle(std::move(aRequest.body), std::move(aReply));
  } else if (aRequest.method == "POST" && path == "/v1/tickets") {
    operations.HandleTicket(aRequest.body, aReply);
  } else if (aRequest.method == "POST" && path == "/v1/operations") {
    operations.HandleOperation(aRequest.body, std::move(aReply));
  } else if (aRequest.method == "GET" && path == "/v1/addresses") {
    const auto kind = QueryParameter(aRequest.queryString, "kind");
    aReply(addresses.Handle(QueryParameter(aRequest.queryString, "customer"),
                            kind.empty() ? "search" : kind));
  } else {
    aReply(ErrorResponse(ResultCode::UnknownPath, path));
  }
}

void Node::Impl::HandleAdminRequest(const HttpRequest& aRequest,
                                    const HttpReply& aReply)
{
  const auto& path = aRequest.path;
  const bool isGet = aRequest.method == "GET";
  if (isGet && path == "/health") {
    aReply({ 200, R"({"status":"ok"})" });
  } else if (isGet && path == "/ready") {
    const auto code = CheckServing(*fleet.Load());
    aReply(code == ResultCode::Ok
             ? HttpResponse{ 200, R"({"status":"ready"})" }
             : ErrorResponse(code, Describe(code).meaning));
  } else if (isGet && path == "/metrics") {
    aReply({ 200, metrics.Expose(), "text/plain; version=0.0.4" });
  } else if (isGet && path == "/v1/state") {
    control->ReportState([aReply](std::string aBody) {
      aReply({ 200, std::move(aBody) });
    });
  } else if (isGet && (path == "/v1/audit" || path == "/v1/withdrawal")) {
    HandleReportRequest(aRequest, aReply);
  } else if (aRequest.method == "POST" && path == "/v1/explain") {
    HandleExplainRequest(aRequest.body, aReply);
  } else if (aRequest.method == "POST" && path == "/v1/fault") {
    HandleFaultRequest(aRequest.body, aReply);
  } else {
    aReply(ErrorResponse(ResultCode::UnknownPath, path));
  }
}

void Node::Impl::HandleReportRequest(const HttpRequest& aRequest,
                                     const HttpReply& aReply) const
{
  const bool isAudit = aRequest.path == "/v1/audit";
  const auto* name = isAudit ? "after" : "version";
  const auto n = NumberParameter(aRequest, name);
  if (!n) {
    aReply(ErrorResponse(ResultCode::InvalidField,
                         std::string(name) + " must be a number"));
  } else if (isAudit) {
    aReply({ 200, WriteAudit(audit.EventsAfter(*n)) });
  } else {
    control->ReportWithdrawal(*n, [aReply](std::string aBody) {
      aReply({ 200, std::move(aBody) });
    });
  }
}

void Node::Impl::HandleExplainRequest(const std::string& aBody,
                                      const HttpReply& aReply) const
{
  const auto snapshot = snapshots.Load();
  if (!snapshot) {
    aReply(ErrorResponse(ResultCode::NotRunNoConfiguration,
                         "no configuration is in force"));
    return;
  }
  boost::leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(request, version::ParseExplainRequest(aBody));
      aReply({ 200,
               version::ToJson(version::Explain(
                 *snapshot, request.caller, request.request)) });
      return {};
    },
    [&](const Error& aError) {
      aReply({ Describe(aError.code).httpStatus, request::WriteError(aError) });
    },
    [&] { aReply(ErrorResponse(ResultCode::Internal, "unknown error")); });
}

void Node::Impl::HandleFaultRequest(const std::string& aBody,
                                    const HttpReply& aReply)
{
  if (!settings.faultInjection) {
    aReply(ErrorResponse(ResultCode::UnknownPath,
                         "the settings do not allow faults"));
    return;
  }
  boost::leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(faults, ParseFaultInjection(aBody));
      ApplyFaults(faults);
      control->RecordAudit(AuditKind::FaultInjected, aBody);
      aReply({ 200, "{}" });
      return {};
    },
    [&](const Error& aError) {
      aReply({ Describe(aError.code).httpStatus, request::WriteError(aError) });
    },
    [&] { aReply(ErrorResponse(ResultCode::Internal, "unknown error")); });
}

void Node::Impl::ApplyFaults(const FaultInjection& aFaults)
{
  // The list replaces the previous one: faults of links that it does not name
  // are removed.
  for (const auto& it : fleet.Load()->members) {
    transport.SetLinkFault(it.id, {});
  }
  for (const auto& it : aFaults.links) {
    transport.SetLinkFault(it.to,
                           { .seed = aFaults.seed,
                             .dropProbability = it.drop,
                             .delay = it.delay,
                             .cut = it.drop >= 1 });
  }
}

void Node::Impl::Tick(TimePoint aNow)
{
  executor.Refresh(aNow);
  router.Expire(aNow);
  operations.Expire(aNow);
  queries.ExpireQuarantine(aNow);
  if (aNow >= nextTrafficUpdate) {
    nextTrafficUpdate = aNow + kTrafficMetricsInterval;
    UpdateTrafficMetrics();
    metrics.Set(Gauge::QueriesInProgress,
                static_cast<double>(queries.InProgressCount()));
    metrics.Set(Gauge::SubRequestsInFlight,
                static_cast<double>(executor.InFlightCount()));
    metrics.Set(Gauge::Quarantined,
                static_cast<double>(queries.QuarantinedCount()));
  }
}

void Node::Impl::BroadcastQuarantine()
{
  const auto entries = queries.TakeQuarantineNotices();
  if (entries.empty()) {
    return;
  }
  peer::Envelope envelope;
  for (const auto& it : entries) {
    Encode(it, *envelope.mutable_quarantine_notice());
  }
  const auto view = fleet.Load();
  for (const auto& it : view->members) {
    if (it.id != settings.instance && it.status != MemberStatus::Dead) {
      transport.Send(it.id, envelope);
    }
  }
}

void Node::Impl::UpdateTrafficMetrics()
{
  std::array<double, 5> sums{};
  for (const auto& [peer, counts] : transport.Traffic()) {
    for (std::size_t n = 0; n < connection::kMessageKindCount; ++n) {
      const auto sent = static_cast<double>(counts.sent.at(n).bytes);
      const auto received = static_cast<double>(counts.received.at(n).bytes);
      sums[0] += sent;
      sums[1] += received;
      if (!connection::IsRequestTraffic(n)) {
        sums[2] += sent;
        sums[3] += received;
      }
    }
    sums[4] += static_cast<double>(counts.droppedMessages);
  }
  constexpr std::array<Counter, 5> kCounters{ Counter::PeerBytesSent,
                                              Counter::PeerBytesReceived,
                                              Counter::PeerControlBytesSent,
                                              Counter::PeerControlBytesReceived,
                                              Counter::PeerMessagesDropped };
  for (std::size_t n = 0; n < sums.size(); ++n) {
    // The sum falls when a peer is removed from the list, but counters must not
    // decrease.
    if (sums.at(n) > countedTraffic.at(n)) {
      metrics.Add(kCounters.at(n), sums.at(n) - countedTraffic.at(n));
    }
    countedTraffic.at(n) = sums.at(n);
  }
}

void Node::Impl::AwaitSignal()
{
  signals.async_wait([this](boost::system::error_code aError, int) {
    if (aError) {
      return;
    }
    if (shuttingDown) {
      LogEvent(LogLevel::Warning,
               "second signal received, ending the process at once",
               {});
      std::_Exit(1);
    }
    BeginShutdown();
    AwaitSignal();
  });
}

void Node::Impl::BeginShutdown()
{
  shuttingDown = true;
  shutdownStart = SteadyClock::now();
  control->BeginLeaving();
  callerServer->BeginDrain();
  LogEvent(LogLevel::Info, "shutdown begins", {});
  PollShutdown();
}

bool Node::Impl::IsDrained() const
{
  return callerServer->RunningRequestCount() == 0 &&
         queries.InProgressCount() == 0 && operations.InProgressCount() == 0 &&
         router.OutstandingCount() == 0 && executor.InFlightCount() == 0 &&
         control->HoldsNoLease();
}

void Node::Impl::PollShutdown()
{
  const auto age = SteadyClock::now() - shutdownStart;
  if (age >= settings.shutdownLinger) {
    callerServer->StopAccepting();
    if (IsDrained() || age >= kMaxShutdownDuration) {
      LogEvent(LogLevel::Info,
               "shutdown complete",
               { { "drained", IsDrained() ? "yes" : "no" } });
      control->Stop();
      adminServer->StopAccepting();
      context.stop();
      return;
    }
  }
  shutdownTimer.expires_after(kShutdownPollInterval);
  shutdownTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      PollShutdown();
    }
  });
}

Node::Node(Settings aSettings)
  : mImpl(std::make_unique<Impl>(std::move(aSettings)))
{
}

Node::~Node()
{
  mImpl->transport.Shutdown();
}

int Node::Run()
{
  mImpl->signals.add(SIGTERM);
  mImpl->signals.add(SIGINT);
  mImpl->AwaitSignal();
  mImpl->Start();
  const auto guard = boost::asio::make_work_guard(mImpl->context);
  std::vector<std::thread> threads;
  for (unsigned n = 1; n < mImpl->settings.threads; ++n) {
    threads.emplace_back([this] { mImpl->context.run(); });
  }
  mImpl->context.run();
  for (auto& it : threads) {
    it.join();
  }
  return 0;
}

} // namespace bronzedeal::daemon
