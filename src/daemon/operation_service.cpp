#include "bronzedeal/daemon/operation_service.hpp"

#include "bronzedeal/peer.pb.h"
#include "bronzedeal/request/caller_request.hpp"
#include "bronzedeal/request/ticket_table.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <xxhash.h>

namespace bronzedeal::daemon {

using namespace request;
using process::Counter;
using version::WorkKind;
using SteadyClock = std::chrono::steady_clock;

namespace {

using OutcomeHandler = std::function<void(TicketOutcome)>;

// The issuer of a ticket answers by the deadline; a forwarded operation waits
// this much longer for the message to arrive.
constexpr milliseconds kForwardGrace{ 300 };

/// Returns the field `operation_result` of a server's answer as JSON text, the
/// whole body when the field is missing, and an empty text when the body isn't
/// JSON.
std::string ExtractOperationResult(const std::string& aBody)
{
  boost::system::error_code ec;
  const auto value = boost::json::parse(aBody, ec);
  const auto* object = ec ? nullptr : value.if_object();
  const auto* result =
    object == nullptr ? nullptr : object->if_contains("operation_result");
  if (result != nullptr) {
    return boost::json::serialize(*result);
  }
  return ec ? std::string{} : aBody;
}

} // namespace

struct OperationService::Impl
{
  /// An operation that this instance runs.
  struct RunningOperation
  {
    OperationRequest request;
    Fingerprint fingerprint{};
    TimePoint deadline;
    std::vector<version::Replica> replicas;
    std::shared_ptr<const AttemptContext> context;
    version::WorkLedger::Token token;
    /// The latest refusal; the outcome when no replica is left.
    ResultCode lastRefusal = ResultCode::NotRunNoOwner;
  };
  using RunningPtr = std::shared_ptr<RunningOperation>;
  /// An operation that another instance was asked to run.
  struct ForwardedOperation
  {
    InstanceId peer;
    TimePoint expiresAt;
    OutcomeHandler handler;
  };

  Impl(const process::Settings& aSettings,
       Incarnation aIncarnation,
       const version::SnapshotHolder& aSnapshots,
       const FleetViewHolder& aFleet,
       AttemptRouter& aRouter,
       QueryService& aQueries,
       connection::PeerTransport& aTransport,
       version::WorkLedger& aLedger,
       process::Metrics& aMetrics)
    : settings(aSettings)
    , incarnation(aIncarnation)
    , snapshots(aSnapshots)
    , fleet(aFleet)
    , router(aRouter)
    , queries(aQueries)
    , transport(aTransport)
    , ledger(aLedger)
    , metrics(aMetrics)
    , tickets(aSettings.instance, aIncarnation)
    , nextForwardId(XXH64(&aIncarnation, sizeof aIncarnation, 0))
  {
  }

  void Handle(const std::string& aBody,
              bool aMayForward,
              std::function<void(Error)> aOnInvalid,
              OutcomeHandler aHandler);
  void Redeem(OperationRequest aRequest, const OutcomeHandler& aHandler);
  void Forward(const OperationRequest& aRequest,
               const std::string& aBody,
               const OutcomeHandler& aHandler);
  void Start(OperationRequest aRequest);
  void TryNextReplica(const RunningPtr& aRunning);
  void Finish(std::uint64_t aNumber, TicketOutcome aOutcome);
  void NotifyWaiters(const std::vector<TicketTable::WaiterId>& aWaiters,
                     const TicketOutcome& aOutcome);
  void FailForwards(
    const std::function<bool(std::uint64_t, const ForwardedOperation&)>&
      aPredicate);

  const process::Settings& settings;
  Incarnation incarnation;
  const version::SnapshotHolder& snapshots;
  const FleetViewHolder& fleet;
  AttemptRouter& router;
  QueryService& queries;
  connection::PeerTransport& transport;
  version::WorkLedger& ledger;
  process::Metrics& metrics;

  mutable std::mutex mutex;
  TicketTable tickets;
  TicketTable::WaiterId nextWaiter = 1;
  std::unordered_map<TicketTable::WaiterId, OutcomeHandler> waiters;
  AttemptId nextAttempt = QueryService::kFirstOperationAttempt;
  std::unordered_map<AttemptId, RunningPtr> attempts;
  /// Starts at a hash of the incarnation, so that an outcome for an earlier run
  /// of this instance matches no forward of this one.
  std::uint64_t nextForwardId;
  std::unordered_map<std::uint64_t, ForwardedOperation> forwards;
};

void OperationService::Impl::Handle(const std::string& aBody,
                                    bool aMayForward,
                                    std::function<void(Error)> aOnInvalid,
                                    OutcomeHandler aHandler)
{
  OperationRequest request;
  const bool parsed = boost::leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_ASSIGN(request, ParseOperation(aBody));
      return true;
    },
    [&](const Error& aError) {
      aOnInvalid(aError);
      return false;
    },
    [&] {
      aOnInvalid({ ResultCode::Internal, "unknown error", {} });
      return false;
    });
  if (!parsed) {
    return;
  }
  const bool isOwnTicket = request.ticket.instance == settings.instance;
  if (isOwnTicket && request.ticket.incarnation == incarnation) {
    Redeem(std::move(request), aHandler);
  } else if (isOwnTicket || !aMayForward) {
    aHandler({ ResultCode::OutcomeUnknownIssuerGone, {} });
  } else {
    Forward(request, aBody, aHandler);
  }
}

void OperationService::Impl::Redeem(OperationRequest aRequest,
                                    const OutcomeHandler& aHandler)
{
  const auto fingerprint =
    FingerprintOf(aRequest.request.at("kind"), aRequest.operation);
  const auto ticket = aRequest.ticket;
  TicketTable::RedeemResult use;
  {
    const std::lock_guard lock(mutex);
    const auto waiter = nextWaiter++;
    use = tickets.Redeem(ticket, fingerprint, waiter, SteadyClock::now());
    // The first use waits for the outcome in the same way as a duplicate, under
    // the complement of its ticket's number.
    if (std::holds_alternative<TicketTable::Run>(use)) {
      waiters.emplace(~ticket.number, aHandler);
    } else if (std::holds_alternative<TicketTable::Wait>(use)) {
      waiters.emplace(waiter, aHandler);
    }
  }
  if (const auto* answer = std::get_if<TicketTable::Answer>(&use)) {
    aHandler(answer->outcome);
  } else if (std::holds_alternative<TicketTable::Run>(use)) {
    Start(std::move(aRequest));
  }
}

void OperationService::Impl::Start(OperationRequest aRequest)
{
  const auto number = aRequest.ticket.number;
  const auto serving = CheckServing(*fleet.Load());
  if (serving != ResultCode::Ok) {
    Finish(number, { serving, {} });
    return;
  }
  const auto snapshot = snapshots.Load();
  const auto plan = snapshot->SharedPlan(aRequest.caller, aRequest.request);
  if (plan->code != ResultCode::Ok) {
    Finish(number, { plan->code, {} });
    return;
  }
  const auto shard = std::find_if(
    plan->shards.begin(), plan->shards.end(), [&](const auto& aRoute) {
      return aRoute.shard == aRequest.shard;
    });
  if (shard == plan->shards.end()) {
    Finish(number, { ResultCode::UnknownShard, {} });
    return;
  }
  auto running = std::make_shared<RunningOperation>();
  running->fingerprint =
    FingerprintOf(aRequest.request.at("kind"), aRequest.operation);
  running->deadline = SteadyClock::now() + aRequest.deadline;
  running->replicas = shard->replicas;
  if (queries.AdmitContent(running->fingerprint) == ContentState::Quarantined) {
    Finish(number, { ResultCode::NotRunQuarantined, {} });
    return;
  }
  auto context = std::make_shared<AttemptContext>();
  context->configVersion = plan->configVersion;
  context->indexVersion = plan->indexVersion;
  context->deadline = running->deadline;
  context->caller = aRequest.caller;
  context->request = aRequest.request;
  context->payload = std::make_shared<const std::string>(aRequest.operation);
  context->fingerprint = running->fingerprint;
  context->nonRepeatable = true;
  running->context = std::move(context);
  running->token =
    ledger.Begin(plan->configVersion, {}, {}, WorkKind::Admitted);
  running->request = std::move(aRequest);
  TryNextReplica(running);
}

void OperationService::Impl::TryNextReplica(const RunningPtr& aRunning)
{
  const auto number = aRunning->request.ticket.number;
  if (aRunning->replicas.empty()) {
    Finish(number, { aRunning->lastRefusal, {} });
    return;
  }
  if (SteadyClock::now() >= aRunning->deadline) {
    Finish(number, { ResultCode::NotRunDeadline, {} });
    return;
  }
  const auto n = queries.ChooseReplica(aRunning->replicas);
  const auto replica = aRunning->replicas[n];
  aRunning->replicas.erase(aRunning->replicas.begin() +
                           static_cast<std::ptrdiff_t>(n));
  AttemptId attempt = 0;
  {
    const std::lock_guard lock(mutex);
    attempt = nextAttempt++;
    attempts.emplace(attempt, aRunning);
  }
  const RoutedAttempt routed{
    attempt, aRunning->request.shard, replica.server, replica.slice, false
  };
  router.Send(aRunning->context, { &routed, 1 }, true);
}

void OperationService::Impl::Finish(std::uint64_t aNumber,
                                    TicketOutcome aOutcome)
{
  std::vector<TicketTable::WaiterId> waiting;
  {
    const std::lock_guard lock(mutex);
    waiting = tickets.Complete(aNumber, aOutcome, SteadyClock::now());
  }
  waiting.push_back(~aNumber);
  NotifyWaiters(waiting, aOutcome);
}

void OperationService::Impl::NotifyWaiters(
  const std::vector<TicketTable::WaiterId>& aWaiters,
  const TicketOutcome& aOutcome)
{
  for (const auto it : aWaiters) {
    OutcomeHandler handler;
    {
      const std::lock_guard lock(mutex);
      auto node = waiters.extract(it);
      if (node.empty()) {
        continue;
      }
      handler = std::move(node.mapped());
    }
    handler(aOutcome);
  }
}

void OperationService::Impl::Forward(const OperationRequest& aRequest,
                                     const std::string& aBody,
                                     const OutcomeHandler& aHandler)
{
  const auto& issuer = aRequest.ticket.instance;
  const auto view = fleet.Load();
  const auto* member = view->FindMember(issuer);
  // A member record of a later incarnation proves that the issuing run has
  // ended.
  if (member == nullptr || member->incarnation > aRequest.ticket.incarnation) {
    aHandler({ ResultCode::OutcomeUnknownIssuerGone, {} });
    return;
  }
  peer::Envelope envelope;
  auto& forward = *envelope.mutable_ticket_forward();
  {
    const std::lock_guard lock(mutex);
    const auto id = nextForwardId++;
    forward.set_forward_id(id);
    forwards.emplace(id,
                     ForwardedOperation{ issuer,
                                         SteadyClock::now() +
                                           aRequest.deadline + kForwardGrace,
                                         aHandler });
  }
  const auto id = forward.forward_id();
  forward.set_ticket(ToString(aRequest.ticket));
  forward.set_body(aBody);
  if (!transport.Send(issuer, std::move(envelope))) {
    FailForwards(
      [&](std::uint64_t aId, const ForwardedOperation&) { return aId == id; });
  }
}

void OperationService::Impl::FailForwards(
  const std::function<bool(std::uint64_t, const ForwardedOperation&)>&
    aPredicate)
{
  std::vector<OutcomeHandler> failedHandlers;
  {
    const std::lock_guard lock(mutex);
    for (auto it = forwards.begin(); it != forwards.end();) {
      if (aPredicate(it->first, it->second)) {
        failedHandlers.push_back(std::move(it->second.handler));
        it = forwards.erase(it);
      } else {
        ++it;
      }
    }
  }
  for (const auto& it : failedHandlers) {
    it({ ResultCode::OutcomeUnknown, {} });
  }
}

OperationService::OperationService(boost::asio::io_context& /*aContext*/,
                                   const process::Settings& aSettings,
                                   Incarnation aIncarnation,
                                   const version::SnapshotHolder& aSnapshots,
                                   const FleetViewHolder& aFleet,
                                   AttemptRouter& aRouter,
                                   QueryService& aQueries,
                                   connection::PeerTransport& aTransport,
                                   version::WorkLedger& aLedger,
                                   process::Metrics& aMetrics)
  : mImpl(std::make_unique<Impl>(aSettings,
                                 aIncarnation,
                                 aSnapshots,
                                 aFleet,
                                 aRouter,
                                 aQueries,
                                 aTransport,
                                 aLedger,
                                 aMetrics))
{
}

OperationService::~OperationService() = default;

void OperationService::HandleTicket(const std::string& aBody,
                                    const HttpReply& aReply)
{
  const auto view = mImpl->fleet.Load();
  auto serving = CheckServing(*view);
  if (serving == ResultCode::Ok && view->leaving) {
    // This instance would end before the ticket could be used.
    serving = ResultCode::NotRunLeaving;
  }
  if (serving != ResultCode::Ok) {
    aReply(ErrorResponse(serving, Describe(serving).meaning));
    return;
  }
  boost::leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_CHECK(ParseTicketRequest(aBody));
      const std::lock_guard lock(mImpl->mutex);
      BOOST_LEAF_AUTO(ticket, mImpl->tickets.Issue(SteadyClock::now()));
      const auto valid = std::chrono::duration_cast<milliseconds>(
        TicketTable::Options{}.validity);
      aReply({ 200, WriteTicket(ticket, valid) });
      return {};
    },
    [&](const Error& aError) {
      aReply({ Describe(aError.code).httpStatus, WriteError(aError) });
    },
    [&] { aReply(ErrorResponse(ResultCode::Internal, "unknown error")); });
}

void OperationService::HandleOperation(const std::string& aBody,
                                       HttpReply aReply)
{
  mImpl->Handle(
    aBody,
    true,
    [aReply](const Error& aError) {
      aReply({ Describe(aError.code).httpStatus, WriteError(aError) });
    },
    [this, aReply](const TicketOutcome& aOutcome) {
      switch (OutcomeOf(aOutcome.code)) {
        case Outcome::Ran:
          mImpl->metrics.Add(Counter::OperationsRan);
          break;
        case Outcome::NotRun:
          mImpl->metrics.Add(Counter::OperationsNotRun);
          break;
        case Outcome::Unknown:
          mImpl->metrics.Add(Counter::OperationsUnknown);
          break;
      }
      aReply({ Describe(aOutcome.code).httpStatus, WriteOutcome(aOutcome) });
    });
}

void OperationService::OnResult(AttemptId aAttempt, OwnerResult aResult)
{
  Impl::RunningPtr running;
  {
    const std::lock_guard lock(mImpl->mutex);
    auto node = mImpl->attempts.extract(aAttempt);
    if (node.empty()) {
      return;
    }
    running = std::move(node.mapped());
  }
  const auto number = running->request.ticket.number;
  if (aResult.code == ResultCode::Ok) {
    mImpl->queries.RecordSuccess(running->fingerprint);
    mImpl->Finish(number,
                  { ResultCode::Ok, ExtractOperationResult(aResult.body) });
  } else if (IsNotRun(aResult.code)) {
    running->lastRefusal = aResult.code;
    mImpl->TryNextReplica(running);
  } else {
    mImpl->Finish(number, { ResultCode::OutcomeUnknown, {} });
  }
}

void OperationService::OnForward(const InstanceId& aFrom,
                                 const peer::TicketForward& aForward)
{
  const auto reply = [this, from = aFrom, id = aForward.forward_id()](
                       ResultCode aCode, const std::string& aResult) {
    peer::Envelope envelope;
    auto& outcome = *envelope.mutable_ticket_outcome();
    outcome.set_forward_id(id);
    outcome.set_code(static_cast<int>(aCode));
    outcome.set_result(aResult);
    mImpl->transport.Send(from, std::move(envelope));
  };
  mImpl->Handle(
    aForward.body(),
    false,
    [reply](const Error& aError) { reply(aError.code, {}); },
    [reply](const TicketOutcome& aOutcome) {
      reply(aOutcome.code, aOutcome.result);
    });
}

void OperationService::OnOutcome(const InstanceId& aFrom,
                                 const peer::TicketOutcome& aOutcome)
{
  OutcomeHandler handler;
  {
    const std::lock_guard lock(mImpl->mutex);
    const auto it = mImpl->forwards.find(aOutcome.forward_id());
    if (it == mImpl->forwards.end() || it->second.peer != aFrom) {
      return;
    }
    handler = std::move(it->second.handler);
    mImpl->forwards.erase(it);
  }
  handler({ static_cast<ResultCode>(aOutcome.code()), aOutcome.result() });
}

void OperationService::OnPeerDisconnected(const InstanceId& aPeer)
{
  mImpl->FailForwards(
    [&](std::uint64_t, const Impl::ForwardedOperation& aEntry) {
      return aEntry.peer == aPeer;
    });
}

void OperationService::Expire(TimePoint aNow)
{
  std::vector<TicketTable::WaiterId> waiting;
  {
    const std::lock_guard lock(mImpl->mutex);
    waiting = mImpl->tickets.Expire(aNow);
  }
  mImpl->NotifyWaiters(waiting, { ResultCode::OutcomeUnknown, {} });
  mImpl->FailForwards(
    [&](std::uint64_t, const Impl::ForwardedOperation& aEntry) {
      return aEntry.expiresAt <= aNow;
    });
}

std::size_t OperationService::InProgressCount() const
{
  const std::lock_guard lock(mImpl->mutex);
  return mImpl->tickets.RunningCount() + mImpl->forwards.size();
}

} // namespace bronzedeal::daemon
