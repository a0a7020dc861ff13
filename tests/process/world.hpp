#pragma once

#include "bronzedeal/process/config_distributor.hpp"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bronzedeal::process {

/// A guard of the control plane that a negative control switches off.
enum class Guard : std::uint8_t
{
  None,
  /// The witness forgets to wait after its start.
  FreshWait,
  /// The holder trusts its lease for longer than the witness promises it.
  LeaseMargin,
  /// Former work counts as ended at once after a takeover.
  TakeoverWait,
  /// A restarted instance keeps its incarnation.
  NewIncarnation,
  /// The report does not wait for leases under lower versions to expire.
  ReportWait,
  /// The owner never reports that its work has ended.
  DrainedReport,
  /// An instance forgets its document when the service offers an older one.
  VersionOrder,
};

enum class FaultKind : std::uint8_t
{
  Loss,
  Delay,
  Cut,
  Isolate,
  Pause,
  Crash,
  Publish,
  ServiceDown,
  Replace,
  /// The service returns the document before the last one.
  ServiceStale,
};
inline constexpr int kFaultKinds = 10;

struct Fault
{
  FaultKind kind = FaultKind::Loss;
  /// Time from the end of the start phase, and length.
  milliseconds at{ 0 };
  milliseconds length{ 0 };
  std::uint32_t first = 0;
  std::uint32_t second = 0;
};

struct WorldOptions
{
  std::size_t instances = 9;
  std::uint64_t seed = 1;
  Guard off = Guard::None;
  std::vector<Fault> faults;
  /// Links, from and to, that are cut when the faults begin and stay so.
  std::vector<std::pair<std::size_t, std::size_t>> permanentCuts;
  milliseconds faultsEnd{ 20000 };
  /// A slice must have an owner this long after the last fault. It is the sum
  /// of rejoining (3 s of contact, 0.5 s fence), a document (2 s), the fresh
  /// wait and lease expiry (1.5 s each), former work (1 s), and the second
  /// choice of an owner (4 s), rounded up.
  milliseconds recovery{ 15000 };
};

/// Several instances' control planes in virtual time, with a network, a
/// configuration service, and backend servers that are always busy.
class World
{
public:
  explicit World(WorldOptions aOptions);
  ~World();

  /// Runs to the end and returns the violations found, empty when there are
  /// none; stops at the first one.
  std::vector<std::string> Run();

  /// What happened, so that a test can show that a run exercised something.
  [[nodiscard]] const std::map<std::string, int>& Counts() const;
  /// The longest time for which a slice had no instance that may send to it,
  /// after the start phase.
  [[nodiscard]] milliseconds LongestGap() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// A document is its version as text in these tests.
ConfigFunctions TextFunctions();
ConfigHash HashFor(std::string_view aText);

} // namespace bronzedeal::process
