#include "report.hpp"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/json/value_to.hpp>
#include <fmt/format.h>

namespace bronzedeal::load {

namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

/// From 10 us to 60 s in steps of 0.8%, which bounds the error of a quantile.
constexpr unsigned kBins = 2000;
constexpr double kLowestMs = 0.01;
constexpr double kHighestMs = 60'000;

constexpr std::pair<std::string_view, double> kQuantiles[] = {
  { "p50_ms", 0.5 },
  { "p90_ms", 0.9 },
  { "p99_ms", 0.99 },
  { "p999_ms", 0.999 },
};

double Round(double aMs)
{
  return static_cast<double>(static_cast<std::int64_t>(aMs * 1000)) / 1000;
}

boost::json::object Counts(
  const std::map<std::string, std::uint64_t, std::less<>>& aCounts)
{
  boost::json::object counts;
  for (const auto& [name, n] : aCounts) {
    counts[name] = n;
  }
  return counts;
}

} // namespace

struct Report::Histogram
{
  void Add(std::int64_t aMicros)
  {
    const auto ms = static_cast<double>(aMicros) / 1000;
    bins(ms);
    ++count;
    highest = std::max(highest, ms);
  }

  [[nodiscard]] double Quantile(double aShare) const
  {
    const auto rank = aShare * static_cast<double>(count);
    double seen = 0;
    for (auto&& it : bh::indexed(bins, bh::coverage::all)) {
      seen += *it;
      if (seen >= rank) {
        return std::min(it.bin(0).upper(), highest);
      }
    }
    return highest;
  }

  void Describe(boost::json::object& aTo) const
  {
    for (const auto& [name, share] : kQuantiles) {
      aTo[name] = count == 0 ? 0 : Round(Quantile(share));
    }
    aTo["max_ms"] = Round(highest);
  }

  decltype(bh::make_histogram(LogAxis(kBins, kLowestMs, kHighestMs))) bins =
    bh::make_histogram(LogAxis(kBins, kLowestMs, kHighestMs));
  std::uint64_t count = 0;
  double highest = 0;
};

Report::Report()
  : mQueries(std::make_unique<Histogram>())
  , mOperations(std::make_unique<Histogram>())
{
}

Report::~Report() = default;

void Report::Done(std::string_view aCode,
                  bool aAnswered,
                  bool aWhole,
                  double aCoverage,
                  std::int64_t aLatencyMicros)
{
  ++mCodes[std::string(aCode)];
  mCoverage += aCoverage;
  if (aAnswered) {
    ++mAnswered;
    mQueries->Add(aLatencyMicros);
  }
  if (aWhole) {
    ++mWhole;
  }
}

void Report::DoneOperation(std::string_view aOutcome,
                           std::int64_t aLatencyMicros)
{
  ++mOutcomes[std::string(aOutcome)];
  mOperations->Add(aLatencyMicros);
}

boost::json::object Report::ToJson(double aSeconds) const
{
  const auto offered = static_cast<double>(mOffered);
  const auto share = [&](double aCount) {
    return mOffered == 0 ? 0 : aCount / offered;
  };
  boost::json::object report{
    { "seconds", aSeconds },
    { "offered", mOffered },
    { "answered", mAnswered },
    { "whole", mWhole },
    { "resends", mResends },
    { "offered_rate", offered / aSeconds },
    { "answered_rate", static_cast<double>(mAnswered) / aSeconds },
    { "goodput", static_cast<double>(mWhole) / aSeconds },
    { "whole_share", share(static_cast<double>(mWhole)) },
    { "coverage", share(mCoverage) },
    { "codes", Counts(mCodes) },
  };
  mQueries->Describe(report);
  boost::json::object operations{ { "count", mOperations->count },
                                  { "outcomes", Counts(mOutcomes) } };
  mOperations->Describe(operations);
  report["operations"] = std::move(operations);
  return report;
}

std::string Report::ToText(const boost::json::object& aReport)
{
  const auto number = [&](std::string_view aKey) {
    return aReport.at(aKey).to_number<double>();
  };
  auto text = fmt::format(
    "queries      {:.0f} offered, {:.0f} answered in {:.1f} s "
    "({:.1f}/s offered, {:.1f}/s answered)\n"
    "whole        {:.4f}%  mean coverage {:.4f}%  resends {:.0f}\n"
    "latency ms   p50 {:.2f}  p90 {:.2f}  p99 {:.2f}  p99.9 {:.2f}  "
    "max {:.2f}\n",
    number("offered"),
    number("answered"),
    number("seconds"),
    number("offered_rate"),
    number("answered_rate"),
    100 * number("whole_share"),
    100 * number("coverage"),
    number("resends"),
    number("p50_ms"),
    number("p90_ms"),
    number("p99_ms"),
    number("p999_ms"),
    number("max_ms"));
  for (const auto& [code, n] : aReport.at("codes").as_object()) {
    text += fmt::format("code {:<12} {}\n",
                        std::string_view(code),
                        boost::json::value_to<std::uint64_t>(n));
  }
  const auto& operations = aReport.at("operations").as_object();
  for (const auto& [outcome, n] : operations.at("outcomes").as_object()) {
    text += fmt::format("operation {:<12} {}\n",
                        std::string_view(outcome),
                        boost::json::value_to<std::uint64_t>(n));
  }
  return text;
}

} // namespace bronzedeal::load
