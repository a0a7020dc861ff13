#include "bronzedeal/daemon/query_service.hpp"

#include "address_service.hpp"
#include "bronzedeal/request/admission.hpp"
#include "bronzedeal/request/caller_request.hpp"
#include "bronzedeal/request/concurrency_limit.hpp"
#include "bronzedeal/request/hedge_budget.hpp"
#include "bronzedeal/request/latency_digest.hpp"
#include "bronzedeal/request/query_run.hpp"
#include "bronzedeal/request/replica_chooser.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <mutex>
#include <random>
#include <unordered_map>

namespace bronzedeal::daemon {

using namespace request;
using process::Counter;
using version::WorkKind;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kMaxNoticesPerMessage = 64;
// With 2% stragglers and one hedge, both attempts of one of 50 shards straggle
// in 2% of the queries, which is above the p99; with two it is 0.04%.
constexpr std::uint32_t kHedgesPerShard = 2;
constexpr std::uint32_t kHedgeMedians = 2;
// The bits of an attempt id from this one up hold the number of the query's
// run.
constexpr unsigned kRunNumberShift = 16;

} // namespace

ResultCode CheckServing(const FleetView& aFleet)
{
  if (!aFleet.ready) {
    return ResultCode::NotRunNoConfiguration;
  }
  return aFleet.fenced ? ResultCode::NotRunFenced : ResultCode::Ok;
}

/// One query from admission to its answer.
struct ActiveQuery
{
  std::string id;
  HttpReply reply;
  QueryRequest request;
  std::string admissionKey;
  TimePoint admittedAt;
  Fingerprint fingerprint{};
  ContentState content = ContentState::Unproven;
  TimePoint start;
  TimePoint deadline;
  bool restarted = false;
  std::shared_ptr<const AttemptContext> context;
  version::WorkLedger::Token token;
  std::optional<QueryRun> run;
  std::uint64_t runNumber = 0;
  std::unique_ptr<boost::asio::steady_timer> timer;
  std::optional<TimePoint> timerExpiry;
};

struct QueryService::Impl
{
  using QueryPtr = std::shared_ptr<ActiveQuery>;

  Impl(boost::asio::io_context& aContext,
       const process::Settings& aSettings,
       const version::SnapshotHolder& aSnapshots,
       const FleetViewHolder& aFleet,
       AttemptRouter& aRouter,
       version::WorkLedger& aLedger,
       process::Metrics& aMetrics)
    : context(aContext)
    , settings(aSettings)
    , snapshots(aSnapshots)
    , fleet(aFleet)
    , router(aRouter)
    , ledger(aLedger)
    , metrics(aMetrics)
    , chooser(std::mt19937_64(std::random_device{}()))
    , admissionTimer(aContext)
  {
  }

  void Handle(std::string aBody, HttpReply aReply);
  void Offer(const QueryPtr& aQuery);
  void ApplyAdmission(const std::vector<Admission::Action>& aActions);
  void ArmAdmissionTimer();
  void Begin(const QueryPtr& aQuery);
  void Perform(const QueryPtr& aQuery, std::vector<QueryAction> aActions);
  void Complete(const QueryPtr& aQuery, QueryAnswer aAnswer);
  void UpdateConcurrencyLimit(const ActiveQuery& aQuery,
                              const QueryAnswer& aAnswer,
                              TimePoint aNow);
  QueryPtr Restart(const QueryPtr& aQuery);
  void Refuse(const QueryPtr& aQuery, ResultCode aCode);
  void End(const QueryPtr& aQuery);
  void ArmQueryTimer(const QueryPtr& aQuery);
  void OnQueryTimer(const QueryPtr& aQuery);
  void OnResult(AttemptId aAttempt, OwnerResult aResult);

  boost::asio::io_context& context;
  const process::Settings& settings;
  const version::SnapshotHolder& snapshots;
  const FleetViewHolder& fleet;
  AttemptRouter& router;
  version::WorkLedger& ledger;
  process::Metrics& metrics;

  /// Guards all members below; held for single decisions, never while sending.
  mutable std::mutex mutex;
  HedgeBudget hedgeBudget;
  LatencyDigests digests;
  ReplicaChooser chooser;
  Quarantine quarantine;
  Admission admission;
  ConcurrencyLimit concurrencyLimit;
  boost::asio::steady_timer admissionTimer;
  std::uint64_t nextQuery = 1;
  std::uint64_t nextRun = 1;
  std::unordered_map<Admission::QueryId, QueryPtr> offered;
  std::unordered_map<std::uint64_t, QueryPtr> runs;
  IndexVersion servingIndexVersion = 0;
};

void QueryService::Impl::Handle(std::string aBody, HttpReply aReply)
{
  auto query = std::make_shared<ActiveQuery>();
  query->reply = std::move(aReply);
  query->start = SteadyClock::now();
  const bool parsed = boost::leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_ASSIGN(query->request, ParseQuery(aBody));
      return true;
    },
    [&](const Error& aError) {
      metrics.Add(Counter::QueriesRefused);
      query->reply({ Describe(aError.code).httpStatus, WriteError(aError) });
      return false;
    },
    [&] {
      query->reply(ErrorResponse(ResultCode::Internal, "unknown error"));
      return false;
    });
  if (!parsed) {
    return;
  }
  query->deadline = query->start + query->request.deadline;
  query->fingerprint =
    FingerprintOf(query->request.request.at("kind"), query->request.query);
  const auto customer = query->request.caller.find("customer");
  query->admissionKey =
    customer == query->request.caller.end() ? "" : customer->second;
  Offer(query);
}

void QueryService::Impl::Offer(const QueryPtr& aQuery)
{
  const auto serving = CheckServing(*fleet.Load());
  if (serving != ResultCode::Ok) {
    aQuery->id = "-";
    Refuse(aQuery, serving);
    return;
  }
  std::vector<Admission::Action> actions;
  bool quarantined = false;
  {
    const std::lock_guard lock(mutex);
    const auto number = nextQuery++;
    aQuery->id = fmt::format("{}-{}", settings.instance, number);
    if (settings.features.quarantine) {
      aQuery->content =
        quarantine.CheckAndRenew(aQuery->fingerprint, aQuery->start);
    }
    quarantined = aQuery->content == ContentState::Quarantined;
    if (!quarantined) {
      offered.emplace(number, aQuery);
      if (settings.features.admission) {
        admission.Submit(number,
                         aQuery->admissionKey,
                         aQuery->deadline,
                         aQuery->start,
                         actions);
      } else {
        actions.emplace_back(Admission::Admit{ number });
      }
    }
  }
  if (quarantined) {
    Refuse(aQuery, ResultCode::NotRunQuarantined);
    return;
  }
  ApplyAdmission(actions);
}

void QueryService::Impl::ApplyAdmission(
  const std::vector<Admission::Action>& aActions)
{
  struct Visitor
  {
    Impl& impl;

    [[nodiscard]] QueryPtr Take(Admission::QueryId aQuery) const
    {
      const std::lock_guard lock(impl.mutex);
      auto node = impl.offered.extract(aQuery);
      return node.empty() ? nullptr : node.mapped();
    }

    void operator()(const Admission::Admit& aAdmit) const
    {
      if (const auto query = Take(aAdmit.query)) {
        impl.Begin(query);
      }
    }

    void operator()(const Admission::Refuse& aRefuse) const
    {
      if (const auto query = Take(aRefuse.query)) {
        impl.Refuse(query, aRefuse.code);
      }
    }
  };
  for (const auto& it : aActions) {
    std::visit(Visitor{ *this }, it);
  }
  ArmAdmissionTimer();
}

void QueryService::Impl::ArmAdmissionTimer()
{
  const std::lock_guard lock(mutex);
  const auto next = admission.NextTimer();
  if (!next) {
    return;
  }
  admissionTimer.expires_at(*next);
  admissionTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    std::vector<Admission::Action> actions;
    {
      const std::lock_guard timerLock(mutex);
      admission.OnTimer(SteadyClock::now(), actions);
    }
    ApplyAdmission(actions);
  });
}

void QueryService::Impl::Begin(const QueryPtr& aQuery)
{
  const auto snapshot = snapshots.Load();
  const auto plan =
    snapshot->SharedPlan(aQuery->request.caller, aQuery->request.request);
  if (plan->code != ResultCode::Ok) {
    Refuse(aQuery, plan->code);
    End(aQuery);
    return;
  }
  const auto now = SteadyClock::now();
  aQuery->admittedAt = now;
  auto shared = std::make_shared<AttemptContext>();
  shared->configVersion = plan->configVersion;
  shared->indexVersion = plan->indexVersion;
  shared->deadline = aQuery->deadline;
  shared->caller = aQuery->request.caller;
  shared->request = aQuery->request.request;
  shared->payload = std::make_shared<const std::string>(aQuery->request.query);
  shared->fingerprint = aQuery->fingerprint;
  aQuery->context = std::move(shared);
  aQuery->token = ledger.Begin(plan->configVersion, {}, {}, WorkKind::Admitted);

  QueryOptions options;
  options.deadline = aQuery->deadline;
  options.minCoverage = aQuery->request.minCoverage;
  options.contentState = aQuery->content;
  options.hedgingEnabled = settings.features.hedging;
  options.maxHedgesPerShard = kHedgesPerShard;
  options.hedgeMedianFactor = kHedgeMedians;
  options.canaryEnabled = settings.features.canary;
  options.restartAllowed = !aQuery->restarted;
  options.maxSubrequestDuration = snapshot->Content().limits.maxSubrequest;
  std::vector<QueryAction> actions;
  {
    const std::lock_guard lock(mutex);
    aQuery->runNumber = nextRun++;
    options.firstAttemptId = aQuery->runNumber << kRunNumberShift;
    aQuery->run.emplace(*plan, options, hedgeBudget, digests, chooser, now);
    runs.emplace(aQuery->runNumber, aQuery);
    aQuery->run->Start(now, actions);
  }
  Perform(aQuery, std::move(actions));
}

void QueryService::Impl::Perform(const QueryPtr& aQuery,
                                 std::vector<QueryAction> aActions)
{
  std::vector<RoutedAttempt> sends;
  std::vector<AttemptId> cancels;
  std::optional<QueryAnswer> answer;
  bool canary = false;
  struct Visitor
  {
    Impl& impl;
    const QueryPtr& query;
    std::vector<RoutedAttempt>& sends;
    std::vector<AttemptId>& cancels;
    std::optional<QueryAnswer>& answer;
    bool& canary;

    void operator()(const Dispatch& aDispatch) const
    {
      // The plan of a run never changes, so no lock is needed to read it.
      const auto& target = query->run->Target(aDispatch);
      const auto& shard = query->run->Plan().shards[aDispatch.shard];
      canary = canary || aDispatch.isCanary;
      sends.push_back({ aDispatch.attempt,
                        shard.shard,
                        target.server,
                        target.slice,
                        aDispatch.isHedge });
    }
    void operator()(const request::Cancel& aCancel) const
    {
      cancels.push_back(aCancel.attempt);
    }
    void operator()(Finish& aFinish) const
    {
      answer = std::move(aFinish.answer);
    }
  };
  for (auto& it : aActions) {
    std::visit(Visitor{ *this, aQuery, sends, cancels, answer, canary }, it);
  }
  const auto shared = aQuery->context;
  if (answer) {
    Complete(aQuery, std::move(*answer));
  } else {
    ArmQueryTimer(aQuery);
  }
  if (!cancels.empty()) {
    router.Cancel(cancels);
  }
  if (!sends.empty()) {
    router.Send(shared, sends, canary);
  }
}

void QueryService::Impl::ArmQueryTimer(const QueryPtr& aQuery)
{
  const std::lock_guard lock(mutex);
  if (!aQuery->run || aQuery->run->IsFinished()) {
    return;
  }
  const auto next = aQuery->run->NextTimer();
  if (!next || (aQuery->timerExpiry && *aQuery->timerExpiry <= *next)) {
    return;
  }
  if (!aQuery->timer) {
    aQuery->timer = std::make_unique<boost::asio::steady_timer>(context);
  }
  aQuery->timerExpiry = next;
  aQuery->timer->expires_at(*next);
  aQuery->timer->async_wait([this, aQuery](boost::system::error_code aError) {
    if (!aError) {
      OnQueryTimer(aQuery);
    }
  });
}

void QueryService::Impl::OnQueryTimer(const QueryPtr& aQuery)
{
  std::vector<QueryAction> actions;
  {
    const std::lock_guard lock(mutex);
    aQuery->timerExpiry.reset();
    if (!aQuery->run || aQuery->run->IsFinished()) {
      return;
    }
    aQuery->run->OnTimer(SteadyClock::now(), actions);
  }
  Perform(aQuery, std::move(actions));
}

void QueryService::Impl::OnResult(AttemptId aAttempt, OwnerResult aResult)
{
  AttemptResult result;
  result.code = aResult.code;
  result.load = aResult.load;
  if (aResult.code == ResultCode::Ok) {
    boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(answer, ParseShardAnswer(aResult.body));
        result.indexVersion = answer.indexVersion;
        result.hits = std::move(answer.hits);
        return {};
      },
      [&] { result.code = ResultCode::ShardBadAnswer; });
  }
  std::vector<QueryAction> actions;
  QueryPtr query;
  {
    const std::lock_guard lock(mutex);
    const auto it = runs.find(aAttempt >> kRunNumberShift);
    if (it == runs.end()) {
      metrics.Add(Counter::LateResponses);
      return;
    }
    query = it->second;
    query->run->OnResponse(
      aAttempt, std::move(result), SteadyClock::now(), actions);
  }
  Perform(query, std::move(actions));
}

void QueryService::Impl::UpdateConcurrencyLimit(const ActiveQuery& aQuery,
                                                const QueryAnswer& aAnswer,
                                                TimePoint aNow)
{
  auto code = aAnswer.code;
  for (const auto& it : aAnswer.missing) {
    if (IndicatesOverload(it.code)) {
      code = it.code;
      break;
    }
  }
  const auto sign = concurrencyLimit.Classify(
    code, aNow - aQuery.admittedAt, aQuery.deadline - aQuery.admittedAt);
  concurrencyLimit.OnQueryFinished(sign, admission.InProgressCount(), aNow);
  admission.SetLimit(concurrencyLimit.Limit());
}

QueryService::Impl::QueryPtr QueryService::Impl::Restart(const QueryPtr& aQuery)
{
  // A new object, because other threads may still read the plan of the old one.
  auto next = std::make_shared<ActiveQuery>();
  next->id = aQuery->id;
  next->reply = std::move(aQuery->reply);
  next->request = std::move(aQuery->request);
  next->admissionKey = aQuery->admissionKey;
  next->fingerprint = aQuery->fingerprint;
  next->content = aQuery->content;
  next->start = aQuery->start;
  next->deadline = aQuery->deadline;
  next->restarted = true;
  aQuery->token.End();
  return next;
}

void QueryService::Impl::Complete(const QueryPtr& aQuery, QueryAnswer aAnswer)
{
  metrics.Add(Counter::Hedges, aAnswer.hedges);
  metrics.Add(Counter::Retries, aAnswer.retries);
  const auto now = SteadyClock::now();
  {
    const std::lock_guard lock(mutex);
    runs.erase(aQuery->runNumber);
    if (aQuery->timer) {
      aQuery->timer->cancel();
      aQuery->timerExpiry.reset();
    }
    UpdateConcurrencyLimit(*aQuery, aAnswer, now);
    if (aAnswer.contentSucceeded) {
      quarantine.RecordSuccess(
        aQuery->fingerprint, aAnswer.missing.empty(), now);
    }
  }
  const auto snapshot = snapshots.Load();
  if (aAnswer.restartWorthwhile && !aQuery->restarted &&
      now < aQuery->deadline &&
      snapshot->Content().index.serving > aAnswer.indexVersion) {
    Begin(Restart(aQuery));
    return;
  }
  if (aAnswer.code == ResultCode::Ok) {
    metrics.Add(Counter::QueriesWhole);
  } else if (aAnswer.code == ResultCode::Partial) {
    metrics.Add(Counter::QueriesPartial);
  } else {
    metrics.Add(Counter::QueriesRefused);
  }
  metrics.ObserveQuery(
    std::chrono::duration<double>(now - aQuery->start).count());
  aQuery->reply({ Describe(aAnswer.code).httpStatus,
                  WriteQueryAnswer(aQuery->id, aAnswer) });
  End(aQuery);
}

void QueryService::Impl::Refuse(const QueryPtr& aQuery, ResultCode aCode)
{
  metrics.Add(Counter::QueriesRefused);
  const bool suggestOtherInstances = aCode == ResultCode::NotRunFenced ||
                                     aCode == ResultCode::NotRunNoConfiguration;
  aQuery->reply(suggestOtherInstances
                  ? RefusalWithAddresses(aQuery->id, aCode, *fleet.Load())
                  : HttpResponse{ Describe(aCode).httpStatus,
                                  WriteRefusal(aQuery->id, aCode) });
}

void QueryService::Impl::End(const QueryPtr& aQuery)
{
  aQuery->token.End();
  if (!settings.features.admission) {
    return;
  }
  std::vector<Admission::Action> actions;
  {
    const std::lock_guard lock(mutex);
    admission.OnQueryFinished(
      aQuery->admissionKey, SteadyClock::now(), actions);
  }
  // Posted, so that a burst of short queries doesn't recurse.
  if (!actions.empty()) {
    boost::asio::post(context, [this, actions] { ApplyAdmission(actions); });
  }
}

QueryService::QueryService(boost::asio::io_context& aContext,
                           const process::Settings& aSettings,
                           const version::SnapshotHolder& aSnapshots,
                           const FleetViewHolder& aFleet,
                           AttemptRouter& aRouter,
                           version::WorkLedger& aLedger,
                           process::Metrics& aMetrics)
  : mImpl(std::make_unique<Impl>(aContext,
                                 aSettings,
                                 aSnapshots,
                                 aFleet,
                                 aRouter,
                                 aLedger,
                                 aMetrics))
{
}

QueryService::~QueryService() = default;

void QueryService::Handle(std::string aBody, HttpReply aReply)
{
  mImpl->Handle(std::move(aBody), std::move(aReply));
}

void QueryService::OnResult(AttemptId aAttempt, OwnerResult aResult)
{
  mImpl->OnResult(aAttempt, std::move(aResult));
}

void QueryService::OnSnapshot(const version::Snapshot& aSnapshot)
{
  const auto& content = aSnapshot.Content();
  std::vector<ServerId> servers;
  servers.reserve(aSnapshot.Servers().size());
  for (const auto& it : aSnapshot.Servers()) {
    servers.push_back(it.id);
  }
  const std::lock_guard lock(mImpl->mutex);
  mImpl->hedgeBudget.SetPercent(content.limits.hedgePercent);
  mImpl->concurrencyLimit.SetMaximum(content.limits.queriesInProgress);
  mImpl->admission.SetLimit(mImpl->concurrencyLimit.Limit());
  mImpl->chooser.RetainOnly(servers, SteadyClock::now());
  if (mImpl->servingIndexVersion != content.index.serving) {
    mImpl->servingIndexVersion = content.index.serving;
    mImpl->quarantine.ClearSuccesses();
  }
}

void QueryService::OnFleetView(const version::Snapshot& aSnapshot,
                               const FleetView& aFleet)
{
  const auto now = SteadyClock::now();
  const std::lock_guard lock(mImpl->mutex);
  for (const auto& it : aSnapshot.Servers()) {
    const auto index = mImpl->chooser.FindOrAdd(it.id, now);
    mImpl->chooser.SetHasOwner(index, aFleet.HasResponsiveOwner(it.slice));
    mImpl->chooser.SetLeaving(index, aFleet.leavingServers.contains(it.id));
  }
}

std::size_t QueryService::InProgressCount() const
{
  const std::lock_guard lock(mImpl->mutex);
  return mImpl->offered.size() + mImpl->runs.size();
}

ContentState QueryService::AdmitContent(const Fingerprint& aContent)
{
  if (!mImpl->settings.features.quarantine) {
    return ContentState::Unproven;
  }
  const std::lock_guard lock(mImpl->mutex);
  return mImpl->quarantine.CheckAndRenew(aContent, SteadyClock::now());
}

ContentState QueryService::StateOfContent(const Fingerprint& aContent) const
{
  if (!mImpl->settings.features.quarantine) {
    return ContentState::Unproven;
  }
  const std::lock_guard lock(mImpl->mutex);
  return mImpl->quarantine.StateOf(aContent, SteadyClock::now());
}

void QueryService::RecordCrash(std::span<const Fingerprint> aContents,
                               const ServerId& aServer)
{
  const std::lock_guard lock(mImpl->mutex);
  mImpl->quarantine.RecordCrash(aContents, aServer, SteadyClock::now());
}

void QueryService::RecordSuccess(const Fingerprint& aContent)
{
  const std::lock_guard lock(mImpl->mutex);
  mImpl->quarantine.RecordSuccess(aContent, true, SteadyClock::now());
}

void QueryService::MergeQuarantine(const std::vector<QuarantineEntry>& aEntries)
{
  const std::lock_guard lock(mImpl->mutex);
  for (const auto& it : aEntries) {
    mImpl->quarantine.Merge(it, SteadyClock::now());
  }
}

std::vector<QuarantineEntry> QueryService::TakeQuarantineNotices()
{
  const std::lock_guard lock(mImpl->mutex);
  return mImpl->quarantine.TakeChangedEntries(kMaxNoticesPerMessage,
                                              SteadyClock::now());
}

void QueryService::ExpireQuarantine(TimePoint aNow)
{
  const std::lock_guard lock(mImpl->mutex);
  mImpl->quarantine.Expire(aNow);
}

std::size_t QueryService::QuarantinedCount() const
{
  const std::lock_guard lock(mImpl->mutex);
  return mImpl->quarantine.size();
}

std::size_t QueryService::ChooseReplica(
  const std::vector<version::Replica>& aReplicas)
{
  const auto now = SteadyClock::now();
  const std::lock_guard lock(mImpl->mutex);
  std::vector<ReplicaChooser::Index> candidates;
  candidates.reserve(aReplicas.size());
  for (const auto& it : aReplicas) {
    candidates.push_back(mImpl->chooser.FindOrAdd(it.server, now));
  }
  return mImpl->chooser.Choose(candidates, now);
}

} // namespace bronzedeal::daemon
