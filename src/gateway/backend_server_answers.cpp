#include "bronzedeal/gateway/backend_server.hpp"

#include "bronzedeal/gateway/process.hpp"

#include <algorithm>
#include <cmath>

// What a server's answers tell: latency and failures, and what they announce.
namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// Weights of a new sample in the moving averages.
constexpr double kLatencySampleWeight = 0.25;
constexpr double kOutcomeSampleWeight = 0.1;
/// An unused server gives no samples. Its relative latency and failure rate
/// decay towards normal with this half-life, so that it is tried again.
constexpr double kStatsHalfLifeSeconds = 1.5;
/// While a server limits its requests, the log has one line for it in this
/// interval.
constexpr auto kRateLimitLogInterval = milliseconds(2000);
/// Bounds of one sample of the relative latency.
constexpr double kMinRelativeLatency = 0.4;
constexpr double kMaxRelativeLatency = 20;

} // namespace

ReplicaStats BackendServer::Stats(TimePoint aNow) const noexcept
{
  ReplicaStats stats;
  const double sampleAgeSeconds =
    std::chrono::duration<double>(aNow - mLastSampleAt).count();
  const double decayFactor =
    std::exp2(-sampleAgeSeconds / kStatsHalfLifeSeconds);
  stats.relativeLatency = 1 + (mRelativeLatency - 1) * decayFactor;
  stats.failureRate = mFailureRate * decayFactor;
  for (const auto& it : mInFlight) {
    stats.oldestUnansweredMs =
      std::max(stats.oldestUnansweredMs, Milliseconds(aNow - it->sentAt));
  }
  stats.inFlight = static_cast<unsigned>(mInFlight.size());
  stats.queued = static_cast<unsigned>(mQueue.size());
  stats.slots = mRecord.slots;
  stats.sameFailureDomain =
    mRecord.failureDomain == mProcess.settings.failureDomain;
  return stats;
}

void BackendServer::OnUnansweredPartial(const RequestProfile& aRequest,
                                        Duration aWaited,
                                        TimePoint aNow)
{
  AddLatencySample(aRequest, aWaited, aNow);
}

void BackendServer::AddLatencySample(const RequestProfile& aRequest,
                                     Duration aLatency,
                                     TimePoint aNow)
{
  const double sample =
    std::clamp(Milliseconds(aLatency) / std::max(0.5, aRequest.medianLatencyMs),
               kMinRelativeLatency,
               kMaxRelativeLatency);
  DecayStats(aNow);
  mRelativeLatency += kLatencySampleWeight * (sample - mRelativeLatency);
}

void BackendServer::AddOutcomeSample(bool aFailed, TimePoint aNow) noexcept
{
  DecayStats(aNow);
  mFailureRate += kOutcomeSampleWeight * ((aFailed ? 1 : 0) - mFailureRate);
}

void BackendServer::DecayStats(TimePoint aNow) noexcept
{
  const auto stats = Stats(aNow);
  mRelativeLatency = stats.relativeLatency;
  mFailureRate = stats.failureRate;
  mLastSampleAt = aNow;
}

void BackendServer::ApplyStatedRate(const ResponseMessage& aResponse,
                                    TimePoint aSentAt,
                                    TimePoint aNow)
{
  const auto& name = mProcess.settings.headerNames.rateLimit;
  const auto former = mRateLimit.RequestsPerSecond();
  if (const auto it = aResponse.find(name); it == aResponse.end()) {
    // A refusal may come before the server looks at its limit.
    if (aResponse.find(mProcess.settings.headerNames.notRun) ==
        aResponse.end()) {
      mRateLimit.OnNotStated(aSentAt);
    }
  } else if (const auto rate = ParseRequestRate(it->value())) {
    mRateLimit.OnStated(
      *rate, RateShare(), mProcess.fleetShares.PhaseFor(mRecord.id), aNow);
  }
  LogRateLimit(former, aNow);
}

void BackendServer::LogRateLimit(std::optional<double> aFormer, TimePoint aNow)
{
  const auto limit = mRateLimit.RequestsPerSecond();
  const bool begins = limit && !aFormer;
  const bool ends = !limit && aFormer;
  if (begins || ends) {
    mProcess.metrics.Add(process::Gauge::ServersLimiting, begins ? 1 : -1);
  } else if (!limit || aNow - mRateLimitLoggedAt < kRateLimitLogInterval) {
    return;
  }
  mRateLimitLoggedAt = aNow;
  mProcess.log.Write("server_limit",
                     { { "server", mRecord.id },
                       { "group", mRecord.group },
                       { "state",
                         begins ? "begins"
                         : ends ? "ends"
                                : "holds" },
                       { "per_s", limit ? *limit : *aFormer },
                       { "allowed_per_s", AllowedRate().value_or(0) },
                       { "sent_per_s", mRateLimit.SendRate(aNow) } });
}

void BackendServer::ApplyAnnouncements(const ResponseMessage& aResponse,
                                       std::string_view aRequestId,
                                       TimePoint aSentAt,
                                       TimePoint aNow)
{
  if (mRecord.isInstance) {
    return; // It passes on what the servers behind it announce.
  }
  const auto& names = mProcess.settings.headerNames;
  ServerAnnouncements::Answer answer{ aSentAt, false, std::nullopt };
  answer.leaving = aResponse.find(names.leaving) != aResponse.end();
  if (aResponse.result_int() == 503) {
    const auto [first, last] =
      aResponse.equal_range(boost::beast::http::field::retry_after);
    for (auto it = first; it != last; ++it) {
      const auto time = ParseRetryAfter(it->value());
      answer.retryAfter = std::max(answer.retryAfter, time);
      mProcess.metrics.Add(process::Counter::ServersTurningAway);
      LogAnnouncement("retry_after", aRequestId, time, it->value());
    }
  }
  const bool wasLeaving = mAnnouncements.IsLeaving();
  const auto turningAwaySince = mAnnouncements.TurningAwaySince();
  mAnnouncements.OnAnswer(answer, aNow);
  if (!mAnnouncements.TurningAwaySince()) {
    LogAnnouncementEnd("retry_after", turningAwaySince, aNow);
  }
  if (mAnnouncements.IsLeaving() && !wasLeaving) {
    mProcess.metrics.Add(process::Counter::ServersLeaving);
    LogAnnouncement("leaving", aRequestId, std::nullopt, {});
    DropQueued();
  }
}

void BackendServer::LogAnnouncement(std::string_view aKind,
                                    std::string_view aRequestId,
                                    std::optional<Duration> aTime,
                                    std::string_view aText)
{
  mProcess.log.Write("server_announces",
                     { { "server", mRecord.id },
                       { "group", mRecord.group },
                       { "request", aRequestId },
                       { "kind", aKind },
                       { "value", aText },
                       { "for_ms", aTime ? Milliseconds(*aTime) : 0.0 },
                       { "valid", aTime || aKind == "leaving" } });
}

void BackendServer::LogAnnouncementEnd(std::string_view aKind,
                                       std::optional<TimePoint> aSince,
                                       TimePoint aNow)
{
  if (aSince) {
    mProcess.log.Write("server_announcement_ends",
                       { { "server", mRecord.id },
                         { "group", mRecord.group },
                         { "kind", aKind },
                         { "age_ms", Milliseconds(aNow - *aSince) } });
  }
}

} // namespace bronzedeal::gateway
