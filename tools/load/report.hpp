#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace bronzedeal::load {

/// Counts and latencies of one run.
class Report
{
public:
  Report();
  Report(const Report&) = delete;
  Report& operator=(const Report&) = delete;
  ~Report();

  /// A query is offered at its intended start, whether or not it is answered.
  void Offer() noexcept { ++mOffered; }
  /// `aCode` is a result code, or the name of a client error. Coverage is the
  /// ratio of the answer, 0 without an answer.
  void Done(std::string_view aCode,
            bool aAnswered,
            bool aWhole,
            double aCoverage,
            std::int64_t aLatencyMicros);
  void DoneOperation(std::string_view aOutcome, std::int64_t aLatencyMicros);
  /// A query with the crash marker.
  void CountMarked(std::string_view aCode)
  {
    ++mCodes["marked " + std::string(aCode)];
  }
  void CountResend() noexcept { ++mResends; }

  /// Latencies in milliseconds, of answered queries and of operations.
  [[nodiscard]] boost::json::object ToJson(double aSeconds) const;
  [[nodiscard]] static std::string ToText(const boost::json::object& aReport);

private:
  struct Histogram;

  std::uint64_t mOffered = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mWhole = 0;
  std::uint64_t mResends = 0;
  double mCoverage = 0;
  std::map<std::string, std::uint64_t, std::less<>> mCodes;
  std::map<std::string, std::uint64_t, std::less<>> mOutcomes;
  std::unique_ptr<Histogram> mQueries;
  std::unique_ptr<Histogram> mOperations;
};

} // namespace bronzedeal::load
