#pragma once

#include "bronzedeal/gateway/connection_count.hpp"
#include "bronzedeal/gateway/crash_quarantine.hpp"
#include "bronzedeal/gateway/decision_log.hpp"
#include "bronzedeal/gateway/fleet_shares.hpp"
#include "bronzedeal/gateway/link_evidence.hpp"
#include "bronzedeal/gateway/memory_budget.hpp"
#include "bronzedeal/gateway/metadata_history.hpp"
#include "bronzedeal/gateway/peer_table.hpp"
#include "bronzedeal/gateway/rate_shares.hpp"
#include "bronzedeal/gateway/settings.hpp"
#include "bronzedeal/gateway/timer_queue.hpp"
#include "bronzedeal/process/metrics.hpp"

#include <boost/asio/io_context.hpp>

namespace bronzedeal::gateway {

/// Objects with the lifetime of the process. A single thread runs the context
/// and uses all of them, since the machines have one core or less.
struct Process
{
  Process(Settings aSettings, DecisionLog::Sink aSink);

  /// Outlives the connections that the context's handlers hold.
  MemoryBudget responseMemory;
  ConnectionCount serverConnections;
  /// Outlives the requests that the context's handlers hold.
  CrashQuarantine crashQuarantine;
  LinkEvidence linkEvidence;
  boost::asio::io_context context{ 1 };
  Settings settings;
  TimerQueue timers{ context };
  process::Metrics metrics;
  DecisionLog log;
  PeerTable peers;
  FleetShares fleetShares;
  RateShares rateShares;
  MetadataHistory metadataHistory;

private:
  void LogVerdict(const VerdictChange& aChange);
};

/// A duration in fractional milliseconds, for logs and costs.
[[nodiscard]] inline double Milliseconds(Duration aDuration) noexcept
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace bronzedeal::gateway
