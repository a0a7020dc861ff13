#pragma once

#include "bronzedeal/process/config_distributor.hpp"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bronzedeal::process {

/// A safeguard of the control plane that a negative control can disable.
enum class Safeguard : std::uint8_t
{
  None,
  /// Disabled: a witness grants leases without waiting after its start.
  FreshWait,
  /// Disabled: a holder uses its lease for longer than the witnesses promise.
  LeaseMargin,
  /// Disabled: work of a former holder counts as ended right after a takeover.
  TakeoverWait,
  /// Disabled: a restarted instance keeps its incarnation.
  NewIncarnation,
  /// Disabled: the withdrawal report does not wait until leases under lower
  /// versions have expired.
  ReportWait,
  /// Disabled: the owner never reports that its work has ended.
  DrainedReport,
  /// Disabled: an instance discards its document on each answer of the service,
  /// so that it accepts an older one.
  VersionOrder,
};

enum class FaultKind : std::uint8_t
{
  /// Messages are lost with a probability of 0.1 to 0.4.
  Loss,
  /// Some messages are delayed by up to 0.5 to 3 s.
  Delay,
  /// Messages from instance `first` to instance `second` are lost.
  Cut,
  /// Instance `first` reaches no peer and not the service.
  Isolate,
  Pause,
  Crash,
  /// A new version is published.
  Publish,
  ServiceDown,
  /// A new instance takes the place of instance `first` in the roster.
  Replace,
  /// The service returns the document before the last one.
  ServiceStale,
};
inline constexpr int kFaultKindCount = 10;

struct Fault
{
  FaultKind kind = FaultKind::Loss;
  /// Start, from the end of the start phase, and length.
  milliseconds startsAt{ 0 };
  milliseconds length{ 0 };
  /// Parameters of the kind; instances modulo the number of instances.
  std::uint32_t first = 0;
  std::uint32_t second = 0;
};

struct SimulationOptions
{
  std::size_t instances = 9;
  std::uint64_t seed = 1;
  Safeguard disabled = Safeguard::None;
  std::vector<Fault> faults;
  /// Links, as sender and receiver, that are cut from the end of the start
  /// phase on.
  std::vector<std::pair<std::size_t, std::size_t>> permanentLinkCuts;
  milliseconds faultsEndAt{ 20000 };
  /// Every slice must have an owner this long after the last fault. The sum of
  /// rejoining (3 s of contact, 0.5 s fence), obtaining a document (2 s), the
  /// wait of a started witness and lease expiry (1.5 s each), former work (1 s)
  /// and the fallback to the next owner (4 s), rounded up.
  milliseconds recoveryTime{ 15000 };
};

/// Simulates the control planes of several instances in virtual time, with a
/// network, a configuration service and constant work on the backend servers.
class FleetSimulation
{
public:
  explicit FleetSimulation(SimulationOptions aOptions);
  ~FleetSimulation();

  /// Runs until the first violation of an invariant or to the end. Returns the
  /// violations found.
  std::vector<std::string> Run();

  /// Number of events by name, which shows what a run exercised.
  [[nodiscard]] const std::map<std::string, int>& EventCounts() const;
  /// The longest time after the start phase for which no instance was allowed
  /// to send to some slice.
  [[nodiscard]] milliseconds LongestUnownedTime() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// Functions for test documents, which consist of their version as text,
/// possibly followed by other text; "bad" in it makes them invalid.
ConfigFunctions TestConfigFunctions();
ConfigHash HashOfTestDocument(std::string_view aText);

} // namespace bronzedeal::process
