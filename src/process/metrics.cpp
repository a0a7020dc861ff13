#include "bronzedeal/process/metrics.hpp"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bronzedeal::process {

namespace {

struct MetricDescription
{
  const char* name;
  const char* help;
};

constexpr auto kCounterCount = static_cast<std::size_t>(Counter::Count);
constexpr auto kGaugeCount = static_cast<std::size_t>(Gauge::Count);

// In the order of the enumerators. docs/OPERATIONS.md lists the metrics.
constexpr std::array<MetricDescription, kCounterCount> kCounterDescriptions{ {
  { "bronzedeal_queries_whole_total", "Queries answered with every shard" },
  { "bronzedeal_queries_partial_total", "Queries answered in part" },
  { "bronzedeal_queries_refused_total", "Queries refused as not run" },
  { "bronzedeal_operations_ran_total", "Operations that ran" },
  { "bronzedeal_operations_not_run_total", "Operations that did not run" },
  { "bronzedeal_operations_unknown_total", "Operations of unknown outcome" },
  { "bronzedeal_sub_requests_local_total", "Attempts on own servers" },
  { "bronzedeal_sub_requests_forwarded_total", "Attempts sent to owners" },
  { "bronzedeal_sub_requests_served_total", "Attempts sent to servers" },
  { "bronzedeal_sub_requests_refused_total", "Attempts refused as owner" },
  { "bronzedeal_hedges_total", "Hedged attempts" },
  { "bronzedeal_retries_total", "Attempts after a refused or lost one" },
  { "bronzedeal_late_responses_total", "Responses after the query's end" },
  { "bronzedeal_config_accepted_total", "Documents put in force" },
  { "bronzedeal_config_rejected_total", "Documents that failed validation" },
  { "bronzedeal_config_conflicts_total", "Same version, other content" },
  { "bronzedeal_platform_reads_total", "Reads of the platform's service" },
  { "bronzedeal_leases_acquired_total", "Slice leases acquired" },
  { "bronzedeal_leases_lost_total", "Slice leases lost by expiry" },
  { "bronzedeal_pauses_detected_total", "Pauses of the process" },
  { "bronzedeal_peer_bytes_sent_total", "Bytes sent to peers" },
  { "bronzedeal_peer_bytes_received_total", "Bytes received from peers" },
  { "bronzedeal_peer_control_bytes_sent_total", "Control bytes sent" },
  { "bronzedeal_peer_control_bytes_received_total", "Control bytes received" },
  { "bronzedeal_peer_messages_dropped_total", "Messages dropped, queue full" },
  { "bronzedeal_queries_failed_total", "Queries without an answer" },
  { "bronzedeal_callers_left_total", "Callers that left before the answer" },
  { "bronzedeal_repeats_denied_total", "Repeats that the budget denied" },
  { "bronzedeal_sub_requests_crossing_total",
    "Attempts at servers of other failure domains" },
  { "bronzedeal_partial_queries_total",
    "Parts of queries sent to other instances" },
  { "bronzedeal_server_connections_total", "Connections opened to servers" },
  { "bronzedeal_server_connect_failures_total", "Connections not opened" },
  { "bronzedeal_log_lines_dropped_total", "Log lines dropped, buffer full" },
  { "bronzedeal_internal_errors_total", "Events whose handler failed" },
  { "bronzedeal_servers_ended_total",
    "Backend servers that ended during requests" },
  { "bronzedeal_requests_quarantined_total",
    "Requests refused because their content crashes servers" },
  { "bronzedeal_requests_handed_over_total",
    "Requests that another instance served" },
  { "bronzedeal_servers_leaving_total", "Servers that announced their end" },
  { "bronzedeal_servers_turning_away_total",
    "Answers of servers that ask to come again later" },
  { "bronzedeal_lists_incomplete_total",
    "Lists of the metadata service whose pages lead nowhere" },
  { "bronzedeal_requests_shed_total",
    "Requests refused because others hold the memory of their port" },
  { "bronzedeal_replies_shed_total",
    "Replies cut because others hold the memory of their port" },
  { "bronzedeal_connections_shed_total",
    "Connections closed to admit others while their clients kept them "
    "waiting" },
} };

constexpr std::array<MetricDescription, kGaugeCount> kGaugeDescriptions{ {
  { "bronzedeal_config_version", "Configuration version in force" },
  { "bronzedeal_queries_in_progress", "Queries in progress" },
  { "bronzedeal_sub_requests_in_flight", "Attempts at backend servers" },
  { "bronzedeal_slices_owned", "Slices with a valid lease" },
  { "bronzedeal_members_alive", "Members of the fleet that are alive" },
  { "bronzedeal_fenced", "1 while the instance is fenced" },
  { "bronzedeal_quarantined", "Fingerprints in quarantine" },
  { "bronzedeal_servers_known", "Backend servers in the registry" },
  { "bronzedeal_former_versions", "Former versions with requests in progress" },
  { "bronzedeal_withdrawn_in_flight",
    "Requests in progress at servers of withdrawn failure domains" },
  { "bronzedeal_servers_limiting",
    "Backend servers that limit their requests" },
} };

// Upper bounds in seconds. One lies at 0.17 s, the target for the p99.
const prometheus::Histogram::BucketBoundaries kQuerySecondsBuckets{
  0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.17, 0.25, 0.5, 1, 2, 5
};

} // namespace

struct Metrics::Impl
{
  prometheus::Registry registry;
  std::array<prometheus::Counter*, kCounterCount> counters{};
  std::array<prometheus::Gauge*, kGaugeCount> gauges{};
  prometheus::Histogram* queryLatency = nullptr;
};

Metrics::Metrics()
  : mImpl(std::make_unique<Impl>())
{
  for (std::size_t n = 0; n < kCounterCount; ++n) {
    auto& family = prometheus::BuildCounter()
                     .Name(kCounterDescriptions.at(n).name)
                     .Help(kCounterDescriptions.at(n).help)
                     .Register(mImpl->registry);
    mImpl->counters.at(n) = &family.Add({});
  }
  for (std::size_t n = 0; n < kGaugeCount; ++n) {
    auto& family = prometheus::BuildGauge()
                     .Name(kGaugeDescriptions.at(n).name)
                     .Help(kGaugeDescriptions.at(n).help)
                     .Register(mImpl->registry);
    mImpl->gauges.at(n) = &family.Add({});
  }
  auto& family = prometheus::BuildHistogram()
                   .Name("bronzedeal_query_seconds")
                   .Help("Duration of queries")
                   .Register(mImpl->registry);
  mImpl->queryLatency = &family.Add({}, kQuerySecondsBuckets);
}

Metrics::~Metrics() = default;

void Metrics::Add(Counter aCounter, double aAmount) noexcept
{
  mImpl->counters[static_cast<std::size_t>(aCounter)]->Increment(aAmount);
}

void Metrics::Set(Gauge aGauge, double aValue) noexcept
{
  mImpl->gauges[static_cast<std::size_t>(aGauge)]->Set(aValue);
}

void Metrics::Add(Gauge aGauge, double aAmount) noexcept
{
  mImpl->gauges[static_cast<std::size_t>(aGauge)]->Increment(aAmount);
}

double Metrics::Value(Counter aCounter) const noexcept
{
  return mImpl->counters[static_cast<std::size_t>(aCounter)]->Value();
}

double Metrics::Value(Gauge aGauge) const noexcept
{
  return mImpl->gauges[static_cast<std::size_t>(aGauge)]->Value();
}

void Metrics::ObserveQuery(double aSeconds) noexcept
{
  mImpl->queryLatency->Observe(aSeconds);
}

std::string Metrics::Expose() const
{
  return prometheus::TextSerializer().Serialize(mImpl->registry.Collect());
}

} // namespace bronzedeal::process
