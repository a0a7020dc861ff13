#include "bronzedeal/gateway/server_registry.hpp"

#include "bronzedeal/gateway/process.hpp"

#include <algorithm>
#include <limits>

namespace bronzedeal::gateway {

namespace {

/// Fraction of a server's connections that is divided among the instances. The
/// rest covers instances with an older view of the fleet, and connections that
/// are being closed.
constexpr double kSharedConnectionFraction = 0.9;
/// Connections opened before requests come are spaced by this: opening one
/// occupies a slot of the server for a few milliseconds.
constexpr auto kPreconnectInterval = milliseconds(4);
/// Interval of the check for requests in progress in withdrawn domains.
constexpr auto kWithdrawnPollInterval = milliseconds(50);
/// Callers that are refused until a known moment return at this interval when
/// the servers state no rate.
constexpr Duration kReturnInterval = milliseconds(10);
/// Servers that don't answer show what the others would do if there are so many
/// of them, and at least one of so many servers.
constexpr std::size_t kMinSilentServers = 2;
constexpr std::size_t kMaxServersPerSilent = 10;
/// Number of removed servers whose last records are kept.
constexpr std::size_t kMaxRemovedServers = 2048;
/// A remaining cold time that grows by more than this means that the server has
/// become cold again; smaller differences come from the delay of its record.
constexpr auto kColdTimeTolerance = milliseconds(300);

} // namespace

ServerList GroupState::ServersExcept(const ServerList& aExcluded) const
{
  ServerList others;
  for (const auto& it : servers) {
    if (std::find(aExcluded.begin(), aExcluded.end(), it.get()) ==
        aExcluded.end()) {
      others.push_back(it.get());
    }
  }
  return others;
}

ServerRegistry::ServerRegistry(Process& aProcess)
  : mProcess(aProcess)
{
}

void ServerRegistry::Upsert(ServerRecord aRecord, TimePoint aNow)
{
  const auto it = mById.find(aRecord.id);
  if (it != mById.end()) {
    const auto& known = it->second->Record();
    const bool isSameRun = known.address == aRecord.address &&
                           known.group == aRecord.group &&
                           known.startedAtMs == aRecord.startedAtMs;
    if (isSameRun) {
      if (known.draining != aRecord.draining) {
        mProcess.log.Write("server_state",
                           { { "server", aRecord.id },
                             { "group", aRecord.group },
                             { "draining", aRecord.draining } });
      }
      const bool changed =
        known.draining != aRecord.draining || known.slots != aRecord.slots ||
        known.failureDomain != aRecord.failureDomain ||
        aRecord.remainingColdTime >
          it->second->RemainingColdTime(aNow) + kColdTimeTolerance;
      const auto id = aRecord.id;
      it->second->Update(std::move(aRecord), aNow);
      if (changed) {
        RecordServerChange(id);
      }
      return;
    }
    Remove(aRecord.id,
           "replaced",
           known.startedAtMs == aRecord.startedAtMs ? RemovedRun::MayGoOn
                                                    : RemovedRun::HasEnded);
  }
  mProcess.log.Write(
    "server_added",
    { { "server", aRecord.id },
      { "group", aRecord.group },
      { "domain", aRecord.failureDomain },
      { "cold_ms",
        static_cast<std::int64_t>(aRecord.remainingColdTime.count()) } });
  auto& group = FindOrCreateGroup(aRecord.group);
  auto server = std::make_shared<BackendServer>(mProcess, std::move(aRecord));
  ApplyConnectionLimit(*server);
  group.servers.push_back(server);
  QueuePreconnect(server);
  const auto id = server->Record().id;
  mById.emplace(id, std::move(server));
  RecordServerChange(id);
  mProcess.metrics.Set(process::Gauge::ServersKnown,
                       static_cast<double>(mById.size()));
}

void ServerRegistry::Remove(const ServerId& aId,
                            std::string_view aReason,
                            RemovedRun aRun)
{
  const auto it = mById.find(aId);
  if (it == mById.end()) {
    return;
  }
  const auto server = it->second;
  mById.erase(it);
  std::erase(FindOrCreateGroup(server->Record().group).servers, server);
  mProcess.log.Write("server_removed",
                     { { "server", server->Record().id },
                       { "group", server->Record().group },
                       { "reason", aReason } });
  mProcess.metrics.Set(process::Gauge::ServersKnown,
                       static_cast<double>(mById.size()));
  server->Retire(aRun);
  RememberRemoved(server->Record());
  mChanges.RecordRemoval(server->Record().id);
  if (mChangeHandler) {
    mChangeHandler();
  }
}

void ServerRegistry::RememberRemoved(const ServerRecord& aRecord)
{
  if (!mRemoved.insert_or_assign(aRecord.id, aRecord).second) {
    std::erase(mRemovedOrder, aRecord.id);
  }
  mRemovedOrder.push_back(aRecord.id);
  if (mRemovedOrder.size() > kMaxRemovedServers) {
    mRemoved.erase(mRemovedOrder.front());
    mRemovedOrder.pop_front();
  }
}

bool ServerRegistry::IsOutdated(const ServerRecord& aRecord) const
{
  if (const auto known = mById.find(aRecord.id); known != mById.end()) {
    return IsOlder(aRecord, known->second->Record());
  }
  const auto removed = mRemoved.find(aRecord.id);
  return removed != mRemoved.end() &&
         aRecord.startedAtMs <= removed->second.startedAtMs &&
         aRecord.sequence <= removed->second.sequence;
}

void ServerRegistry::PreconnectAll()
{
  for (const auto& [id, server] : mById) {
    QueuePreconnect(server);
  }
}

void ServerRegistry::QueuePreconnect(
  const std::shared_ptr<BackendServer>& aServer)
{
  if (!mProcess.fleetShares.IsServing()) {
    return;
  }
  mPreconnectQueue.push_back(aServer);
  if (mPreconnectQueue.size() == 1) {
    SchedulePreconnect();
  }
}

void ServerRegistry::SchedulePreconnect()
{
  mProcess.timers.Schedule(
    std::chrono::steady_clock::now() + kPreconnectInterval, [this] {
      if (const auto server = mPreconnectQueue.front().lock()) {
        server->Preconnect();
      }
      mPreconnectQueue.pop_front();
      if (!mPreconnectQueue.empty()) {
        SchedulePreconnect();
      }
    });
}

void ServerRegistry::RecordServerChange(const ServerId& aServer)
{
  mChanges.RecordChange(aServer);
  if (mChangeHandler) {
    mChangeHandler();
  }
}

void ServerRegistry::SetChangeHandler(std::function<void()> aHandler)
{
  mChangeHandler = std::move(aHandler);
}

void ServerRegistry::SetWithdrawn(const FailureDomain& aDomain, bool aWithdrawn)
{
  const bool changed = aWithdrawn ? mWithdrawn.insert(aDomain).second
                                  : mWithdrawn.erase(aDomain) > 0;
  if (changed) {
    mProcess.log.Write("domain_withdrawn",
                       { { "domain", aDomain }, { "withdrawn", aWithdrawn } });
    if (mChangeHandler) {
      mChangeHandler();
    }
  }
  if (!changed || !aWithdrawn) {
    return;
  }
  std::vector<std::shared_ptr<BackendServer>> withdrawn;
  for (const auto& [id, server] : mById) {
    if (server->Record().failureDomain == aDomain) {
      withdrawn.push_back(server);
    }
  }
  for (const auto& it : withdrawn) {
    it->DropQueued();
  }
  const bool isPolling = !mDrainingDomains.empty();
  mDrainingDomains[aDomain] = std::chrono::steady_clock::now();
  if (!isPolling) {
    CheckWithdrawnDomains();
  }
}

void ServerRegistry::CheckWithdrawnDomains()
{
  const auto now = std::chrono::steady_clock::now();
  std::map<FailureDomain, std::size_t> inFlight;
  for (const auto& [id, server] : mById) {
    inFlight[server->Record().failureDomain] += server->InFlightCount();
  }
  std::size_t inFlightTotal = 0;
  std::erase_if(mDrainingDomains, [&](const auto& aEntry) {
    const auto& [domain, since] = aEntry;
    if (!mWithdrawn.contains(domain)) {
      return true;
    }
    inFlightTotal += inFlight[domain];
    if (inFlight[domain] > 0) {
      return false;
    }
    mProcess.log.Write(
      "domain_quiet",
      { { "domain", domain }, { "after_ms", Milliseconds(now - since) } });
    return true;
  });
  mProcess.metrics.Set(process::Gauge::WithdrawnInFlight,
                       static_cast<double>(inFlightTotal));
  if (!mDrainingDomains.empty()) {
    mProcess.timers.Schedule(now + kWithdrawnPollInterval,
                             [this] { CheckWithdrawnDomains(); });
  }
}

void ServerRegistry::ApplyConnectionLimit(BackendServer& aServer) const
{
  const auto it = mMaxConnectionsByGroup.find(aServer.Record().group);
  if (it != mMaxConnectionsByGroup.end()) {
    aServer.SetMaxConnections(it->second);
  }
}

void ServerRegistry::ApplyConnectionLimits(const RouteTable& aTable,
                                           unsigned aInstanceCount)
{
  for (const auto& it : aTable.Config().groups) {
    mMaxConnectionsByGroup[it.name] =
      static_cast<std::size_t>(kSharedConnectionFraction * it.maxConnections /
                               std::max(1U, aInstanceCount));
  }
  for (const auto& [id, server] : mById) {
    ApplyConnectionLimit(*server);
  }
}

GroupState* ServerRegistry::FindGroup(const std::string& aName) const
{
  const auto it = mGroups.find(aName);
  return it == mGroups.end() ? nullptr : it->second.get();
}

GroupState& ServerRegistry::FindOrCreateGroup(const std::string& aName)
{
  auto& group = mGroups[aName];
  if (!group) {
    group = std::make_unique<GroupState>();
    group->name = aName;
  }
  return *group;
}

bool ServerRegistry::IsEligible(const BackendServer& aServer,
                                TimePoint aNow) const
{
  return aServer.IsUsable(aNow) &&
         !mWithdrawn.contains(aServer.Record().failureDomain);
}

bool ServerRegistry::IsAvailable(const BackendServer& aServer,
                                 TimePoint aNow) const
{
  return aServer.IsAvailable(aNow) &&
         !mWithdrawn.contains(aServer.Record().failureDomain);
}

std::optional<Duration> ServerRegistry::TimeUntilSend(const GroupState& aGroup,
                                                      TimePoint aNow) const
{
  std::optional<Duration> shortest;
  for (const auto& it : aGroup.servers) {
    if (IsAvailable(*it, aNow)) {
      const auto wait = it->TimeUntilSend(aNow);
      shortest = shortest ? std::min(*shortest, wait) : wait;
    }
  }
  return shortest == Duration::zero() ? std::nullopt : shortest;
}

Duration ServerRegistry::ScheduleReturn(GroupState& aGroup,
                                        Duration aWait,
                                        TimePoint aNow) const
{
  double allowedRate = 0;
  for (const auto& it : aGroup.servers) {
    if (IsAvailable(*it, aNow)) {
      allowedRate += it->AllowedRate().value_or(0);
    }
  }
  const auto interval = allowedRate > 0
                          ? std::chrono::duration_cast<Duration>(
                              std::chrono::duration<double>(1 / allowedRate))
                          : kReturnInterval;
  return aGroup.returnSchedule.Next(aWait, interval, aNow);
}

std::vector<std::pair<double, BackendServer*>>
ServerRegistry::UsableServersByCost(const GroupState& aGroup,
                                    const RequestProfile& aRequest,
                                    const ServerList& aExcluded,
                                    TimePoint aNow) const
{
  std::vector<std::pair<double, BackendServer*>> candidates;
  candidates.reserve(aGroup.servers.size());
  for (const auto& it : aGroup.servers) {
    const bool isExcluded =
      std::find(aExcluded.begin(), aExcluded.end(), it.get()) !=
      aExcluded.end();
    if (isExcluded || !IsEligible(*it, aNow)) {
      continue;
    }
    double cost = ReplicaCost(it->Stats(aNow), aRequest);
    if (it->IsCold(aNow)) {
      cost += aRequest.objectiveMs;
    }
    candidates.emplace_back(cost, it.get());
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

std::shared_ptr<BackendServer> ServerRegistry::ChooseServer(
  GroupState& aGroup,
  const RequestProfile& aRequest,
  const ServerList& aExcluded,
  TimePoint aNow)
{
  for (const auto& [cost, server] :
       UsableServersByCost(aGroup, aRequest, aExcluded, aNow)) {
    if (server->HasColdAllowance(aNow, server->QueuedCount())) {
      return server->shared_from_this();
    }
  }
  return nullptr;
}

std::vector<std::shared_ptr<BackendServer>> ServerRegistry::BestServers(
  const GroupState& aGroup,
  const RequestProfile& aRequest,
  std::size_t aCount,
  TimePoint aNow) const
{
  std::vector<std::shared_ptr<BackendServer>> best;
  for (const auto& [cost, server] :
       UsableServersByCost(aGroup, aRequest, {}, aNow)) {
    if (best.size() < aCount) {
      best.push_back(server->shared_from_this());
    }
  }
  return best;
}

double ServerRegistry::ExpectedLatencyMs(const GroupState& aGroup,
                                         const RequestProfile& aRequest,
                                         TimePoint aNow) const
{
  double fastest = std::numeric_limits<double>::infinity();
  for (const auto& it : aGroup.servers) {
    if (IsEligible(*it, aNow)) {
      fastest = std::min(fastest,
                         gateway::ExpectedLatencyMs(it->Stats(aNow), aRequest));
    }
  }
  return fastest;
}

std::shared_ptr<BackendServer> ServerRegistry::Find(const ServerId& aId) const
{
  const auto it = mById.find(aId);
  return it == mById.end() ? nullptr : it->second;
}

bool ServerRegistry::HasUsableServer(const GroupState& aGroup,
                                     TimePoint aNow) const
{
  return std::any_of(aGroup.servers.begin(),
                     aGroup.servers.end(),
                     [&](const auto& aIt) { return IsEligible(*aIt, aNow); });
}

std::vector<ServerId> ServerRegistry::ServerIds() const
{
  std::vector<ServerId> ids;
  ids.reserve(mById.size());
  for (const auto& [id, server] : mById) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<ServerRecord> ServerRegistry::Records(
  const std::vector<ServerId>& aIds,
  TimePoint aNow) const
{
  std::vector<ServerRecord> records;
  records.reserve(aIds.size());
  for (const auto& id : aIds) {
    if (const auto server = Find(id)) {
      records.push_back(server->Record());
      records.back().remainingColdTime = server->RemainingColdTime(aNow);
    }
  }
  return records;
}

template<typename Predicate>
double ServerRegistry::CoveredShardFraction(const RouteTable& aTable,
                                            Predicate aPredicate)
{
  std::set<std::string_view> groups;
  for (const auto& it : aTable.Config().routes) {
    groups.insert(it.shards.begin(), it.shards.end());
  }
  if (groups.empty()) {
    return 1;
  }
  const auto coveredCount =
    std::count_if(groups.begin(), groups.end(), [&](const auto aName) {
      const auto& servers = FindOrCreateGroup(std::string(aName)).servers;
      return std::any_of(servers.begin(), servers.end(), aPredicate);
    });
  return static_cast<double>(coveredCount) / static_cast<double>(groups.size());
}

double ServerRegistry::LocalCoverage(const RouteTable& aTable,
                                     const FailureDomain& aDomain,
                                     TimePoint aNow)
{
  return CoveredShardFraction(aTable, [&](const auto& aIt) {
    return aIt->Record().failureDomain == aDomain && IsAvailable(*aIt, aNow);
  });
}

double ServerRegistry::Reach(const RouteTable& aTable, TimePoint aNow)
{
  MarkRoutedGroups(aTable);
  std::size_t unknownCount = 0;
  std::size_t answeringCount = 0;
  std::size_t silentCount = 0;
  for (const auto& [name, group] : mGroups) {
    if (!group->isRouted) {
      continue;
    }
    for (const auto& it : group->servers) {
      switch (it->AnswerState(aNow)) {
        case AnswerState::Unknown:
          ++unknownCount;
          break;
        case AnswerState::Answering:
          ++answeringCount;
          break;
        case AnswerState::NotAnswering:
          ++silentCount;
          break;
      }
    }
  }
  // Of an idle instance, few servers are known. They stand for the others,
  // unless they are so few that only these may have failed.
  const auto count = unknownCount + answeringCount + silentCount;
  const bool isRepresentative = silentCount >= kMinSilentServers &&
                                kMaxServersPerSilent * silentCount >= count;
  const auto reached = answeringCount + (isRepresentative ? 0 : unknownCount);
  return silentCount == 0 ? 1
                          : static_cast<double>(reached) /
                              static_cast<double>(reached + silentCount);
}

void ServerRegistry::MarkRoutedGroups(const RouteTable& aTable)
{
  if (aTable.Version() == mRoutedVersion) {
    return;
  }
  mRoutedVersion = aTable.Version();
  for (const auto& [name, group] : mGroups) {
    group->isRouted = false;
  }
  for (const auto& route : aTable.Config().routes) {
    for (const auto& it : route.shards) {
      FindOrCreateGroup(it).isRouted = true;
    }
    for (const auto& it : route.targets) {
      FindOrCreateGroup(it.group).isRouted = true;
    }
  }
}

double ServerRegistry::Coverage(const RouteTable& aTable, TimePoint aNow)
{
  return CoveredShardFraction(
    aTable, [&](const auto& aIt) { return IsAvailable(*aIt, aNow); });
}

bool ServerRegistry::HasServerOutside(const FailureDomain& aDomain) const
{
  return std::any_of(mById.begin(), mById.end(), [&](const auto& aIt) {
    return aIt.second->Record().failureDomain != aDomain;
  });
}

} // namespace bronzedeal::gateway
