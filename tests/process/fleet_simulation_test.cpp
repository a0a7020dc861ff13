#include "fleet_simulation.hpp"

#include "bronzedeal/process/roster.hpp"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <ostream>
#include <rapidcheck/gtest.h>

// Simulations of several instances in virtual time under random fault
// schedules. The seed of RapidCheck is fixed, so that every run gives the same
// result; RC_PARAMS overrides it, as in RC_PARAMS="seed=7 max_success=1000".

namespace bronzedeal::process {

void ShowFault(const Fault& aFault, std::ostream& aOut)
{
  aOut << "{kind " << static_cast<int>(aFault.kind) << ", at "
       << aFault.startsAt.count() << " ms, length " << aFault.length.count()
       << " ms, " << aFault.first << ", " << aFault.second << "}";
}

namespace {

constexpr const char* kRapidCheckParameters =
  "seed=20261204 max_success=150 max_size=40";

// RapidCheck reads its parameters when the first property is checked.
const bool kParametersSet = [] {
  ::setenv("RC_PARAMS", kRapidCheckParameters, 0);
  std::cout << "RapidCheck parameters: " << ::getenv("RC_PARAMS") << "\n";
  return true;
}();

// Uniform over the whole range, unlike RapidCheck's own ranges, which grow with
// the size parameter.
template<typename T>
rc::Gen<T> Uniform(T aFrom, T aTo)
{
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(aFrom, aTo));
}

rc::Gen<Fault> AnyFault()
{
  const auto kind = rc::gen::map(Uniform(0, kFaultKindCount),
                                 [](int aIt) { return FaultKind(aIt); });
  const auto time = [](int aFrom, int aTo) {
    return rc::gen::map(Uniform(aFrom, aTo),
                        [](int aIt) { return milliseconds(aIt); });
  };
  return rc::gen::build<Fault>(
    rc::gen::set(&Fault::kind, kind),
    rc::gen::set(&Fault::startsAt, time(0, 18000)),
    rc::gen::set(&Fault::length, time(50, 8000)),
    rc::gen::set(&Fault::first, Uniform<std::uint32_t>(0, 1000)),
    rc::gen::set(&Fault::second, Uniform<std::uint32_t>(0, 1000)));
}

rc::Gen<SimulationOptions> AnySimulation()
{
  return rc::gen::build<SimulationOptions>(
    rc::gen::set(&SimulationOptions::instances,
                 rc::gen::element<std::size_t>(3, 4, 6, 9, 9)),
    rc::gen::set(&SimulationOptions::seed, Uniform<std::uint64_t>(1, 1000000)),
    rc::gen::set(&SimulationOptions::faults,
                 rc::gen::container<std::vector<Fault>>(AnyFault())));
}

// Guards against two owners of a slice at the same time, a decreasing version
// in force, a withdrawal reported complete too early, and slices that remain
// without an owner after the faults.
RC_GTEST_PROP(FleetSimulation, InvariantsHoldUnderRandomFaults, ())
{
  const auto options = *AnySimulation();
  FleetSimulation simulation(options);
  const auto violations = simulation.Run();
  for (const auto& [name, n] : simulation.EventCounts()) {
    RC_CLASSIFY(n > 0, name);
  }
  if (!violations.empty()) {
    RC_LOG() << options.instances << " instances, seed " << options.seed
             << "\n";
    for (const auto& it : options.faults) {
      ShowFault(it, RC_LOG());
      RC_LOG() << "\n";
    }
    RC_FAIL(violations[0]);
  }
}

// Guards against a slice that remains without an owner because the preferred
// owner is alive but reaches no quorum of witnesses.
TEST(FleetSimulation, AnotherOwnerTakesOverWhenThePreferredOneHasNoQuorum)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulationOptions options;
    options.instances = 6;
    options.seed = seed;
    for (const std::size_t peer : { 1, 2, 4 }) {
      options.permanentLinkCuts.emplace_back(0, peer);
      options.permanentLinkCuts.emplace_back(peer, 0);
    }
    // Instance 0 still reaches half of the roster, but only 3 of the 4
    // witnesses needed.
    for (const auto& it : FleetSimulation(options).Run()) {
      ADD_FAILURE() << "seed " << seed << ": " << it;
    }
  }
}

Fault FaultAt(int aStartsAt,
              FaultKind aKind,
              int aLength,
              std::uint32_t aFirst = 0)
{
  return { aKind, milliseconds(aStartsAt), milliseconds(aLength), aFirst, 0 };
}

// Guards against a complete withdrawal that one restart reverts. Found with
// seed 31337: two of three instances had the new version, one of them restarted
// without the service, and the other one was isolated.
TEST(FleetSimulation, CompleteWithdrawalSurvivesOneRestart)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulationOptions options;
    options.instances = 3;
    options.seed = seed;
    options.faults = { FaultAt(3571, FaultKind::ServiceDown, 1856),
                       FaultAt(0, FaultKind::Isolate, 2527, 1),
                       FaultAt(1314, FaultKind::Crash, 2257, 2),
                       FaultAt(2420, FaultKind::Isolate, 3652, 0),
                       FaultAt(0, FaultKind::Publish, 50) };
    for (const auto& it : FleetSimulation(options).Run()) {
      ADD_FAILURE() << "seed " << seed << ": " << it;
    }
  }
}

// Guards against takeovers that take longer than lease expiry (1.5 s), former
// work (1 s) and failure detection together (docs/design.md, section 8).
// Detection takes at most a round of probes (1.6 s with 9 instances), the probe
// (0.5 s) and the suspicion (1 s).
TEST(FleetSimulation, TakeoverTimeAfterACrashIsBounded)
{
  const std::vector<Candidate> candidates{ { "entry-0", "fd-0", "r1" },
                                           { "entry-3", "fd-0", "r1" },
                                           { "entry-6", "fd-0", "r1" } };
  const auto owner = PreferredOwners({ "fd-0", 0 }, "r1", candidates).at(0);
  const auto index = static_cast<std::uint32_t>(std::stoul(owner.substr(6)));
  std::vector<milliseconds> unownedTimes;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.faults = { FaultAt(3000, FaultKind::Crash, 17000, index) };
    FleetSimulation simulation(options);
    for (const auto& it : simulation.Run()) {
      ADD_FAILURE() << "seed " << seed << ": " << it;
    }
    unownedTimes.push_back(simulation.LongestUnownedTime());
  }
  std::sort(unownedTimes.begin(), unownedTimes.end());
  std::cout << "no owner after a crash for " << unownedTimes[10].count()
            << " ms (median), " << unownedTimes.back().count()
            << " ms (longest)\n";
  EXPECT_LE(unownedTimes.back(), milliseconds(1500 + 1000 + 3100));
}

struct NegativeControl
{
  Safeguard disabled;
  const char* name;
  /// Part of the violation that the disabled safeguard must lead to.
  const char* expected;
  /// A schedule in which the invariants hold only with the safeguard.
  std::vector<Fault> faults;
  std::size_t instances = 3;
};

void PrintTo(const NegativeControl& aControl, std::ostream* aOut)
{
  *aOut << aControl.name;
}

class FleetSimulationNegativeControl
  : public ::testing::TestWithParam<NegativeControl>
{};

// Guards against checks that can't fail. With the safeguard the invariants must
// hold in the schedule; without it the violation that it prevents must be
// found.
TEST_P(FleetSimulationNegativeControl, FindsViolationWithoutSafeguard)
{
  constexpr int kSeeds = 20;
  const auto& control = GetParam();
  int found = 0;
  std::string first;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    SimulationOptions options;
    options.instances = control.instances;
    options.seed = static_cast<std::uint64_t>(seed);
    options.faults = control.faults;
    for (const auto& it : FleetSimulation(options).Run()) {
      ADD_FAILURE() << "with the safeguard, seed " << seed << ": " << it;
    }
    options.disabled = control.disabled;
    const auto violations = FleetSimulation(options).Run();
    if (!violations.empty() &&
        violations[0].find(control.expected) != std::string::npos) {
      ++found;
      first = violations[0];
    }
  }
  std::cout << "violation found with " << found << " of " << kSeeds
            << " seeds, as in " << first << "\n";
  EXPECT_GT(found, 0);
}

INSTANTIATE_TEST_SUITE_P(
  Safeguards,
  FleetSimulationNegativeControl,
  ::testing::Values(
    // The holder is isolated with valid leases, and both other witnesses
    // restart.
    NegativeControl{ Safeguard::FreshWait,
                     "FreshWait",
                     "may both send",
                     { FaultAt(5000, FaultKind::Isolate, 5000),
                       FaultAt(5000, FaultKind::Crash, 10, 1),
                       FaultAt(5000, FaultKind::Crash, 10, 2) } },
    // The holder is paused and resumes after its slices have new owners.
    NegativeControl{ Safeguard::LeaseMargin,
                     "LeaseMargin",
                     "may both send",
                     { FaultAt(5000, FaultKind::Pause, 6000) } },
    // The holder is isolated and sends until its leases end.
    NegativeControl{ Safeguard::TakeoverWait,
                     "TakeoverWait",
                     "while work of another",
                     { FaultAt(5000, FaultKind::Isolate, 6000) } },
    // The owners restart at once, while backend servers still run their work.
    NegativeControl{ Safeguard::NewIncarnation,
                     "NewIncarnation",
                     "while work of another",
                     { FaultAt(5000, FaultKind::Crash, 10),
                       FaultAt(9000, FaultKind::Crash, 10, 1),
                       FaultAt(13000, FaultKind::Crash, 10, 2) } },
    // The holder is isolated before a new version is published, and sends until
    // its leases end.
    NegativeControl{ Safeguard::ReportWait,
                     "ReportWait",
                     "claim",
                     { FaultAt(5000, FaultKind::Isolate, 6000),
                       FaultAt(5010, FaultKind::Publish, 10) },
                     // With 3 instances, completion needs all of them.
                     6 },
    NegativeControl{ Safeguard::VersionOrder,
                     "VersionOrder",
                     "puts version",
                     { FaultAt(2000, FaultKind::Publish, 10),
                       FaultAt(5000, FaultKind::ServiceStale, 5000) } },
    // Slices are handed over when the first instance returns.
    NegativeControl{ Safeguard::DrainedReport,
                     "DrainedReport",
                     "no owner",
                     { FaultAt(5000, FaultKind::Crash, 6000) } }),
  [](const auto& aInfo) { return aInfo.param.name; });

} // namespace
} // namespace bronzedeal::process
