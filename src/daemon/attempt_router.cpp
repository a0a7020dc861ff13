#include "bronzedeal/daemon/attempt_router.hpp"

#include "bronzedeal/daemon/codec.hpp"
#include "bronzedeal/peer.pb.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>
#include <xxhash.h>

namespace bronzedeal::daemon {

using process::Counter;
using version::WorkKind;
using SteadyClock = std::chrono::steady_clock;

namespace {

// A response that has not arrived this long after the deadline counts as lost.
constexpr milliseconds kResponseGrace{ 250 };

// Limit for durations that peers send: longer than any deadline, and far from
// an overflow of the clock's type.
constexpr std::chrono::microseconds kMaxPeerDuration = std::chrono::hours(1);

/// Converts a duration that a peer sent, limited to `kMaxPeerDuration`.
std::chrono::microseconds ClampPeerDuration(std::uint64_t aMicroseconds)
{
  return std::chrono::microseconds(std::min(
    aMicroseconds, static_cast<std::uint64_t>(kMaxPeerDuration.count())));
}

std::uint64_t RemainingMicroseconds(TimePoint aDeadline)
{
  const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
    aDeadline - SteadyClock::now());
  return static_cast<std::uint64_t>(
    std::max<std::chrono::microseconds::rep>(left.count(), 0));
}

void EncodeContext(const AttemptContext& aContext,
                   bool aIsCanary,
                   peer::SubRequestBatch& aOut)
{
  aOut.set_config_version(aContext.configVersion);
  aOut.set_index_version(aContext.indexVersion);
  aOut.set_remaining_us(RemainingMicroseconds(aContext.deadline));
  for (const auto& [key, value] : aContext.caller) {
    (*aOut.mutable_caller())[key] = value;
  }
  for (const auto& [key, value] : aContext.request) {
    (*aOut.mutable_request())[key] = value;
  }
  aOut.set_payload(*aContext.payload);
  aOut.set_fingerprint(std::string(EncodeFingerprint(aContext.fingerprint)));
  aOut.set_non_repeatable(aContext.nonRepeatable);
  aOut.set_selector(aContext.selector);
  aOut.set_canary(aIsCanary);
}

std::shared_ptr<const AttemptContext> DecodeContext(
  const peer::SubRequestBatch& aBatch)
{
  auto context = std::make_shared<AttemptContext>();
  context->configVersion = aBatch.config_version();
  context->indexVersion = aBatch.index_version();
  context->deadline =
    SteadyClock::now() + ClampPeerDuration(aBatch.remaining_us());
  context->caller.insert(aBatch.caller().begin(), aBatch.caller().end());
  context->request.insert(aBatch.request().begin(), aBatch.request().end());
  context->payload = std::make_shared<const std::string>(aBatch.payload());
  if (!DecodeFingerprint(aBatch.fingerprint(), context->fingerprint)) {
    return nullptr;
  }
  context->nonRepeatable = aBatch.non_repeatable();
  context->selector = aBatch.selector();
  return context;
}

} // namespace

struct AttemptRouter::Impl
{
  /// An attempt that waits for a peer's response.
  struct Forwarded
  {
    InstanceId peer;
    bool nonRepeatable = false;
    /// The response counts as lost from then on.
    TimePoint expiresAt;
    version::WorkLedger::Token token;
  };

  InstanceId self;
  Incarnation incarnation;
  /// Attempt ids start at the same number in each run of an instance. In
  /// messages between instances they are XORed with this hash of the
  /// incarnation, so that a response to an earlier run matches no attempt of
  /// this one.
  std::uint64_t attemptIdMask;
  const FleetViewHolder& fleet;
  OwnerExecutor& executor;
  connection::PeerTransport& transport;
  version::WorkLedger& ledger;
  process::Metrics& metrics;
  ResultHandler handler;
  mutable std::mutex mutex;
  std::unordered_map<request::AttemptId, Forwarded> forwarded;
  /// Peers whose stream broke and that have not been heard from since. The
  /// transport would queue messages to them until the deadline.
  std::set<InstanceId> disconnectedPeers;
  std::atomic<bool> hasDisconnectedPeers{ false };

  [[nodiscard]] bool IsDisconnected(const InstanceId& aPeer)
  {
    if (!hasDisconnectedPeers.load()) {
      return false;
    }
    const std::lock_guard lock(mutex);
    return disconnectedPeers.contains(aPeer);
  }

  void Report(request::AttemptId aAttempt, ResultCode aCode) const
  {
    handler(aAttempt, { aCode, {}, {}, {} });
  }

  /// Removes an outstanding attempt. Returns false when the attempt isn't
  /// outstanding or was forwarded to another peer than `aPeer`, if given.
  bool RemoveForwarded(request::AttemptId aAttempt, const InstanceId* aPeer)
  {
    const std::lock_guard lock(mutex);
    const auto it = forwarded.find(aAttempt);
    if (it == forwarded.end() ||
        (aPeer != nullptr && it->second.peer != *aPeer)) {
      return false;
    }
    forwarded.erase(it);
    return true;
  }

  using LostAttempts = std::vector<std::pair<request::AttemptId, bool>>;

  /// Removes the outstanding attempts that match a predicate and returns them,
  /// each with its `nonRepeatable`.
  template<typename Predicate>
  LostAttempts RemoveForwardedIf(Predicate aPredicate)
  {
    LostAttempts lost;
    const std::lock_guard lock(mutex);
    std::erase_if(forwarded, [&](const auto& aEntry) {
      const bool matches = aPredicate(aEntry.second);
      if (matches) {
        lost.emplace_back(aEntry.first, aEntry.second.nonRepeatable);
      }
      return matches;
    });
    return lost;
  }

  /// Reports attempts that the owner may or may not have executed: the
  /// non-repeatable ones as `OutcomeUnknown`, the others with `aCode`.
  void ReportLost(const LostAttempts& aLost, ResultCode aCode) const
  {
    for (const auto& [attempt, nonRepeatable] : aLost) {
      Report(attempt, nonRepeatable ? ResultCode::OutcomeUnknown : aCode);
    }
  }

  void SendLocal(const std::shared_ptr<const AttemptContext>& aContext,
                 const RoutedAttempt& aAttempt)
  {
    metrics.Add(Counter::SubRequestsLocal);
    executor.Execute({ { self, incarnation, aAttempt.attempt },
                       aContext,
                       aAttempt.shard,
                       aAttempt.server,
                       aAttempt.isHedge },
                     [this, attempt = aAttempt.attempt](OwnerResult aResult) {
                       handler(attempt, std::move(aResult));
                     });
  }

  void SendRemote(const InstanceId& aPeer,
                  const std::shared_ptr<const AttemptContext>& aContext,
                  std::span<const RoutedAttempt* const> aAttempts,
                  bool aIsCanary)
  {
    peer::Envelope envelope;
    auto& batch = *envelope.mutable_sub_request_batch();
    EncodeContext(*aContext, aIsCanary, batch);
    {
      const std::lock_guard lock(mutex);
      for (const auto* it : aAttempts) {
        auto& item = *batch.add_items();
        item.set_attempt_id(it->attempt ^ attemptIdMask);
        item.set_shard(it->shard);
        item.set_server(it->server);
        item.set_hedge(it->isHedge);
        forwarded[it->attempt] = { aPeer,
                                   aContext->nonRepeatable,
                                   aContext->deadline + kResponseGrace,
                                   ledger.Begin(aContext->configVersion,
                                                aContext->selector,
                                                it->slice.failureDomain,
                                                WorkKind::Forwarded) };
      }
    }
    metrics.Add(Counter::SubRequestsForwarded,
                static_cast<double>(aAttempts.size()));
    if (transport.Send(aPeer, std::move(envelope))) {
      return;
    }
    for (const auto* it : aAttempts) {
      if (RemoveForwarded(it->attempt, nullptr)) {
        Report(it->attempt, ResultCode::NotRunNoOwner);
      }
    }
  }
};

AttemptRouter::AttemptRouter(InstanceId aSelf,
                             Incarnation aIncarnation,
                             const FleetViewHolder& aFleet,
                             OwnerExecutor& aExecutor,
                             connection::PeerTransport& aTransport,
                             version::WorkLedger& aLedger,
                             process::Metrics& aMetrics)
  : mImpl(new Impl{ std::move(aSelf),
                    aIncarnation,
                    XXH64(&aIncarnation, sizeof aIncarnation, 0),
                    aFleet,
                    aExecutor,
                    aTransport,
                    aLedger,
                    aMetrics,
                    {},
                    {},
                    {},
                    {} })
{
}

AttemptRouter::~AttemptRouter() = default;

void AttemptRouter::SetResultHandler(ResultHandler aHandler)
{
  mImpl->handler = std::move(aHandler);
}

void AttemptRouter::Send(const std::shared_ptr<const AttemptContext>& aContext,
                         std::span<const RoutedAttempt> aAttempts,
                         bool aIsCanary)
{
  const auto fleet = mImpl->fleet.Load();
  std::map<InstanceId, std::vector<const RoutedAttempt*>> remote;
  for (const auto& it : aAttempts) {
    const auto* owner = fleet->OwnerOf(it.slice);
    if (owner == nullptr || mImpl->IsDisconnected(*owner)) {
      mImpl->Report(it.attempt, ResultCode::NotRunNoOwner);
    } else if (*owner == mImpl->self) {
      mImpl->SendLocal(aContext, it);
    } else {
      remote[*owner].push_back(&it);
    }
  }
  for (const auto& [peer, attempts] : remote) {
    mImpl->SendRemote(peer, aContext, attempts, aIsCanary);
  }
}

void AttemptRouter::Cancel(std::span<const request::AttemptId> aAttempts)
{
  std::map<InstanceId, peer::Envelope> envelopes;
  std::vector<request::AttemptId> local;
  {
    const std::lock_guard lock(mImpl->mutex);
    for (const auto it : aAttempts) {
      const auto found = mImpl->forwarded.find(it);
      if (found == mImpl->forwarded.end()) {
        local.push_back(it);
        continue;
      }
      envelopes[found->second.peer]
        .mutable_cancel_sub_request()
        ->add_attempt_ids(it ^ mImpl->attemptIdMask);
      // The owner counts the attempt until its server confirms the end.
      found->second.token.Change(WorkKind::Unconfirmed);
    }
  }
  for (auto& [peer, envelope] : envelopes) {
    mImpl->transport.Send(peer, std::move(envelope));
  }
  for (const auto it : local) {
    mImpl->executor.Cancel({ mImpl->self, mImpl->incarnation, it });
  }
}

void AttemptRouter::OnBatch(const InstanceId& aFrom,
                            Incarnation aIncarnation,
                            const peer::SubRequestBatch& aBatch)
{
  const auto context = DecodeContext(aBatch);
  if (!context) {
    return;
  }
  for (const auto& it : aBatch.items()) {
    OwnerAttempt attempt{ { aFrom, aIncarnation, it.attempt_id() },
                          context,
                          it.shard(),
                          it.server(),
                          it.hedge() };
    mImpl->executor.Execute(
      std::move(attempt),
      [this, from = aFrom, id = it.attempt_id(), server = it.server()](
        OwnerResult aResult) {
        mImpl->metrics.Add(IsNotRun(aResult.code) ? Counter::SubRequestsRefused
                                                  : Counter::SubRequestsServed);
        peer::Envelope envelope;
        auto& response = *envelope.mutable_sub_response();
        response.set_attempt_id(id);
        response.set_code(static_cast<int>(aResult.code));
        response.set_body(std::move(aResult.body));
        response.set_server(server);
        Encode(aResult.load, *response.mutable_load());
        response.set_elapsed_us(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::microseconds>(aResult.elapsed)
            .count()));
        mImpl->transport.Send(from, std::move(envelope));
      });
  }
}

void AttemptRouter::OnCancel(const InstanceId& aFrom,
                             Incarnation aIncarnation,
                             std::span<const request::AttemptId> aAttempts)
{
  for (const auto it : aAttempts) {
    mImpl->executor.Cancel({ aFrom, aIncarnation, it });
  }
}

void AttemptRouter::OnResponse(const InstanceId& aFrom,
                               peer::SubResponse&& aResponse)
{
  const auto attempt = aResponse.attempt_id() ^ mImpl->attemptIdMask;
  if (!mImpl->RemoveForwarded(attempt, &aFrom)) {
    mImpl->metrics.Add(Counter::LateResponses);
    return;
  }
  OwnerResult result;
  result.code = static_cast<ResultCode>(aResponse.code());
  result.body = std::move(*aResponse.mutable_body());
  result.load = Decode(aResponse.load());
  result.elapsed = ClampPeerDuration(aResponse.elapsed_us());
  mImpl->handler(attempt, std::move(result));
}

void AttemptRouter::OnPeerReachable(const InstanceId& aPeer)
{
  if (!mImpl->hasDisconnectedPeers.load()) {
    return;
  }
  const std::lock_guard lock(mImpl->mutex);
  mImpl->disconnectedPeers.erase(aPeer);
  mImpl->hasDisconnectedPeers.store(!mImpl->disconnectedPeers.empty());
}

void AttemptRouter::OnPeerDisconnected(const InstanceId& aPeer)
{
  {
    const std::lock_guard lock(mImpl->mutex);
    mImpl->disconnectedPeers.insert(aPeer);
    mImpl->hasDisconnectedPeers.store(true);
  }
  mImpl->ReportLost(
    mImpl->RemoveForwardedIf(
      [&](const Impl::Forwarded& aEntry) { return aEntry.peer == aPeer; }),
    ResultCode::OutcomeUnknown);
}

void AttemptRouter::Expire(TimePoint aNow)
{
  mImpl->ReportLost(
    mImpl->RemoveForwardedIf(
      [&](const Impl::Forwarded& aEntry) { return aEntry.expiresAt <= aNow; }),
    ResultCode::ShardTimeout);
}

std::size_t AttemptRouter::OutstandingCount() const
{
  const std::lock_guard lock(mImpl->mutex);
  return mImpl->forwarded.size();
}

} // namespace bronzedeal::daemon
