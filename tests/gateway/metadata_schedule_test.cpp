#include "bronzedeal/gateway/metadata_schedule.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

namespace bronzedeal::gateway::test {

namespace {

using Wait = MetadataWait;

/// Pauses before a retry are extended by up to half of them.
constexpr double kMaxJitter = 1.5;

bool IsRetry(Wait aWait)
{
  return aWait == Wait::FirstRetry || aWait == Wait::LastRetry ||
         aWait == Wait::NonServingLastRetry;
}

/// Waits that follow each other in the worst case.
using Chain = std::vector<Wait>;

/// From a call that was made just before the end of a disturbance, and is
/// lost, to the call that brings the newest state. The state of an instance
/// that callers are sent to then reaches those that read from it.
std::vector<Chain> RecoveryChains()
{
  std::vector<Chain> chains{
    { Wait::RelayStart, Wait::List, Wait::FirstRetry, Wait::Connect },
    // A second relay that is silent as well.
    { Wait::RelayOperatorWatch,
      Wait::RelayReply,
      Wait::RelayList,
      Wait::Connect },
    { Wait::RelayServerWatch,
      Wait::RelayReply,
      Wait::RelayList,
      Wait::Connect },
  };
  const std::vector<Chain> firstFailures{
    { Wait::ServerWatch, Wait::Reply }, { Wait::OperatorWatch, Wait::Reply }
  };
  const std::vector<Chain> laterFailures{ { Wait::ReconnectWatch, Wait::Reply },
                                          { Wait::List } };
  const auto add = [&](Chain aLost, Wait aRetry, std::vector<Wait> aRest) {
    aLost.push_back(aRetry);
    aLost.push_back(Wait::Connect);
    aLost.insert(aLost.end(), aRest.begin(), aRest.end());
    chains.push_back(std::move(aLost));
  };
  for (const auto relayed :
       { Wait::RelayedServerPause, Wait::RelayedOperatorPause }) {
    for (const auto& it : firstFailures) {
      add(it, Wait::FirstRetry, { relayed });
    }
    for (const auto& it : laterFailures) {
      add(it, Wait::LastRetry, { relayed });
    }
  }
  for (const auto& it : laterFailures) {
    add(it, Wait::NonServingLastRetry, {});
  }
  return chains;
}

/// From the publication of a configuration to its activation, while the
/// service is sound; the reading instance may be cut off from it.
std::vector<Chain> ActivationChains()
{
  return {
    { Wait::OperatorPause, Wait::RelayedOperatorPause },
    { Wait::NonServingOperatorPause },
    { Wait::RelayedOperatorAge, Wait::RelayOperatorWatch },
    { Wait::RelayedOperatorAge, Wait::RelayedOperatorPause },
    { Wait::RelayOperatorWatch, Wait::RelayReply, Wait::RelayConnect },
    { Wait::RelayOperatorWatch,
      Wait::RelayReply,
      Wait::RelayList,
      Wait::Connect },
  };
}

/// The same from the report that a server leaves.
std::vector<Chain> DrainChains()
{
  return {
    { Wait::ServerPause, Wait::RelayedServerPause },
    { Wait::GrowingServerPause },
    { Wait::NonServingServerPause },
    { Wait::RelayedServerAge, Wait::RelayServerWatch },
    { Wait::RelayedServerAge, Wait::RelayedServerPause },
    { Wait::RelayServerWatch, Wait::RelayReply, Wait::RelayConnect },
    { Wait::RelayServerWatch,
      Wait::RelayReply,
      Wait::RelayList,
      Wait::Connect },
  };
}

milliseconds LengthOf(const Chain& aChain, const Settings& aSettings)
{
  std::chrono::duration<double, std::milli> length{};
  for (const auto it : aChain) {
    length += (IsRetry(it) ? kMaxJitter : 1) *
              std::chrono::duration<double, std::milli>(
                gateway::LengthOf(it, aSettings));
  }
  return std::chrono::ceil<milliseconds>(length);
}

std::string TextOf(const Chain& aChain)
{
  std::string text;
  for (const auto it : aChain) {
    text += (text.empty() ? "" : " + ") + std::string(Name(it));
  }
  return text;
}

Settings SettingsWith(milliseconds aContact,
                      milliseconds aActivation,
                      milliseconds aDrain)
{
  Settings settings;
  settings.contactTime = aContact;
  settings.configActivationTime = aActivation;
  settings.maxDrainTime = aDrain;
  return settings;
}

/// The bounds of the users' deployments, and others within their ranges.
std::vector<Settings> Deployments()
{
  std::vector<Settings> deployments;
  for (const int contact : { 4000, 5000, 6000 }) {
    for (const int activation : { 3000, 4000, 5000, 6000 }) {
      for (const int drain : { 3000, 5000, 6000 }) {
        deployments.push_back(SettingsWith(milliseconds(contact),
                                           milliseconds(activation),
                                           milliseconds(drain)));
      }
    }
  }
  return deployments;
}

void ExpectWithin(const std::vector<Chain>& aChains,
                  const Settings& aSettings,
                  milliseconds aBound)
{
  for (const auto& it : aChains) {
    EXPECT_LE(LengthOf(it, aSettings), aBound) << TextOf(it);
  }
}

} // namespace

// Guards against an instance that still waits for a lost answer when it must be
// current again (review/8): a watch of the operators' entries was waited for
// for 5.2 s, 4 s allowed.
TEST(MetadataSchedule, RecoversWithinTheContactTime)
{
  for (const auto& it : Deployments()) {
    ExpectWithin(RecoveryChains(), it, it.contactTime);
  }
}

// Guards against a configuration that is in force too late because the waits of
// the reading instance and of those that read from it add up.
TEST(MetadataSchedule, ActivatesConfigurationsInTime)
{
  for (const auto& it : Deployments()) {
    ExpectWithin(ActivationChains(), it, it.configActivationTime);
  }
}

// The same for servers that leave.
TEST(MetadataSchedule, ReadsLeavingServersInTime)
{
  for (const auto& it : Deployments()) {
    ExpectWithin(DrainChains(), it, it.maxDrainTime);
  }
}

// Guards against relays that refuse all calls because their own state is always
// too old between two replies of the service.
TEST(MetadataSchedule, ReadsMoreOftenThanRelayedStateBecomesOutdated)
{
  for (const auto& it : Deployments()) {
    EXPECT_LT(LengthOf({ Wait::ServerWatch, Wait::ServerPause }, it),
              gateway::LengthOf(Wait::RelayedServerAge, it));
    EXPECT_LT(LengthOf({ Wait::OperatorWatch, Wait::OperatorPause }, it),
              gateway::LengthOf(Wait::RelayedOperatorAge, it));
  }
}

// Guards against a wait that is added without a check that it ends in time.
TEST(MetadataSchedule, EachWaitIsPartOfACheckedChain)
{
  std::vector<Wait> checked;
  for (const auto& chains :
       { RecoveryChains(), ActivationChains(), DrainChains() }) {
    for (const auto& it : chains) {
      checked.insert(checked.end(), it.begin(), it.end());
    }
  }
  for (std::size_t n = 0; n < kMetadataWaitCount; ++n) {
    const auto wait = static_cast<Wait>(n);
    EXPECT_NE(std::find(checked.begin(), checked.end(), wait), checked.end())
      << Name(wait);
  }
}

// Guards against fractions that fit the bounds of the known deployments only.
RC_GTEST_PROP(MetadataSchedule, RecoversInTimeWithOtherBounds, ())
{
  const auto bound = [] {
    return milliseconds(*rc::gen::inRange(500, 60'000));
  };
  const auto settings = SettingsWith(bound(), bound(), bound());
  for (const auto& it : RecoveryChains()) {
    RC_ASSERT(LengthOf(it, settings) <= settings.contactTime);
  }
}

} // namespace bronzedeal::gateway::test
