#include "bronzedeal/gateway/exchange.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace bronzedeal::gateway {

namespace {

/// Initial estimate of the median, as a fraction of the route's objective.
constexpr double kInitialObjectiveFraction = 1.0 / 6;
/// Each sample moves the estimate up or down by this fraction of itself. The
/// estimate converges to the median, which a minority of slow servers does not
/// shift.
constexpr double kMedianStep = 0.01;
/// An attempt whose result nobody needs may run for this long. Most finish
/// within it, so that their connections stay reusable. It is below half a
/// second, the bound on work for callers that have left.
constexpr auto kMaxUnneededRunTime = milliseconds(250);
/// Servers answer on their own around the deadline. Waiting this long for the
/// late response keeps the connection reusable.
constexpr auto kLateResponseWindow = milliseconds(100);
/// Time after which a caller should return while another request with the same
/// suspect content is in progress.
constexpr auto kTrialRetryDelay = milliseconds(1000);

/// Subtracted before rounding up, so that a floating-point error does not turn
/// 0.95 x 20 into 20 shards.
constexpr double kCoverageRounding = 1e-9;

} // namespace

std::size_t RequiredShardCount(const Route& aRoute) noexcept
{
  const auto share =
    aRoute.minCoverage * static_cast<double>(aRoute.shards.size());
  return std::max<std::size_t>(
    1, static_cast<std::size_t>(std::ceil(share - kCoverageRounding)));
}

double RouteLatency::MedianMs(const Route& aRoute) const
{
  const auto it = mMedianMs.find(aRoute.name);
  return it != mMedianMs.end()
           ? it->second
           : kInitialObjectiveFraction * Milliseconds(aRoute.objective);
}

void RouteLatency::AddSample(const Route& aRoute, Duration aLatency)
{
  const double estimate = MedianMs(aRoute);
  const bool isAboveEstimate = Milliseconds(aLatency) > estimate;
  mMedianMs[aRoute.name] =
    estimate * (isAboveEstimate ? 1 + kMedianStep : 1 - kMedianStep);
}

ContentId ContentIdOf(const RequestMessage& aRequest)
{
  return ContentIdOf(std::string_view(aRequest.method_string()),
                     aRequest[boost::beast::http::field::host],
                     std::string_view(aRequest.target()),
                     aRequest.body());
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
  if (!message.body().empty()) {
    request->body = std::make_shared<const std::string>(message.body());
  }
  if (request->body || message.has_content_length()) {
    request->head +=
      fmt::format("Content-Length: {}\r\n", message.body().size());
  }
  request->isHeadRequest = message.method() == boost::beast::http::verb::head;
  request->requestId = aRequest.caller.requestId;
  request->content = ContentIdOf(message);
  request->deadline = aRequest.deadline;
  request->priority = aRequest.route->priority;
  request->profile.medianLatencyMs = aContext.latency.MedianMs(*aRequest.route);
  request->profile.objectiveMs = Milliseconds(aRequest.route->objective);
  return request;
}

ContentPermit ObtainContentPermit(Process& aProcess,
                                  const ContentId& aContent,
                                  TimePoint aNow,
                                  TimePoint aDeadline)
{
  auto& quarantine = aProcess.crashQuarantine;
  ContentPermit permit;
  permit.verdict = quarantine.VerdictOf(aContent, aNow);
  if (permit.verdict == ContentVerdict::Quarantined) {
    permit.refusedFor = quarantine.TimeUntilTrial(aContent, aNow);
  } else if (permit.verdict == ContentVerdict::Suspect) {
    permit.trial = quarantine.TryBeginTrial(aContent, aNow, aDeadline);
    if (!permit.trial) {
      permit.refusedFor = kTrialRetryDelay;
    }
  }
  if (permit.refusedFor) {
    aProcess.metrics.Add(process::Counter::RequestsQuarantined);
  }
  return permit;
}

bool IsOverdue(const Attempt& aAttempt,
               const RoutedRequest& aRequest,
               UnansweredEnd aEnd,
               TimePoint aNow) noexcept
{
  const bool isOver = aEnd == UnansweredEnd::CallerLeft ||
                      aNow >= aRequest.deadline - kAnswerMargin;
  return isOver && aAttempt.sent &&
         aNow - aAttempt.sentAt >= aRequest.route->objective;
}

TimePoint LateResponseDeadline(const RoutedRequest& aRequest,
                               TimePoint aNow) noexcept
{
  return std::min(aRequest.deadline + kLateResponseWindow,
                  aNow + kMaxUnneededRunTime);
}

TimePoint ReleasedAttemptDeadline(const RoutedRequest& aRequest) noexcept
{
  return aRequest.deadline + kLateResponseWindow;
}

} // namespace bronzedeal::gateway
