#pragma once

#include "bronzedeal/gateway/http_message.hpp"
#include "bronzedeal/gateway/partial_query.hpp"
#include "bronzedeal/gateway/peer_pool.hpp"
#include "bronzedeal/gateway/process.hpp"
#include "bronzedeal/gateway/server_registry.hpp"
#include "bronzedeal/gateway/used_servers.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace bronzedeal::gateway {

/// The final reply is sent this long before the deadline.
inline constexpr auto kAnswerMargin = milliseconds(30);

/// Called at most once, with the reply to the caller.
using ReplyHandler = std::function<void(CallerReply)>;

/// One caller request in progress. Ends with exactly one call of its
/// `ReplyHandler`, unless it is cancelled first.
class Exchange
{
public:
  Exchange() = default;
  virtual ~Exchange() = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Call when the process is about to stop. Replies now: with the answer as
  /// far as it is known, else with what is true of a request that may have run.
  virtual void Conclude() = 0;

  /// Call when the caller has disconnected. Sends no reply; requests still
  /// running at servers are aborted after a short grace time.
  virtual void Cancel() = 0;

  /// Ends the exchange without a reply, so that another instance can serve the
  /// request. Returns false and changes nothing if a server has answered, or if
  /// the exchange doesn't send to servers itself. Attempts in progress go on
  /// until the deadline, or until `Cancel` is called: late answers show that
  /// servers can be reached.
  [[nodiscard]] virtual bool TryRelease() { return false; }
};

/// Number of shards that an answer on a fan-out route must include; at least 1.
[[nodiscard]] std::size_t RequiredShardCount(const Route& aRoute) noexcept;

/// Moving estimate of the median server latency of each route.
class RouteLatency
{
public:
  /// Estimated median in milliseconds; a sixth of the route's objective until
  /// there are samples.
  [[nodiscard]] double MedianMs(const Route& aRoute) const;
  void AddSample(const Route& aRoute, Duration aLatency);

private:
  std::unordered_map<std::string, double> mMedianMs;
};

/// State shared by all exchanges. The referenced objects live as long as the
/// process.
struct ExchangeContext
{
  Process& process;
  ServerRegistry& servers;
  RouteLatency& latency;
  PeerPool& peers;
};

/// A caller request with its matched route and the configuration version that
/// the route comes from.
struct RoutedRequest
{
  CallerRequest caller;
  /// Shares ownership of the route table of that version.
  std::shared_ptr<const Route> route;
  ConfigVersion version = 0;
  /// Time of the final answer at the latest: the route's timeout, or the
  /// caller's own deadline if that is earlier.
  TimePoint deadline{};
  /// Set if the request was handed over, or may be. Servers that are there
  /// before an exchange begins count as its own.
  std::shared_ptr<UsedServers> usedServers;
  /// The request is sent to one server only, to learn whether servers answer;
  /// a query goes on once one has.
  bool isTrial = false;
};

/// Whether and how a request may be sent, as its content has crashed servers
/// before.
struct ContentPermit
{
  ContentVerdict verdict = ContentVerdict::Free;
  /// Set when the request must be refused: time until the caller may return.
  std::optional<Duration> refusedFor;
  /// Held by the only request of a suspect content.
  std::shared_ptr<void> trial;
};

/// `aDeadline` is the time of the final answer at the latest.
[[nodiscard]] ContentPermit ObtainContentPermit(Process& aProcess,
                                                const ContentId& aContent,
                                                TimePoint aNow,
                                                TimePoint aDeadline);

[[nodiscard]] ContentId ContentIdOf(const RequestMessage& aRequest);

/// Builds the request that all attempts at servers share.
[[nodiscard]] std::shared_ptr<ServerRequest> MakeServerRequest(
  const ExchangeContext& aContext,
  const RoutedRequest& aRequest);

/// Time until which an attempt may stay open whose result is no longer needed:
/// another attempt has answered, the reply was sent, or the caller has left. A
/// late response is dropped, but leaves the connection reusable.
[[nodiscard]] TimePoint LateResponseDeadline(const RoutedRequest& aRequest,
                                             TimePoint aNow) noexcept;

/// The same for the attempts of a request that another instance serves now.
[[nodiscard]] TimePoint ReleasedAttemptDeadline(
  const RoutedRequest& aRequest) noexcept;

/// True for statuses that tell a caller that the request has not run.
[[nodiscard]] constexpr bool ImpliesNotRun(unsigned aStatus) noexcept
{
  return aStatus == 408 || aStatus == 429 || aStatus == 503;
}

/// Why a request ends while attempts are in progress.
enum class UnansweredEnd
{
  /// Its time is over, or the instance stops.
  Concluded,
  CallerLeft,
};

/// True if an attempt that is in progress when its request ends should have
/// been answered: the server had the objective's time, and this instance
/// doesn't end the request before its deadline.
[[nodiscard]] bool IsOverdue(const Attempt& aAttempt,
                             const RoutedRequest& aRequest,
                             UnansweredEnd aEnd,
                             TimePoint aNow) noexcept;

/// Sends the request to one server of the group, and retries or hedges on
/// others as the route and the group's retry budget allow.
std::shared_ptr<Exchange> StartSingleExchange(const ExchangeContext& aContext,
                                              RoutedRequest aRequest,
                                              const std::string& aGroup,
                                              ReplyHandler aReply);

/// Sends the request to one server of each shard and merges the top records.
/// Shards whose best server is in another failure domain are queried through an
/// instance there where possible.
std::shared_ptr<Exchange> StartFanoutExchange(const ExchangeContext& aContext,
                                              RoutedRequest aRequest,
                                              ReplyHandler aReply);

/// Runs a partial query for another instance and replies with the merged
/// records of its shards.
std::shared_ptr<Exchange> StartPartialExchange(const ExchangeContext& aContext,
                                               CallerRequest aRequest,
                                               const PartialQuery& aQuery,
                                               ReplyHandler aReply);

} // namespace bronzedeal::gateway
