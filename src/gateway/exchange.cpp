#include "bronzedeal/gateway/exchange.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzedeal::gateway {

namespace {

/// Usual latency before the first sample, as a part of the objective.
constexpr double kInitialObjectiveFraction = 1.0 / 6;
/// Each sample moves the estimate by this part of itself, up or down: it tends
/// to the median, which a minority of slow servers doesn't move.
constexpr double kMedianStep = 0.01;
/// Servers stop this long after the caller has left: below half a second, and
/// most requests end by themselves within it, which keeps their connections.
constexpr auto kMaxRunAfterDisconnect = milliseconds(250);
/// After the request's end a server answers by itself; its connection is then
/// still of use.
constexpr auto kLateResponseWindow = milliseconds(100);

} // namespace

double RouteLatency::MedianMs(const Route& aRoute) const
{
  const auto it = mMedianMs.find(aRoute.name);
  return it != mMedianMs.end()
           ? it->second
           : kInitialObjectiveFraction * Milliseconds(aRoute.objective);
}

void RouteLatency::AddSample(const Route& aRoute, Duration aLatency)
{
  const double current = MedianMs(aRoute);
  const bool above = Milliseconds(aLatency) > current;
  mMedianMs[aRoute.name] =
    current * (above ? 1 + kMedianStep : 1 - kMedianStep);
}

std::shared_ptr<ServerRequest> MakeServerRequest(
  const ExchangeContext& aContext,
  const RoutedRequest& aRequest)
{
  const auto& message = aRequest.caller.message;
  auto request = std::make_shared<ServerRequest>();
  request->head = fmt::format(
    "{} {} HTTP/1.1\r\n{}",
    std::string_view(message.method_string()),
    std::string_view(message.target()),
    ForwardedHeaders(message, aContext.process.settings.headerNames));
  request->body = message.body();
  if (!request->body.empty() || message.has_content_length()) {
    request->head +=
      fmt::format("Content-Length: {}\r\n", request->body.size());
  }
  request->isHeadRequest = message.method() == boost::beast::http::verb::head;
  request->requestId = aRequest.caller.requestId;
  request->deadline = aRequest.deadline;
  request->priority = aRequest.route->priority;
  request->profile.medianLatencyMs = aContext.latency.MedianMs(*aRequest.route);
  request->profile.objectiveMs = Milliseconds(aRequest.route->objective);
  return request;
}

TimePoint LateResponseDeadline(const RoutedRequest& aRequest,
                               bool aCallerDisconnected,
                               TimePoint aNow) noexcept
{
  const auto end = aRequest.deadline + kLateResponseWindow;
  return aCallerDisconnected ? std::min(end, aNow + kMaxRunAfterDisconnect)
                             : end;
}

} // namespace bronzedeal::gateway
