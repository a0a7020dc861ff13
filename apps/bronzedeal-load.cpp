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
using SingleValueArg = TCLAP::ValueArg<T>;
using MultiStringArg = TCLAP::MultiArg<std::string>;

int RunMain(int argc, char** argv)
{
  LoadOptions options;
  TCLAP::CmdLine commandLine(
    "Open-loop load generator that acts as callers", ' ', BRONZEDEAL_VERSION);
  MultiStringArg seeds("",
                       "seeds",
                       "Instances that are asked for addresses first",
                       false,
                       "IP:PORT",
                       commandLine);
  MultiStringArg traffic("",
                         "traffic",
                         "Queries of a customer, with their weight",
                         false,
                         "CUSTOMER/KIND[=W]",
                         commandLine);
  SingleValueArg<double> rate(
    "", "rate", "Arrivals per second", false, options.rate, "N", commandLine);
  SingleValueArg<double> duration("",
                                  "duration",
                                  "Duration of the arrivals in seconds",
                                  false,
                                  options.seconds,
                                  "S",
                                  commandLine);
  SingleValueArg<std::uint64_t> seed(
    "", "seed", "Generator", false, options.seed, "N", commandLine);
  SingleValueArg<std::uint64_t> deadline(
    "",
    "deadline-ms",
    "Deadline of each request in milliseconds",
    false,
    options.deadlineMs,
    "MS",
    commandLine);
  SingleValueArg<double> coverage("",
                                  "min-coverage",
                                  "Minimum coverage of a query, 0 to 1",
                                  false,
                                  options.minCoverage,
                                  "X",
                                  commandLine);
  SingleValueArg<unsigned> callers(
    "",
    "callers",
    "Number of callers, each with an address cache",
    false,
    options.callers,
    "N",
    commandLine);
  SingleValueArg<unsigned> contents("",
                                    "contents",
                                    "Number of recurring query contents",
                                    false,
                                    options.contents,
                                    "N",
                                    commandLine);
  SingleValueArg<double> unique("",
                                "unique-share",
                                "Share of queries with a content of their own",
                                false,
                                options.uniqueShare,
                                "X",
                                commandLine);
  SingleValueArg<double> crash("",
                               "crash-share",
                               "Share of queries with the crash marker",
                               false,
                               options.crashShare,
                               "X",
                               commandLine);
  SingleValueArg<double> operations("",
                                    "operation-share",
                                    "Share of operations among the arrivals",
                                    false,
                                    options.operationShare,
                                    "X",
                                    commandLine);
  MultiStringArg operationTraffic("",
                                  "operation-traffic",
                                  "Operations of a customer, with their weight",
                                  false,
                                  "CUSTOMER/KIND[=W]",
                                  commandLine);
  MultiStringArg operationShards("",
                                 "operation-shard",
                                 "Shard that operations address",
                                 false,
                                 "SHARD",
                                 commandLine);
  SingleValueArg<double> duplicates(
    "",
    "duplicate-share",
    "Share of operations sent to two instances at once",
    false,
    options.duplicateShare,
    "X",
    commandLine);
  SingleValueArg<std::string> history("",
                                      "history",
                                      "File for the history of the requests",
                                      false,
                                      "",
                                      "FILE",
                                      commandLine);
  SingleValueArg<std::string> direct(
    "",
    "direct",
    "File with backend servers to query directly",
    false,
    "",
    "FILE",
    commandLine);
  SingleValueArg<unsigned> fanOut("",
                                  "fan-out",
                                  "Shards per direct query; 0 means all",
                                  false,
                                  options.fanOut,
                                  "N",
                                  commandLine);
  TCLAP::SwitchArg asJson(
    "", "json", "Print the report as one JSON line", commandLine);
  commandLine.parse(argc, argv);

  options.seeds = seeds.getValue();
  for (const auto& it : traffic.getValue()) {
    options.traffic.push_back(ParseTraffic(it));
  }
  options.rate = rate.getValue();
  options.seconds = duration.getValue();
  options.seed = seed.getValue();
  options.deadlineMs = deadline.getValue();
  options.minCoverage = coverage.getValue();
  options.callers = callers.getValue();
  options.contents = contents.getValue();
  options.uniqueShare = unique.getValue();
  options.crashShare = crash.getValue();
  options.operationShare = operations.getValue();
  for (const auto& it : operationTraffic.getValue()) {
    options.operationTraffic.push_back(ParseTraffic(it));
  }
  options.operationShards = operationShards.getValue();
  options.duplicateShare = duplicates.getValue();
  options.history = history.getValue();
  options.directFile = direct.getValue();
  options.fanOut = fanOut.getValue();

  const auto report = bronzedeal::load::RunLoad(options);
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
    return RunMain(argc, argv);
  } catch (const std::exception& e) {
    LOG(ERROR) << e.what();
    return 1;
  }
}
