#include "bronzedeal/request/replica_chooser.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_set>

namespace bronzedeal::request {

namespace {

using Microseconds = std::chrono::duration<float, std::micro>;

/// Step of the running median. A mean follows single stragglers, after which
/// all instances leave the server and overload the other replica.
constexpr float kLatencyStep = 0.1F;
/// Latency assumed for a server without observations, in microseconds.
constexpr float kUnknownLatency = 1000;

/// Share of its weight that an observation has left after `aAge`.
double Decay(Duration aAge, Duration aHalfLife) noexcept
{
  return std::exp2(-std::chrono::duration<double>(aAge).count() /
                   std::chrono::duration<double>(aHalfLife).count());
}

} // namespace

ReplicaChooser::ReplicaChooser(std::mt19937_64 aRandom)
  : ReplicaChooser(aRandom, Options{})
{
}

ReplicaChooser::ReplicaChooser(std::mt19937_64 aRandom, const Options& aOptions)
  : mRandom(aRandom)
  , mOptions(aOptions)
{
}

ReplicaChooser::Index ReplicaChooser::IndexOf(std::string_view aServer,
                                              TimePoint aNow)
{
  if (const auto it = mIndex.find(aServer); it != mIndex.end()) {
    return it->second;
  }
  auto index = static_cast<Index>(mServers.size());
  if (!mRemoved.empty() &&
      aNow - mRemoved.front().at >= mOptions.indexReuseAfter) {
    index = mRemoved.front().index;
    mRemoved.pop_front();
    mServers[index] = {};
  } else {
    mServers.emplace_back();
  }
  mIndex.emplace(aServer, index);
  return index;
}

std::uint32_t ReplicaChooser::Random(std::uint32_t aBound)
{
  return aBound <= 1 ? 0 : static_cast<std::uint32_t>(mRandom() % aBound);
}

bool ReplicaChooser::Saturated(const Server& aServer,
                               TimePoint aNow) const noexcept
{
  if (aNow < aServer.saturatedUntil) {
    return true;
  }
  const auto& load = aServer.load;
  return load.slots > 0 && aNow - aServer.loadAt < mOptions.saturatedFor &&
         load.queued >= load.slots * mOptions.saturatedQueue;
}

bool ReplicaChooser::Cold(const Server& aServer, TimePoint aNow) const noexcept
{
  return aServer.load.slots > 0 &&
         aServer.load.allowance < aServer.load.slots &&
         aNow - aServer.loadAt < mOptions.coldFor;
}

bool ReplicaChooser::HasRoom(const Server& aServer,
                             TimePoint aNow) const noexcept
{
  const auto reported =
    Decay(aNow - aServer.loadAt, mOptions.loadHalfLife) *
    static_cast<double>(aServer.load.inFlight + aServer.load.queued);
  return std::max(static_cast<double>(aServer.inFlight), reported) <
         static_cast<double>(aServer.load.allowance);
}

int ReplicaChooser::Avoidance(const Server& aServer,
                              TimePoint aNow) const noexcept
{
  if (aServer.leaving || aNow < aServer.leavingUntil) {
    return 4;
  }
  if (!aServer.owned || aNow < aServer.ownerlessUntil ||
      aNow < aServer.lostUntil) {
    return 3;
  }
  if (Saturated(aServer, aNow)) {
    return 2;
  }
  return Cold(aServer, aNow) ? kColdClass : 0;
}

bool ReplicaChooser::AllowsHedge(Index aServer, TimePoint aNow) const noexcept
{
  return Avoidance(mServers[aServer], aNow) == 0;
}

double ReplicaChooser::Cost(const Server& aServer,
                            TimePoint aNow) const noexcept
{
  // A slow server is tried again once its observations are old.
  const double latency = aServer.latency > 0 ? double{ aServer.latency } *
                                                 Decay(aNow - aServer.latencyAt,
                                                       mOptions.latencyHalfLife)
                                             : double{ kUnknownLatency };
  auto pending = static_cast<double>(aServer.inFlight);
  double slots = 1;
  if (aServer.load.slots > 0) {
    slots = aServer.load.slots;
    pending += Decay(aNow - aServer.loadAt, mOptions.loadHalfLife) *
               static_cast<double>(aServer.load.inFlight + aServer.load.queued);
  }
  return latency * (1 + pending / slots);
}

std::size_t ReplicaChooser::Choose(std::span<const Index> aCandidates,
                                   TimePoint aNow)
{
  if (aCandidates.size() == 1) {
    return 0;
  }
  // Replicas beyond 32 are not used, see QueryRun.
  std::array<std::uint8_t, 32> usable{};
  std::array<std::uint8_t, 32> cold{};
  std::size_t usableCount = 0;
  std::size_t coldCount = 0;
  int lowest = 5;
  const auto n = std::min(aCandidates.size(), usable.size());
  for (std::size_t i = 0; i < n; ++i) {
    const auto avoidance = Avoidance(mServers[aCandidates[i]], aNow);
    if (avoidance == kColdClass && HasRoom(mServers[aCandidates[i]], aNow)) {
      cold[coldCount++] = static_cast<std::uint8_t>(i);
    }
    if (avoidance < lowest) {
      lowest = avoidance;
      usableCount = 0;
    }
    if (avoidance == lowest) {
      usable[usableCount++] = static_cast<std::uint8_t>(i);
    }
  }
  // A cold server becomes warm only by completions; one with room is kept busy.
  if (lowest == 0 && coldCount > 0 && Random(100) < mOptions.coldPercent) {
    return cold[Random(static_cast<std::uint32_t>(coldCount))];
  }
  if (usableCount == 1) {
    return usable[0];
  }
  const auto first = Random(static_cast<std::uint32_t>(usableCount));
  auto second = Random(static_cast<std::uint32_t>(usableCount - 1));
  second += second >= first ? 1 : 0;
  const auto a = usable[first];
  const auto b = usable[second];
  return Cost(mServers[aCandidates[b]], aNow) <
             Cost(mServers[aCandidates[a]], aNow)
           ? b
           : a;
}

void ReplicaChooser::OnDispatch(Index aServer) noexcept
{
  ++mServers[aServer].inFlight;
}

void ReplicaChooser::Observe(Server& aServer,
                             Duration aLatency,
                             TimePoint aNow) noexcept
{
  const auto us =
    std::max(std::chrono::duration_cast<Microseconds>(aLatency).count(), 1.0F);
  if (aServer.latency <= 0) {
    aServer.latency = us;
  } else {
    aServer.latency *=
      us > aServer.latency ? 1 + kLatencyStep : 1 / (1 + kLatencyStep);
  }
  aServer.latencyAt = aNow;
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
    server.loadAt = aNow;
    if (aLoad.leaving) {
      server.leavingUntil = aNow + mOptions.leavingFor;
    }
  }
  switch (aCode) {
    case ResultCode::Ok:
      Observe(server, aLatency, aNow);
      server.lostUntil = {};
      server.ownerlessUntil = {};
      break;
    case ResultCode::NotRunShed:
    case ResultCode::NotRunOverloaded:
    case ResultCode::NotRunDeadline:
      server.saturatedUntil = aNow + mOptions.saturatedFor;
      break;
    case ResultCode::NotRunNoOwner:
    case ResultCode::NotRunFenced:
      server.ownerlessUntil = aNow + mOptions.ownerlessFor;
      break;
    case ResultCode::NotRunLeaving:
    case ResultCode::NotRunWithdrawn:
      server.leavingUntil = aNow + mOptions.leavingFor;
      break;
    case ResultCode::NotRunUnreachable:
    case ResultCode::ShardServerLost:
    case ResultCode::OutcomeUnknown:
      server.lostUntil = aNow + mOptions.lostFor;
      break;
    case ResultCode::ShardTimeout:
      Observe(server, aLatency, aNow);
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
  // The latency was at least this long; a lower bound says nothing else.
  if (std::chrono::duration_cast<Microseconds>(aWaited).count() >
      server.latency) {
    Observe(server, aWaited, aNow);
  }
}

void ReplicaChooser::SetLeaving(Index aServer, bool aLeaving) noexcept
{
  mServers[aServer].leaving = aLeaving;
}

void ReplicaChooser::SetOwned(Index aServer, bool aOwned) noexcept
{
  mServers[aServer].owned = aOwned;
}

void ReplicaChooser::Retain(std::span<const ServerId> aServers, TimePoint aNow)
{
  const std::unordered_set<std::string_view> kept(aServers.begin(),
                                                  aServers.end());
  for (auto it = mIndex.begin(); it != mIndex.end();) {
    if (kept.contains(it->first)) {
      ++it;
      continue;
    }
    mRemoved.push_back({ it->second, aNow });
    it = mIndex.erase(it);
  }
}

std::uint32_t ReplicaChooser::InFlight(Index aServer) const noexcept
{
  return mServers[aServer].inFlight;
}

} // namespace bronzedeal::request
