#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bronzedeal::process {

/// Counters and gauges of one process; the names are those of the table in
/// metrics.cpp. Updates are atomic and may come from any thread.
enum class Counter
{
  QueriesWhole,
  QueriesPartial,
  QueriesRefused,
  OperationsRan,
  OperationsNotRun,
  OperationsUnknown,
  SubRequestsLocal,
  SubRequestsForwarded,
  SubRequestsServed,
  SubRequestsRefused,
  Hedges,
  Retries,
  LateResponses,
  ConfigAccepted,
  ConfigRejected,
  ConfigConflicts,
  PlatformReads,
  LeasesAcquired,
  LeasesLost,
  PausesDetected,
  PeerBytesSent,
  PeerBytesReceived,
  PeerControlBytesSent,
  PeerControlBytesReceived,
  PeerMessagesDropped,
  QueriesFailed,
  CallersLeft,
  RepeatsDenied,
  SubRequestsCrossing,
  PartialQueries,
  ServerConnections,
  ServerConnectFailures,
  LogLinesDropped,
  Count,
};

enum class Gauge
{
  ConfigVersion,
  QueriesInProgress,
  SubRequestsInFlight,
  SlicesOwned,
  MembersAlive,
  Fenced,
  Quarantined,
  ServersKnown,
  FormerVersions,
  WithdrawnInFlight,
  Count,
};

/// Registry of prometheus-cpp behind typed counters and gauges.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Add(Counter aCounter, double aAmount = 1) noexcept;
  void Set(Gauge aGauge, double aValue) noexcept;
  [[nodiscard]] double Value(Counter aCounter) const noexcept;
  [[nodiscard]] double Value(Gauge aGauge) const noexcept;

  /// Records the duration of one whole query, in seconds.
  void ObserveQuery(double aSeconds) noexcept;

  /// The exposition text format of Prometheus.
  [[nodiscard]] std::string Expose() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::process
