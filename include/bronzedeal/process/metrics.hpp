#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bronzedeal::process {

/// Counters of one process; metrics.cpp lists their exported names.
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
  InternalErrors,
  ServersEnded,
  RequestsQuarantined,
  RequestsHandedOver,
  ServersLeaving,
  ServersTurningAway,
  ListsIncomplete,
  RequestsShed,
  RepliesShed,
  ConnectionsShed,
  Count,
};

/// Gauges of one process; metrics.cpp lists their exported names.
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
  ServersLimiting,
  Count,
};

/// Typed counters and gauges on a prometheus-cpp registry. Updates are atomic
/// and may come from any thread.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Add(Counter aCounter, double aAmount = 1) noexcept;
  void Set(Gauge aGauge, double aValue) noexcept;
  void Add(Gauge aGauge, double aAmount) noexcept;
  [[nodiscard]] double Value(Counter aCounter) const noexcept;
  [[nodiscard]] double Value(Gauge aGauge) const noexcept;

  /// Records the duration of one query, in seconds.
  void ObserveQuery(double aSeconds) noexcept;

  /// All metrics in the Prometheus text exposition format.
  [[nodiscard]] std::string Expose() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::process
