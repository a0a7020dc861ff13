#include "bronzedeal/gateway/exchange.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace bronzedeal::gateway {

namespace {

/// Usual latency before the first sample, as a part of the objective.
constexpr double kInitialShare = 1.0 / 6;
/// Each sample moves the estimate by this part of itself, up or down: it tends
/// to the median, which a minority of slow servers doesn't move.
constexpr double kMedianStep = 0.01;
/// Servers stop this long after the caller has left: below half a second, and
/// most requests end by themselves within it, which keeps their connections.
constexpr auto kAfterLeave = milliseconds(250);
/// After the request's end a server answers by itself; its connection is then
/// still of use.
constexpr auto kAfterDeadline = milliseconds(100);

} // namespace

double RouteLatency::Typical(const Route& aRoute) const
{
  const auto it = mTypical.find(aRoute.name);
  return it != mTypical.end() ? it->second
                              : kInitialShare * Milliseconds(aRoute.objective);
}

void RouteLatency::Add(const Route& aRoute, Duration aLatency)
{
  const double current = Typical(aRoute);
  const bool above = Milliseconds(aLatency) > current;
  mTypical[aRoute.name] = current * (above ? 1 + kMedianStep : 1 - kMedianStep);
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
  request->headOnly = message.method() == boost::beast::http::verb::head;
  request->requestId = aRequest.caller.requestId;
  request->deadline = aRequest.deadline;
  request->priority = aRequest.route->priority;
  request->view.typicalMs = aContext.latency.Typical(*aRequest.route);
  request->view.objectiveMs = Milliseconds(aRequest.route->objective);
  return request;
}

TimePoint ReleaseTime(const RoutedRequest& aRequest,
                      bool aCallerLeft,
                      TimePoint aNow) noexcept
{
  const auto end = aRequest.deadline + kAfterDeadline;
  return aCallerLeft ? std::min(end, aNow + kAfterLeave) : end;
}

} // namespace bronzedeal::gateway
