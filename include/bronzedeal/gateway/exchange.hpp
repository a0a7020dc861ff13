#pragma once

#include "bronzedeal/gateway/http_message.hpp"
#include "bronzedeal/gateway/partial_query.hpp"
#include "bronzedeal/gateway/peer_pool.hpp"
#include "bronzedeal/gateway/process.hpp"
#include "bronzedeal/gateway/server_registry.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace bronzedeal::gateway {

/// Called once with the answer.
using ReplyHandler = std::function<void(CallerReply)>;

/// A caller's request on its way; ends with one reply, unless it is abandoned.
class Exchange
{
public:
  Exchange() = default;
  virtual ~Exchange() = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// The caller has left: no reply, and servers stop soon.
  virtual void Cancel() = 0;
};

/// Usual latency of a route's requests at their servers, a moving median.
class RouteLatency
{
public:
  /// Milliseconds; a fraction of the objective until there are samples.
  [[nodiscard]] double MedianMs(const Route& aRoute) const;
  void AddSample(const Route& aRoute, Duration aLatency);

private:
  std::unordered_map<std::string, double> mMedianMs;
};

/// What all exchanges share; lives as long as the process.
struct ExchangeContext
{
  Process& process;
  ServerRegistry& servers;
  RouteLatency& latency;
  PeerPool& peers;
};

/// One request, the route that it takes, and the version that names the route.
struct RoutedRequest
{
  CallerRequest caller;
  /// Keeps the version's table alive.
  std::shared_ptr<const Route> route;
  ConfigVersion version = 0;
  /// When the caller has its final answer: the route's timeout, or earlier when
  /// the caller waits less.
  TimePoint deadline{};
};

/// The form for servers, which all attempts share.
[[nodiscard]] std::shared_ptr<ServerRequest> MakeServerRequest(
  const ExchangeContext& aContext,
  const RoutedRequest& aRequest);

/// Until when an attempt may work on after its exchange has ended.
[[nodiscard]] TimePoint LateResponseDeadline(const RoutedRequest& aRequest,
                                             bool aCallerDisconnected,
                                             TimePoint aNow) noexcept;

/// Sends to one server, and to others when that is allowed and useful.
std::shared_ptr<Exchange> StartSingleExchange(const ExchangeContext& aContext,
                                              RoutedRequest aRequest,
                                              const std::string& aGroup,
                                              ReplyHandler aReply);

/// Sends to one server of each shard and merges the greatest records. Shards
/// whose servers are in other failure domains are gathered by instances there.
std::shared_ptr<Exchange> StartFanoutExchange(const ExchangeContext& aContext,
                                              RoutedRequest aRequest,
                                              ReplyHandler aReply);

/// Gathers a part of another instance's query.
std::shared_ptr<Exchange> StartPartialExchange(const ExchangeContext& aContext,
                                               CallerRequest aRequest,
                                               const PartialQuery& aQuery,
                                               ReplyHandler aReply);

} // namespace bronzedeal::gateway
