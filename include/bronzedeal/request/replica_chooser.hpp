#pragma once

#include "bronzedeal/request/attempt.hpp"
#include "bronzedeal/types.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzedeal::request {

/// Chooses a replica by this instance's own observations first and by the load
/// that owners attach to answers second, which loses weight with its age.
/// Compares two random candidates (power of two choices). Servers that are
/// leaving, without an owner, cold or saturated are chosen only when no other
/// candidate is left, except for a small share of choices that warms up a cold
/// server. Not thread safe: guarded by the caller.
class ReplicaChooser
{
public:
  using Index = std::uint32_t;

  struct Options
  {
    /// Half-life of the load attached to an answer.
    Duration loadHalfLife = milliseconds(100);
    /// Half-life of this instance's own median latency of a server.
    Duration latencyHalfLife = std::chrono::seconds(2);
    /// How long an answer's allowance below the slots marks a server as cold.
    Duration coldDuration = std::chrono::seconds(5);
    /// Share of choices that go to a cold server beside a warm one while its
    /// allowance is not used up: it becomes warm only by completions. With 5%
    /// a server took 4 times the ideal time to become warm.
    std::uint32_t coldChoicePercent = 50;
    /// Queued requests per slot from which a server counts as saturated.
    std::uint32_t saturatedQueuePerSlot = 4;
    /// How long a refusal (shed, overloaded) marks a server as saturated.
    Duration saturatedDuration = milliseconds(50);
    /// How long `NotRunNoOwner` marks a server; a takeover takes up to 2.5 s.
    Duration ownerlessDuration = milliseconds(250);
    /// How long `NotRunLeaving` and `NotRunWithdrawn` mark a server.
    Duration leavingDuration = std::chrono::seconds(3);
    /// How long a broken connection marks a server.
    Duration disconnectedDuration = milliseconds(500);
    /// How long a removed server's index is not used again; longer than the
    /// longest deadline, so that no query in progress holds the index.
    Duration indexReuseDelay = std::chrono::seconds(60);
  };

  explicit ReplicaChooser(std::mt19937_64 aGenerator);
  ReplicaChooser(std::mt19937_64 aGenerator, const Options& aOptions);

  /// The index of a server, which is added when it is not known.
  [[nodiscard]] Index FindOrAdd(std::string_view aServer, TimePoint aNow);

  /// Position in `aCandidates` of the server to use. `aCandidates` must not be
  /// empty.
  [[nodiscard]] std::size_t Choose(std::span<const Index> aCandidates,
                                   TimePoint aNow);

  /// False for servers that a hedge must not go to: leaving, without an owner,
  /// cold, saturated or lost.
  [[nodiscard]] bool AllowsHedge(Index aServer, TimePoint aNow) const noexcept;

  /// Counts an attempt as in flight until `OnAnswer` or `OnCancel`.
  void OnDispatch(Index aServer) noexcept;
  void OnAnswer(Index aServer,
                ResultCode aCode,
                Duration aLatency,
                const ServerLoad& aLoad,
                TimePoint aNow) noexcept;
  /// The attempt was given up after `aWaited`.
  void OnCancel(Index aServer, Duration aWaited, TimePoint aNow) noexcept;

  /// From the platform's list of servers and the members' hasOwner slices.
  void SetLeaving(Index aServer, bool aLeaving) noexcept;
  void SetHasOwner(Index aServer, bool aHasOwner) noexcept;

  /// Removes every server that is not listed, after a new configuration.
  void RetainOnly(std::span<const ServerId> aServers, TimePoint aNow);

  [[nodiscard]] std::uint32_t InFlight(Index aServer) const noexcept;
  [[nodiscard]] std::size_t size() const noexcept
  {
    return mIndexByServer.size();
  }

  /// A number below `aBound` from the injected generator.
  [[nodiscard]] std::uint32_t RandomBelow(std::uint32_t aBound);

private:
  struct Server
  {
    std::uint32_t inFlight = 0;
    /// Running median in microseconds; 0 when unknown.
    float medianLatencyUs = 0;
    TimePoint latencyUpdatedAt{};
    ServerLoad load;
    TimePoint loadReceivedAt{};
    TimePoint saturatedUntil{};
    TimePoint ownerlessUntil{};
    TimePoint leavingUntil{};
    TimePoint disconnectedUntil{};
    bool leaving = false;
    bool hasOwner = true;
  };
  struct RemovedServer
  {
    Index index;
    TimePoint at;
  };
  struct Hash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const noexcept
    {
      return std::hash<std::string_view>{}(aText);
    }
  };

  static constexpr int kColdRank = 1;

  /// 0 usable; higher classes are chosen only when no lower one is left.
  [[nodiscard]] int AvoidanceRank(const Server& aServer,
                                  TimePoint aNow) const noexcept;
  [[nodiscard]] bool IsSaturated(const Server& aServer,
                                 TimePoint aNow) const noexcept;
  [[nodiscard]] bool IsCold(const Server& aServer,
                            TimePoint aNow) const noexcept;
  /// A cold server that its allowance leaves idle, as far as is known here.
  [[nodiscard]] bool HasFreeAllowance(const Server& aServer,
                                      TimePoint aNow) const noexcept;
  static void UpdateLatency(Server& aServer,
                            Duration aLatency,
                            TimePoint aNow) noexcept;
  [[nodiscard]] double EstimatedDelay(const Server& aServer,
                                      TimePoint aNow) const noexcept;

  std::mt19937_64 mGenerator;
  Options mOptions;
  std::unordered_map<ServerId, Index, Hash, std::equal_to<>> mIndexByServer;
  std::vector<Server> mServers;
  std::deque<RemovedServer> mRemovedServers;
};

} // namespace bronzedeal::request
