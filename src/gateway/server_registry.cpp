#include "bronzedeal/gateway/server_registry.hpp"

#include "bronzedeal/gateway/process.hpp"

#include <algorithm>
#include <limits>

namespace bronzedeal::gateway {

namespace {

/// Part of a server's connections that is shared out; the rest serves
/// instances whose view of the fleet is older, and connections that close.
constexpr double kConnectionsSharedOut = 0.9;
/// Connections are opened ahead of requests one by one, at this pace: opening
/// one takes a server's slot for a few milliseconds.
constexpr auto kWarmPace = milliseconds(4);
/// Whether a withdrawn domain has requests in progress is looked at this often.
constexpr auto kQuietPoll = milliseconds(50);
/// A server whose cold time moves by more than this has become cold again; less
/// is the delay of its record on the way.
constexpr auto kColdChange = milliseconds(300);

} // namespace

UsedServers GroupState::AllBut(const UsedServers& aKept) const
{
  UsedServers others;
  for (const auto& it : servers) {
    if (std::find(aKept.begin(), aKept.end(), it.get()) == aKept.end()) {
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
    const bool same = known.address == aRecord.address &&
                      known.group == aRecord.group &&
                      known.startedAtMs == aRecord.startedAtMs;
    if (same) {
      if (known.draining != aRecord.draining) {
        mProcess.log.Write("server_state",
                           { { "server", aRecord.id },
                             { "group", aRecord.group },
                             { "draining", aRecord.draining } });
      }
      const bool changed =
        known.draining != aRecord.draining || known.slots != aRecord.slots ||
        known.failureDomain != aRecord.failureDomain ||
        aRecord.coldLeft > it->second->ColdLeft(aNow) + kColdChange;
      const auto id = aRecord.id;
      it->second->Update(std::move(aRecord), aNow);
      if (changed) {
        NoteChanged(id);
      }
      return;
    }
    Remove(aRecord.id, "replaced");
  }
  mProcess.log.Write(
    "server_added",
    { { "server", aRecord.id },
      { "group", aRecord.group },
      { "domain", aRecord.failureDomain },
      { "cold_ms", static_cast<std::int64_t>(aRecord.coldLeft.count()) } });
  auto& group = Group(aRecord.group);
  auto server = std::make_shared<BackendServer>(mProcess, std::move(aRecord));
  ApplyShare(*server);
  group.servers.push_back(server);
  QueueWarm(server);
  const auto id = server->Record().id;
  mById.emplace(id, std::move(server));
  NoteChanged(id);
  mProcess.metrics.Set(process::Gauge::ServersKnown,
                       static_cast<double>(mById.size()));
}

void ServerRegistry::Remove(const ServerId& aId, std::string_view aReason)
{
  const auto it = mById.find(aId);
  if (it == mById.end()) {
    return;
  }
  const auto server = it->second;
  mById.erase(it);
  std::erase(Group(server->Record().group).servers, server);
  mProcess.log.Write("server_removed",
                     { { "server", server->Record().id },
                       { "group", server->Record().group },
                       { "reason", aReason } });
  mProcess.metrics.Set(process::Gauge::ServersKnown,
                       static_cast<double>(mById.size()));
  server->Retire();
  mChanges.OnRemoved(server->Record().id);
  if (mOnChange) {
    mOnChange();
  }
}

void ServerRegistry::WarmAll()
{
  for (const auto& [id, server] : mById) {
    QueueWarm(server);
  }
}

void ServerRegistry::QueueWarm(const std::shared_ptr<BackendServer>& aServer)
{
  if (!mProcess.fleetShares.IsServing()) {
    return;
  }
  mWarmQueue.push_back(aServer);
  if (mWarmQueue.size() == 1) {
    ScheduleWarm();
  }
}

void ServerRegistry::ScheduleWarm()
{
  mProcess.timers.At(std::chrono::steady_clock::now() + kWarmPace, [this] {
    if (const auto server = mWarmQueue.front().lock()) {
      server->Warm();
    }
    mWarmQueue.pop_front();
    if (!mWarmQueue.empty()) {
      ScheduleWarm();
    }
  });
}

void ServerRegistry::NoteChanged(const ServerId& aServer)
{
  mChanges.OnChanged(aServer);
  if (mOnChange) {
    mOnChange();
  }
}

void ServerRegistry::OnChange(std::function<void()> aHandler)
{
  mOnChange = std::move(aHandler);
}

void ServerRegistry::SetWithdrawn(const FailureDomain& aDomain, bool aWithdrawn)
{
  const bool changed = aWithdrawn ? mWithdrawn.insert(aDomain).second
                                  : mWithdrawn.erase(aDomain) > 0;
  if (changed) {
    mProcess.log.Write("domain_withdrawn",
                       { { "domain", aDomain }, { "withdrawn", aWithdrawn } });
    if (mOnChange) {
      mOnChange();
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
  const bool checking = !mNotQuiet.empty();
  mNotQuiet[aDomain] = std::chrono::steady_clock::now();
  if (!checking) {
    CheckQuiet();
  }
}

void ServerRegistry::CheckQuiet()
{
  const auto now = std::chrono::steady_clock::now();
  std::map<FailureDomain, std::size_t> inFlight;
  for (const auto& [id, server] : mById) {
    inFlight[server->Record().failureDomain] += server->InFlight();
  }
  std::size_t left = 0;
  std::erase_if(mNotQuiet, [&](const auto& aEntry) {
    const auto& [domain, since] = aEntry;
    if (!mWithdrawn.contains(domain)) {
      return true;
    }
    left += inFlight[domain];
    if (inFlight[domain] > 0) {
      return false;
    }
    mProcess.log.Write(
      "domain_quiet",
      { { "domain", domain }, { "after_ms", Milliseconds(now - since) } });
    return true;
  });
  mProcess.metrics.Set(process::Gauge::WithdrawnInFlight,
                       static_cast<double>(left));
  if (!mNotQuiet.empty()) {
    mProcess.timers.At(now + kQuietPoll, [this] { CheckQuiet(); });
  }
}

void ServerRegistry::ApplyShare(BackendServer& aServer) const
{
  const auto it = mConnectionShares.find(aServer.Record().group);
  if (it != mConnectionShares.end()) {
    aServer.SetConnectionShare(it->second);
  }
}

void ServerRegistry::ApplyLimits(const RouteTable& aTable, unsigned aInstances)
{
  for (const auto& it : aTable.Config().groups) {
    mConnectionShares[it.name] = static_cast<std::size_t>(
      kConnectionsSharedOut * it.maxConnections / std::max(1U, aInstances));
  }
  for (const auto& [id, server] : mById) {
    ApplyShare(*server);
  }
}

GroupState& ServerRegistry::Group(const std::string& aName)
{
  auto& group = mGroups[aName];
  if (!group) {
    group = std::make_unique<GroupState>();
    group->name = aName;
  }
  return *group;
}

bool ServerRegistry::MayUse(const BackendServer& aServer, TimePoint aNow) const
{
  return aServer.Usable(aNow) &&
         !mWithdrawn.contains(aServer.Record().failureDomain);
}

std::vector<std::pair<double, BackendServer*>> ServerRegistry::ByCost(
  const GroupState& aGroup,
  const RequestView& aRequest,
  const UsedServers& aAvoid,
  TimePoint aNow) const
{
  std::vector<std::pair<double, BackendServer*>> candidates;
  candidates.reserve(aGroup.servers.size());
  for (const auto& it : aGroup.servers) {
    const bool avoid =
      std::find(aAvoid.begin(), aAvoid.end(), it.get()) != aAvoid.end();
    if (avoid || !MayUse(*it, aNow)) {
      continue;
    }
    double cost = ReplicaCost(it->View(aNow), aRequest);
    if (it->Cold(aNow)) {
      cost += aRequest.objectiveMs;
    }
    candidates.emplace_back(cost, it.get());
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

std::shared_ptr<BackendServer> ServerRegistry::Choose(
  GroupState& aGroup,
  const RequestView& aRequest,
  const UsedServers& aAvoid,
  TimePoint aNow)
{
  for (const auto& [cost, server] : ByCost(aGroup, aRequest, aAvoid, aNow)) {
    if (server->TakeAllowance(aNow)) {
      return server->shared_from_this();
    }
  }
  return nullptr;
}

std::vector<std::shared_ptr<BackendServer>> ServerRegistry::Best(
  const GroupState& aGroup,
  const RequestView& aRequest,
  std::size_t aCount,
  TimePoint aNow) const
{
  std::vector<std::shared_ptr<BackendServer>> best;
  for (const auto& [cost, server] : ByCost(aGroup, aRequest, {}, aNow)) {
    if (best.size() < aCount) {
      best.push_back(server->shared_from_this());
    }
  }
  return best;
}

std::shared_ptr<BackendServer> ServerRegistry::Find(const ServerId& aId) const
{
  const auto it = mById.find(aId);
  return it == mById.end() ? nullptr : it->second;
}

bool ServerRegistry::HasUsable(const GroupState& aGroup, TimePoint aNow) const
{
  return std::any_of(aGroup.servers.begin(),
                     aGroup.servers.end(),
                     [&](const auto& aIt) { return MayUse(*aIt, aNow); });
}

std::vector<ServerId> ServerRegistry::Ids() const
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
      records.back().coldLeft = server->ColdLeft(aNow);
    }
  }
  return records;
}

template<typename Predicate>
double ServerRegistry::ShareOfShards(const RouteTable& aTable,
                                     Predicate aUsable)
{
  std::set<std::string_view> groups;
  for (const auto& it : aTable.Config().routes) {
    groups.insert(it.shards.begin(), it.shards.end());
  }
  if (groups.empty()) {
    return 1;
  }
  const auto covered =
    std::count_if(groups.begin(), groups.end(), [&](const auto aName) {
      const auto& servers = Group(std::string(aName)).servers;
      return std::any_of(servers.begin(), servers.end(), aUsable);
    });
  return static_cast<double>(covered) / static_cast<double>(groups.size());
}

double ServerRegistry::Locality(const RouteTable& aTable,
                                const FailureDomain& aDomain,
                                TimePoint aNow)
{
  return ShareOfShards(aTable, [&](const auto& aIt) {
    return aIt->Record().failureDomain == aDomain && MayUse(*aIt, aNow);
  });
}

double ServerRegistry::Coverage(const RouteTable& aTable, TimePoint aNow)
{
  return ShareOfShards(aTable,
                       [&](const auto& aIt) { return MayUse(*aIt, aNow); });
}

} // namespace bronzedeal::gateway
