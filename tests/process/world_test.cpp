#include "world.hpp"

#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>
#include <ostream>
#include <rapidcheck/gtest.h>

// Several instances under random schedules of faults in virtual time. The seed
// of RapidCheck is fixed, so that every run gives the same verdict; RC_PARAMS
// replaces it, as in RC_PARAMS="seed=7 max_success=1000".

namespace bronzedeal::process {

void showValue(const Fault& aFault, std::ostream& aOut)
{
  aOut << "{kind " << static_cast<int>(aFault.kind) << ", at "
       << aFault.at.count() << " ms, length " << aFault.length.count()
       << " ms, " << aFault.first << ", " << aFault.second << "}";
}

namespace {

constexpr const char* kParameters = "seed=20261204 max_success=150 max_size=40";

// RapidCheck reads its parameters when the first property is checked.
const bool kSeeded = [] {
  ::setenv("RC_PARAMS", kParameters, 0);
  std::cout << "RapidCheck parameters: " << ::getenv("RC_PARAMS") << "\n";
  return true;
}();

// Uniform over the whole range; RapidCheck's own grows with the size.
template<typename T>
rc::Gen<T> Uniform(T aFrom, T aTo)
{
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(aFrom, aTo));
}

rc::Gen<Fault> AnyFault()
{
  const auto kind = rc::gen::map(Uniform(0, kFaultKinds),
                                 [](int aIt) { return FaultKind(aIt); });
  const auto time = [](int aFrom, int aTo) {
    return rc::gen::map(Uniform(aFrom, aTo),
                        [](int aIt) { return milliseconds(aIt); });
  };
  return rc::gen::build<Fault>(
    rc::gen::set(&Fault::kind, kind),
    rc::gen::set(&Fault::at, time(0, 18000)),
    rc::gen::set(&Fault::length, time(50, 8000)),
    rc::gen::set(&Fault::first, Uniform<std::uint32_t>(0, 1000)),
    rc::gen::set(&Fault::second, Uniform<std::uint32_t>(0, 1000)));
}

rc::Gen<WorldOptions> AnyWorld()
{
  return rc::gen::build<WorldOptions>(
    rc::gen::set(&WorldOptions::instances,
                 rc::gen::element<std::size_t>(3, 4, 6, 9, 9)),
    rc::gen::set(&WorldOptions::seed, Uniform<std::uint64_t>(1, 1000000)),
    rc::gen::set(&WorldOptions::faults,
                 rc::gen::container<std::vector<Fault>>(AnyFault())));
}

// Guards against two owners at once, a version that falls, a withdrawal that is
// claimed too early, and slices that stay without an owner.
RC_GTEST_PROP(World, HoldsUnderRandomFaults, ())
{
  const auto options = *AnyWorld();
  World world(options);
  const auto violations = world.Run();
  for (const auto& [name, n] : world.Counts()) {
    RC_CLASSIFY(n > 0, name);
  }
  if (!violations.empty()) {
    RC_LOG() << options.instances << " instances, seed " << options.seed
             << "\n";
    for (const auto& it : options.faults) {
      showValue(it, RC_LOG());
      RC_LOG() << "\n";
    }
    RC_FAIL(violations[0]);
  }
}

struct Control
{
  Guard off;
  const char* name;
  /// Part of the violation that the missing guard must lead to.
  const char* expected;
  /// A schedule for 3 instances that needs the guard; without one, random
  /// schedules are tried.
  std::vector<Fault> faults = {};
};

void PrintTo(const Control& aControl, std::ostream* aOut)
{
  *aOut << aControl.name;
}

class WorldControl : public ::testing::TestWithParam<Control>
{};

// Guards against a check that can't fail: without the guard, the same schedules
// must lead to the violation that the guard prevents.
TEST_P(WorldControl, FindsMissingGuard)
{
  const auto& control = GetParam();
  constexpr int kRuns = 60;
  bool found = false;
  for (int seed = 1; seed <= kRuns && !found; ++seed) {
    auto options = AnyWorld()(rc::Random(seed), 1 + seed % 40).value();
    if (!control.faults.empty()) {
      options.instances = 3;
      options.faults = control.faults;
      EXPECT_TRUE(World(options).Run().empty()) << "with guard, " << seed;
    }
    options.off = control.off;
    for (const auto& it : World(options).Run()) {
      if (it.find(control.expected) != std::string::npos) {
        std::cout << "schedule " << seed << ": " << it << "\n";
        found = true;
        break;
      }
    }
  }
  EXPECT_TRUE(found) << "no violation in " << kRuns << " schedules";
}

// The holder is cut off with valid leases, and both other witnesses restart.
const std::vector<Fault> kWitnessesRestart{
  { FaultKind::Isolate, milliseconds(5000), milliseconds(5000), 0, 0 },
  { FaultKind::Crash, milliseconds(5000), milliseconds(10), 1, 0 },
  { FaultKind::Crash, milliseconds(5000), milliseconds(10), 2, 0 },
};

// The owner restarts at once, while backend servers still run its work.
const std::vector<Fault> kOwnerRestarts{
  { FaultKind::Crash, milliseconds(5000), milliseconds(10), 0, 0 },
  { FaultKind::Crash, milliseconds(9000), milliseconds(10), 1, 0 },
  { FaultKind::Crash, milliseconds(13000), milliseconds(10), 2, 0 },
};

INSTANTIATE_TEST_SUITE_P(
  Guards,
  WorldControl,
  ::testing::Values(
    Control{ Guard::FreshWait,
             "FreshWait",
             "may both send",
             kWitnessesRestart },
    Control{ Guard::LeaseMargin, "LeaseMargin", "may both send" },
    Control{ Guard::TakeoverWait, "TakeoverWait", "while work of another" },
    Control{ Guard::NewIncarnation,
             "NewIncarnation",
             "while work of another",
             kOwnerRestarts },
    Control{ Guard::ReportWait, "ReportWait", "claim" },
    Control{ Guard::VersionOrder, "VersionOrder", "puts version" },
    Control{ Guard::DrainedReport, "DrainedReport", "no owner" }),
  [](const auto& aInfo) { return aInfo.param.name; });

} // namespace
} // namespace bronzedeal::process
