#include "../../tools/load/load_run.hpp"
#include "../../tools/load/report.hpp"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bronzedeal::load {
namespace {

// Guards against quantiles that are off by more than the bins' width.
RC_GTEST_PROP(Report, QuantilesAreWithinOnePercent, ())
{
  auto micros =
    *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
      rc::gen::inRange(20, 900000)));
  Report report;
  for (const auto it : micros) {
    report.Offer();
    report.Done("0", true, true, 1, it);
  }
  std::sort(micros.begin(), micros.end());
  const auto json = report.ToJson(1);
  for (const auto& [name, share] :
       { std::pair("p50_ms", 0.5), std::pair("p99_ms", 0.99) }) {
    const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(micros.size())));
    const auto exact = static_cast<double>(micros[rank - 1]) / 1000;
    const auto seen = json.at(name).to_number<double>();
    RC_ASSERT(seen >= exact * 0.99 - 0.001 && seen <= exact * 1.01 + 0.001);
  }
}

// Guards against a marked query that lowers the whole answers share.
TEST(Report, MarkedQueriesCountAmongTheCodesOnly)
{
  Report report;
  report.Offer();
  report.Done("0", true, true, 1, 1000);
  report.CountMarked("205");
  const auto json = report.ToJson(2);
  EXPECT_EQ(json.at("whole_share").to_number<double>(), 1);
  EXPECT_EQ(json.at("codes").at("marked 205").to_number<int>(), 1);
}

// Guards against a mistyped option that silently changes the traffic.
TEST(ParseTraffic, AcceptsWeightsAndRefusesTheRest)
{
  const auto traffic = ParseTraffic("gaonsan/search=2.5");
  EXPECT_EQ(traffic.customer, "gaonsan");
  EXPECT_EQ(traffic.kind, "search");
  EXPECT_EQ(traffic.weight, 2.5);
  EXPECT_EQ(ParseTraffic("a/b").weight, 1);
  for (const auto* it : { "", "a", "/b", "a/", "a/b=", "a/b=x" }) {
    EXPECT_THROW((void)ParseTraffic(it), std::invalid_argument) << it;
  }
}

} // namespace
} // namespace bronzedeal::load
