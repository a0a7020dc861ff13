#include "bronzedeal/gateway/metadata_schedule.hpp"

#include <algorithm>
#include <array>

namespace bronzedeal::gateway {

namespace {

constexpr milliseconds kUnlimited = milliseconds::max();

/// A wait is the least of the fractions of the bounds that are above 0 and of
/// `most`.
struct Rule
{
  std::string_view name;
  double ofContact = 0;
  double ofActivation = 0;
  double ofDrain = 0;
  milliseconds most = kUnlimited;
};

/// In the order of `MetadataWait`.
constexpr std::array<Rule, kMetadataWaitCount> kRules{ {
  { "connect", 0.125, 0, 0, milliseconds(500) },
  { "list", 0.375, 0, 0, milliseconds(1500) },
  { "server_watch", 0.45, 0, 0.3 },
  { "operator_watch", 0.45, 0.55, 0 },
  { "reconnect_watch", 0.05, 0, 0, milliseconds(200) },
  { "reply", 0.175, 0, 0, milliseconds(700) },
  { "first_retry", 0.025, 0, 0, milliseconds(100) },
  { "last_retry", 0.2, 0, 0, milliseconds(800) },
  { "non_serving_last_retry", 0.3, 0, 0, milliseconds(2000) },
  { "server_pause", 0, 0, 0.2 },
  { "non_serving_server_pause", 0, 0, 0.6 },
  { "growing_server_pause", 0, 0, 0.04 },
  { "relayed_server_pause", 0.15, 0, 0.1 },
  { "operator_pause", 0, 0.1, 0 },
  { "non_serving_operator_pause", 0, 0.3, 0 },
  { "relayed_operator_pause", 0.15, 0.15, 0 },
  { "relay_start", 0.45, 0, 0 },
  { "relay_connect", 0.075, 0, 0, milliseconds(300) },
  { "relay_list", 0.3, 0.3, 0.3, milliseconds(1500) },
  { "relay_server_watch", 0.3, 0, 0.3 },
  { "relay_operator_watch", 0.3, 0.15, 0 },
  { "relay_reply", 0.1, 0, 0, milliseconds(400) },
  { "relayed_server_age", 0, 0, 0.65 },
  { "relayed_operator_age", 0, 0.75, 0 },
} };

milliseconds Fraction(double aFraction, milliseconds aBound) noexcept
{
  return aFraction > 0
           ? std::chrono::duration_cast<milliseconds>(
               aFraction * std::chrono::duration<double, std::milli>(aBound))
           : kUnlimited;
}

} // namespace

std::string_view Name(MetadataWait aWait) noexcept
{
  return kRules[static_cast<std::size_t>(aWait)].name;
}

milliseconds LengthOf(MetadataWait aWait, const Settings& aSettings) noexcept
{
  const auto& rule = kRules[static_cast<std::size_t>(aWait)];
  return std::min({ Fraction(rule.ofContact, aSettings.contactTime),
                    Fraction(rule.ofActivation, aSettings.configActivationTime),
                    Fraction(rule.ofDrain, aSettings.maxDrainTime),
                    rule.most });
}

} // namespace bronzedeal::gateway
