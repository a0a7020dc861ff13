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

/// Chooses the replica for an attempt. Compares the estimated delay of two
/// random candidates (power of two choices), based on this instance's own
/// latencies and attempts in flight, and on the load that owners attach to
/// answers, which loses weight with its age. Servers that are leaving, have no
/// owner, are disconnected, saturated or cold are chosen only when no better
/// candidate is left, except for the share of choices that warms up a cold
/// server. Not thread safe: the caller synchronizes access.
class ReplicaChooser
{
public:
  /// Identifies a server within this object.
  using Index = std::uint32_t;

  struct Options
  {
    /// Half-life of the weight of the load attached to an answer.
    Duration loadHalfLife = milliseconds(100);
    /// Half-life of this instance's own median latency of a server.
    Duration latencyHalfLife = std::chrono::seconds(2);
    /// How long a reported allowance below the slots marks a server as cold.
    Duration coldDuration = std::chrono::seconds(5);
    /// Share of choices, in percent, that go to a cold server although a warm
    /// one is available, while the allowance of the cold server is not used up:
    /// a server becomes warm only by completed requests. With 5%, a server took
    /// 4 times the ideal time to become warm.
    std::uint32_t coldChoicePercent = 50;
    /// Queued requests per slot from which a server counts as saturated.
    std::uint32_t saturatedQueuePerSlot = 4;
    /// How long a refusal because of load, or a reported queue, marks a server
    /// as saturated.
    Duration saturatedDuration = milliseconds(50);
    /// How long `NotRunNoOwner` and `NotRunFenced` mark a server as being
    /// without an owner; a takeover takes up to 2.5 s.
    Duration ownerlessDuration = milliseconds(250);
    /// How long `NotRunLeaving`, `NotRunWithdrawn` and a reported drain mark a
    /// server as leaving.
    Duration leavingDuration = std::chrono::seconds(3);
    /// How long a broken or failed connection marks a server as disconnected.
    Duration disconnectedDuration = milliseconds(500);
    /// How long the index of a removed server is not reused; longer than the
    /// longest deadline, so that no query in progress still holds the index.
    Duration indexReuseDelay = std::chrono::seconds(60);
  };

  explicit ReplicaChooser(std::mt19937_64 aGenerator);
  ReplicaChooser(std::mt19937_64 aGenerator, const Options& aOptions);

  /// Returns the index of a server; adds the server when it is unknown.
  [[nodiscard]] Index FindOrAdd(std::string_view aServer, TimePoint aNow);

  /// Returns the position in `aCandidates` of the server to use. `aCandidates`
  /// must not be empty; only the first 32 are considered.
  [[nodiscard]] std::size_t Choose(std::span<const Index> aCandidates,
                                   TimePoint aNow);

  /// False for servers that must not receive hedges: those that are leaving,
  /// without an owner, disconnected, saturated or cold.
  [[nodiscard]] bool AllowsHedge(Index aServer, TimePoint aNow) const noexcept;

  /// Counts an attempt as in flight until `OnAnswer` or `OnCancel`.
  void OnDispatch(Index aServer) noexcept;
  /// Records the result of an attempt: its latency, the attached load, and any
  /// mark that the code implies.
  void OnAnswer(Index aServer,
                ResultCode aCode,
                Duration aLatency,
                const ServerLoad& aLoad,
                TimePoint aNow) noexcept;
  /// Records that an attempt was given up `aWaited` after its dispatch.
  void OnCancel(Index aServer, Duration aWaited, TimePoint aNow) noexcept;

  /// From the platform's list of servers.
  void SetLeaving(Index aServer, bool aLeaving) noexcept;
  /// From the slices that the members own.
  void SetHasOwner(Index aServer, bool aHasOwner) noexcept;

  /// Removes all servers that are not in `aServers`.
  void RetainOnly(std::span<const ServerId> aServers, TimePoint aNow);

  /// Attempts of this instance that are in flight on the server.
  [[nodiscard]] std::uint32_t InFlight(Index aServer) const noexcept;
  /// Number of known servers.
  [[nodiscard]] std::size_t size() const noexcept
  {
    return mIndexByServer.size();
  }

  /// Returns a random number below `aBound`; 0 when `aBound` is 0.
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

  /// Returns 0 for a usable server. A server of a higher rank is chosen only
  /// when all candidates have at least that rank.
  [[nodiscard]] int AvoidanceRank(const Server& aServer,
                                  TimePoint aNow) const noexcept;
  [[nodiscard]] bool IsSaturated(const Server& aServer,
                                 TimePoint aNow) const noexcept;
  [[nodiscard]] bool IsCold(const Server& aServer,
                            TimePoint aNow) const noexcept;
  /// True when the server has fewer requests in flight than its allowance, as
  /// far as this instance knows.
  [[nodiscard]] bool HasFreeAllowance(const Server& aServer,
                                      TimePoint aNow) const noexcept;
  /// Moves the running median one step towards the latency.
  static void UpdateLatency(Server& aServer,
                            Duration aLatency,
                            TimePoint aNow) noexcept;
  /// Expected time to an answer, in microseconds: the latency, scaled by the
  /// pending requests per slot.
  [[nodiscard]] double EstimatedDelay(const Server& aServer,
                                      TimePoint aNow) const noexcept;

  std::mt19937_64 mGenerator;
  Options mOptions;
  std::unordered_map<ServerId, Index, Hash, std::equal_to<>> mIndexByServer;
  std::vector<Server> mServers;
  std::deque<RemovedServer> mRemovedServers;
};

} // namespace bronzedeal::request
