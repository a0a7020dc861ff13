#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzedeal::load {

/// A customer's traffic of one kind, with its share among all entries.
struct Traffic
{
  std::string customer;
  std::string kind;
  double weight = 1;
};

/// Parses `CUSTOMER/KIND` or `CUSTOMER/KIND=WEIGHT`; throws
/// std::invalid_argument.
[[nodiscard]] Traffic ParseTraffic(const std::string& aText);

struct LoadOptions
{
  /// Instances that are asked for addresses first.
  std::vector<std::string> seeds;
  std::vector<Traffic> traffic;
  double rate = 100;
  double seconds = 10;
  std::uint64_t seed = 1;
  std::uint64_t deadlineMs = 500;
  double minCoverage = 0;
  unsigned callers = 8;
  /// Number of distinct query contents that recur, and the share of queries
  /// with a content of their own.
  unsigned contents = 200;
  double uniqueShare = 0.1;
  /// Share of queries with the crash marker.
  double crashShare = 0;
  /// Operations: share of all arrivals, traffic and shards.
  double operationShare = 0;
  std::vector<Traffic> operationTraffic;
  std::vector<std::string> operationShards;
  /// Share of operations that are sent to a second instance at the same time.
  double duplicateShare = 0;
  std::string history;
  /// Settings of direct mode; empty for the tier. See `LoadRun`.
  std::string directFile;
  /// Shards of each query in direct mode; 0 means all.
  unsigned fanOut = 0;
};

/// Runs an open-loop load to its end and returns the report. Arrivals follow a
/// Poisson process and do not wait for answers; latency counts from the
/// intended start. SIGTERM ends the arrivals early.
///
/// In direct mode each query goes straight to the backend servers of the file
/// `{"index_version": 1, "slots": 2, "shards": {"shard-00": ["ip:port", ..]}}`,
/// one server per shard, with at most `slots` requests at a server.
///
/// Throws std::exception on bad options or files.
[[nodiscard]] boost::json::object RunLoad(const LoadOptions& aOptions);

} // namespace bronzedeal::load
