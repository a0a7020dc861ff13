#include "bronzedeal/request/replica_chooser.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_set>

namespace bronzedeal::request {

namespace {

using Microseconds = std::chrono::duration<float, std::micro>;

/// Relative step of the running median. A mean would follow single stragglers,
/// after which all instances would leave the server and overload the other
/// replica.
constexpr float kMedianStep = 0.1F;
/// Latency assumed for a server without observations.
constexpr float kDefaultLatencyUs = 1000;

/// Returns the share of its weight that an observation of age `aAge` has left.
double Decay(Duration aAge, Duration aHalfLife) noexcept
{
  return std::exp2(-std::chrono::duration<double>(aAge).count() /
                   std::chrono::duration<double>(aHalfLife).count());
}

} // namespace

ReplicaChooser::ReplicaChooser(std::mt19937_64 aGenerator)
  : ReplicaChooser(aGenerator, Options{})
{
}

ReplicaChooser::ReplicaChooser(std::mt19937_64 aGenerator,
                               const Options& aOptions)
  : mGenerator(aGenerator)
  , mOptions(aOptions)
{
}

ReplicaChooser::Index ReplicaChooser::FindOrAdd(std::string_view aServer,
                                                TimePoint aNow)
{
  if (const auto it = mIndexByServer.find(aServer);
      it != mIndexByServer.end()) {
    return it->second;
  }
  auto index = static_cast<Index>(mServers.size());
  if (!mRemovedServers.empty() &&
      aNow - mRemovedServers.front().at >= mOptions.indexReuseDelay) {
    index = mRemovedServers.front().index;
    mRemovedServers.pop_front();
    mServers[index] = {};
  } else {
    mServers.emplace_back();
  }
  mIndexByServer.emplace(aServer, index);
  return index;
}

std::uint32_t ReplicaChooser::RandomBelow(std::uint32_t aBound)
{
  return aBound <= 1 ? 0 : static_cast<std::uint32_t>(mGenerator() % aBound);
}

bool ReplicaChooser::IsSaturated(const Server& aServer,
                                 TimePoint aNow) const noexcept
{
  if (aNow < aServer.saturatedUntil) {
    return true;
  }
  const auto& load = aServer.load;
  return load.slots > 0 &&
         aNow - aServer.loadReceivedAt < mOptions.saturatedDuration &&
         load.queued >= load.slots * mOptions.saturatedQueuePerSlot;
}

bool ReplicaChooser::IsCold(const Server& aServer,
                            TimePoint aNow) const noexcept
{
  return aServer.load.slots > 0 &&
         aServer.load.allowance < aServer.load.slots &&
         aNow - aServer.loadReceivedAt < mOptions.coldDuration;
}

bool ReplicaChooser::HasFreeAllowance(const Server& aServer,
                                      TimePoint aNow) const noexcept
{
  const auto reportedPending =
    Decay(aNow - aServer.loadReceivedAt, mOptions.loadHalfLife) *
    static_cast<double>(aServer.load.inFlight + aServer.load.queued);
  return std::max(static_cast<double>(aServer.inFlight), reportedPending) <
         static_cast<double>(aServer.load.allowance);
}

int ReplicaChooser::AvoidanceRank(const Server& aServer,
                                  TimePoint aNow) const noexcept
{
  if (aServer.leaving || aNow < aServer.leavingUntil) {
    return 4;
  }
  if (!aServer.hasOwner || aNow < aServer.ownerlessUntil ||
      aNow < aServer.disconnectedUntil) {
    return 3;
  }
  if (IsSaturated(aServer, aNow)) {
    return 2;
  }
  return IsCold(aServer, aNow) ? kColdRank : 0;
}

bool ReplicaChooser::AllowsHedge(Index aServer, TimePoint aNow) const noexcept
{
  return AvoidanceRank(mServers[aServer], aNow) == 0;
}

double ReplicaChooser::EstimatedDelay(const Server& aServer,
                                      TimePoint aNow) const noexcept
{
  // The decay lowers the estimate of a slow server over time, so that it is
  // tried again once its observations are old.
  const double latencyUs =
    aServer.medianLatencyUs > 0
      ? double{ aServer.medianLatencyUs } *
          Decay(aNow - aServer.latencyUpdatedAt, mOptions.latencyHalfLife)
      : double{ kDefaultLatencyUs };
  auto pending = static_cast<double>(aServer.inFlight);
  double slots = 1;
  if (aServer.load.slots > 0) {
    slots = aServer.load.slots;
    pending += Decay(aNow - aServer.loadReceivedAt, mOptions.loadHalfLife) *
               static_cast<double>(aServer.load.inFlight + aServer.load.queued);
  }
  return latencyUs * (1 + pending / slots);
}

std::size_t ReplicaChooser::Choose(std::span<const Index> aCandidates,
                                   TimePoint aNow)
{
  if (aCandidates.size() == 1) {
    return 0;
  }
  // QueryRun uses at most 32 replicas of a shard.
  std::array<std::uint8_t, 32> usable{};
  std::array<std::uint8_t, 32> cold{};
  std::size_t usableCount = 0;
  std::size_t coldCount = 0;
  int lowestRank = 5; // above all ranks
  const auto n = std::min(aCandidates.size(), usable.size());
  for (std::size_t i = 0; i < n; ++i) {
    const auto rank = AvoidanceRank(mServers[aCandidates[i]], aNow);
    if (rank == kColdRank && HasFreeAllowance(mServers[aCandidates[i]], aNow)) {
      cold[coldCount++] = static_cast<std::uint8_t>(i);
    }
    if (rank < lowestRank) {
      lowestRank = rank;
      usableCount = 0;
    }
    if (rank == lowestRank) {
      usable[usableCount++] = static_cast<std::uint8_t>(i);
    }
  }
  // A server becomes warm only by completed requests, so a cold one with free
  // allowance gets a share of the choices.
  if (lowestRank == 0 && coldCount > 0 &&
      RandomBelow(100) < mOptions.coldChoicePercent) {
    return cold[RandomBelow(static_cast<std::uint32_t>(coldCount))];
  }
  if (usableCount == 1) {
    return usable[0];
  }
  const auto first = RandomBelow(static_cast<std::uint32_t>(usableCount));
  auto second = RandomBelow(static_cast<std::uint32_t>(usableCount - 1));
  second += second >= first ? 1 : 0;
  const auto a = usable[first];
  const auto b = usable[second];
  return EstimatedDelay(mServers[aCandidates[b]], aNow) <
             EstimatedDelay(mServers[aCandidates[a]], aNow)
           ? b
           : a;
}

void ReplicaChooser::OnDispatch(Index aServer) noexcept
{
  ++mServers[aServer].inFlight;
}

void ReplicaChooser::UpdateLatency(Server& aServer,
                                   Duration aLatency,
                                   TimePoint aNow) noexcept
{
  const auto us =
    std::max(std::chrono::duration_cast<Microseconds>(aLatency).count(), 1.0F);
  if (aServer.medianLatencyUs <= 0) {
    aServer.medianLatencyUs = us;
  } else {
    aServer.medianLatencyUs *=
      us > aServer.medianLatencyUs ? 1 + kMedianStep : 1 / (1 + kMedianStep);
  }
  aServer.latencyUpdatedAt = aNow;
}

void ReplicaChooser::OnAnswer(Index aServer,
                              ResultCode aCode,
                              Duration aLatency,
                              const ServerLoad& aLoad,
                              TimePoint aNow) noexcept
{
  auto& server = mServers[aServer];
  server.inFlight -= server.inFlight > 0 ? 1 : 0;
  if (aLoad.slots > 0) {
    server.load = aLoad;
    server.loadReceivedAt = aNow;
    if (aLoad.leaving) {
      server.leavingUntil = aNow + mOptions.leavingDuration;
    }
  }
  switch (aCode) {
    case ResultCode::Ok:
      UpdateLatency(server, aLatency, aNow);
      server.disconnectedUntil = {};
      server.ownerlessUntil = {};
      break;
    case ResultCode::NotRunShed:
    case ResultCode::NotRunOverloaded:
    case ResultCode::NotRunDeadline:
      server.saturatedUntil = aNow + mOptions.saturatedDuration;
      break;
    case ResultCode::NotRunNoOwner:
    case ResultCode::NotRunFenced:
      server.ownerlessUntil = aNow + mOptions.ownerlessDuration;
      break;
    case ResultCode::NotRunLeaving:
    case ResultCode::NotRunWithdrawn:
      server.leavingUntil = aNow + mOptions.leavingDuration;
      break;
    case ResultCode::NotRunUnreachable:
    case ResultCode::ShardServerLost:
    case ResultCode::OutcomeUnknown:
      server.disconnectedUntil = aNow + mOptions.disconnectedDuration;
      break;
    case ResultCode::ShardTimeout:
      UpdateLatency(server, aLatency, aNow);
      break;
    default:
      break;
  }
}

void ReplicaChooser::OnCancel(Index aServer,
                              Duration aWaited,
                              TimePoint aNow) noexcept
{
  auto& server = mServers[aServer];
  server.inFlight -= server.inFlight > 0 ? 1 : 0;
  // The true latency is at least `aWaited`, so only a wait above the median is
  // informative.
  if (std::chrono::duration_cast<Microseconds>(aWaited).count() >
      server.medianLatencyUs) {
    UpdateLatency(server, aWaited, aNow);
  }
}

void ReplicaChooser::SetLeaving(Index aServer, bool aLeaving) noexcept
{
  mServers[aServer].leaving = aLeaving;
}

void ReplicaChooser::SetHasOwner(Index aServer, bool aHasOwner) noexcept
{
  mServers[aServer].hasOwner = aHasOwner;
}

void ReplicaChooser::RetainOnly(std::span<const ServerId> aServers,
                                TimePoint aNow)
{
  const std::unordered_set<std::string_view> kept(aServers.begin(),
                                                  aServers.end());
  for (auto it = mIndexByServer.begin(); it != mIndexByServer.end();) {
    if (kept.contains(it->first)) {
      ++it;
      continue;
    }
    mRemovedServers.push_back({ it->second, aNow });
    it = mIndexByServer.erase(it);
  }
}

std::uint32_t ReplicaChooser::InFlight(Index aServer) const noexcept
{
  return mServers[aServer].inFlight;
}

} // namespace bronzedeal::request
