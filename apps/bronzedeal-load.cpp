#include "../tools/load/load_run.hpp"
#include "../tools/load/report.hpp"

#include <boost/json/serialize.hpp>
#include <glog/logging.h>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using bronzedeal::load::LoadOptions;
using bronzedeal::load::ParseTraffic;

template<typename T>
using Value = TCLAP::ValueArg<T>;
using Texts = TCLAP::MultiArg<std::string>;

int Main(int argc, char** argv)
{
  LoadOptions o;
  TCLAP::CmdLine line("Open-loop load of callers", ' ', BRONZEDEAL_VERSION);
  Texts seeds("", "seeds", "Instances asked first", false, "IP:PORT", line);
  Texts traffic(
    "", "traffic", "Queries, with weight", false, "CUSTOMER/KIND[=W]", line);
  Value<double> rate(
    "", "rate", "Arrivals per second", false, o.rate, "N", line);
  Value<double> duration(
    "", "duration", "Seconds of arrivals", false, o.seconds, "S", line);
  Value<std::uint64_t> seed("", "seed", "Generator", false, o.seed, "N", line);
  Value<std::uint64_t> deadline(
    "", "deadline-ms", "Deadline of requests", false, o.deadlineMs, "MS", line);
  Value<double> coverage(
    "", "min-coverage", "Least coverage", false, o.minCoverage, "X", line);
  Value<unsigned> callers(
    "", "callers", "Address caches", false, o.callers, "N", line);
  Value<unsigned> contents(
    "", "contents", "Recurring contents", false, o.contents, "N", line);
  Value<double> unique(
    "", "unique-share", "Own contents", false, o.uniqueShare, "X", line);
  Value<double> crash(
    "", "crash-share", "Marked queries", false, o.crashShare, "X", line);
  Value<double> operations("",
                           "operation-share",
                           "Operations among arrivals",
                           false,
                           o.operationShare,
                           "X",
                           line);
  Texts operationTraffic("",
                         "operation-traffic",
                         "Operations, with weight",
                         false,
                         "CUSTOMER/KIND[=W]",
                         line);
  Texts operationShards(
    "", "operation-shard", "Shards of operations", false, "SHARD", line);
  Value<double> duplicates("",
                           "duplicate-share",
                           "Operations sent twice at once",
                           false,
                           o.duplicateShare,
                           "X",
                           line);
  Value<std::string> history(
    "", "history", "History of requests", false, "", "FILE", line);
  Value<std::string> direct(
    "", "direct", "Ask these servers directly", false, "", "FILE", line);
  Value<unsigned> fanOut(
    "", "fan-out", "Shards per direct query", false, o.fanOut, "N", line);
  TCLAP::SwitchArg asJson("", "json", "Report as one JSON line", line);
  line.parse(argc, argv);

  o.seeds = seeds.getValue();
  for (const auto& it : traffic.getValue()) {
    o.traffic.push_back(ParseTraffic(it));
  }
  o.rate = rate.getValue();
  o.seconds = duration.getValue();
  o.seed = seed.getValue();
  o.deadlineMs = deadline.getValue();
  o.minCoverage = coverage.getValue();
  o.callers = callers.getValue();
  o.contents = contents.getValue();
  o.uniqueShare = unique.getValue();
  o.crashShare = crash.getValue();
  o.operationShare = operations.getValue();
  for (const auto& it : operationTraffic.getValue()) {
    o.operationTraffic.push_back(ParseTraffic(it));
  }
  o.operationShards = operationShards.getValue();
  o.duplicateShare = duplicates.getValue();
  o.history = history.getValue();
  o.directFile = direct.getValue();
  o.fanOut = fanOut.getValue();

  const auto report = bronzedeal::load::RunLoad(o);
  if (asJson.getValue()) {
    std::cout << boost::json::serialize(report) << '\n';
  } else {
    std::cout << bronzedeal::load::Report::ToText(report);
  }
  return 0;
}

} // namespace

int main(int argc, char** argv)
{
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  try {
    return Main(argc, argv);
  } catch (const std::exception& e) {
    LOG(ERROR) << e.what();
    return 1;
  }
}
