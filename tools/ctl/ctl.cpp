#include "ctl.hpp"

#include "bronzedeal/version/version.hpp"
#include "http_client.hpp"
#include "options.hpp"
#include "render.hpp"
#include "request_log.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <optional>
#include <set>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace bronzedeal::ctl {

namespace json = boost::json;

namespace {

constexpr milliseconds kPollInterval{ 500 };

/// A JSON object that an instance answered, or an error object.
struct Reply
{
  bool failed = false;
  /// The instance refuses the call, so that asking again does not help.
  bool refused = false;
  json::value value;
};

Reply Failure(ResultCode aCode, std::string aMessage)
{
  return { true, false, ErrorToJson({ aCode, std::move(aMessage), {} }) };
}

Reply ToReply(const std::string& aAddress, const HttpAnswer& aAnswer)
{
  if (!aAnswer.failure.empty()) {
    return Failure(ResultCode::IoError, aAddress + ": " + aAnswer.failure);
  }
  json::error_code ec;
  auto value = json::parse(aAnswer.body, ec);
  if (ec || !value.is_object()) {
    return Failure(ResultCode::IoError,
                   fmt::format("{}: the answer with HTTP status {} is no JSON "
                               "object",
                               aAddress,
                               aAnswer.status));
  }
  const bool failed = aAnswer.status != 200;
  return { failed,
           failed && aAnswer.status >= 400 && aAnswer.status < 500,
           std::move(value) };
}

class Command
{
public:
  Command(const Options& aOptions, std::ostream& aOut, std::ostream& aErr)
    : mOptions(aOptions)
    , mOut(aOut)
    , mErr(aErr)
  {
  }

  int Run()
  {
    if (mOptions.command == "validate") {
      return Validate();
    }
    if (mOptions.command == "explain") {
      return Explain();
    }
    if (mOptions.command == "explain-request") {
      return ExplainRequest();
    }
    if (mOptions.command == "withdrawal") {
      return Withdrawal();
    }
    if (mOptions.command == "audit") {
      return Audit();
    }
    return Status();
  }

private:
  int Fail(const json::value& aError)
  {
    if (mOptions.json) {
      mErr << json::serialize(aError) << '\n';
    } else {
      PrintError(mErr, aError);
    }
    return kExitFailed;
  }

  void PrintJson(const json::value& aValue)
  {
    mOut << json::serialize(aValue) << '\n';
  }

  std::optional<version::Document> ReadDocument()
  {
    std::stringstream buf;
    if (mOptions.file == "-") {
      buf << std::cin.rdbuf();
    } else {
      const std::ifstream file(mOptions.file, std::ios::binary);
      if (!file) {
        Fail(ErrorToJson(
          { ResultCode::IoError, mOptions.file + " can't be read", {} }));
        return std::nullopt;
      }
      buf << file.rdbuf();
    }
    Error error;
    auto result = version::ParseDocument(buf.str(), error);
    if (!result) {
      Fail(ErrorToJson(error));
    }
    return result;
  }

  int Validate()
  {
    auto document = ReadDocument();
    if (!document) {
      return kExitFailed;
    }
    const version::Snapshot snapshot(std::move(*document));
    const auto& content = snapshot.Content();
    const auto shards = content.index.versions.at(content.index.serving).size();
    if (mOptions.json) {
      PrintJson({ { "valid", true },
                  { "version", snapshot.Version() },
                  { "hash", version::ToString(snapshot.Hash()) },
                  { "servers", snapshot.Servers().size() },
                  { "selectors", content.selectors.size() },
                  { "serving", content.index.serving },
                  { "shards", shards } });
    } else {
      mOut << fmt::format("{}: valid; version {}, hash {}, {} servers, {} "
                          "selectors, {} shards in index version {}\n",
                          mOptions.file,
                          snapshot.Version(),
                          version::ToString(snapshot.Hash()),
                          snapshot.Servers().size(),
                          content.selectors.size(),
                          shards,
                          content.index.serving);
    }
    return kExitOk;
  }

  /// The reply of the first instance that answers or refuses.
  Reply AskFirst(const std::string& aTarget, const std::string& aBody = {})
  {
    Reply reply;
    for (const auto& it : mOptions.instances) {
      const auto answers =
        CallAll({ { it, aBody, aTarget } }, mOptions.timeout);
      reply = ToReply(it, answers.front());
      if (!reply.failed || reply.refused) {
        break;
      }
    }
    return reply;
  }

  std::vector<Reply> AskAll(const std::vector<std::string>& aAddresses,
                            const std::string& aTarget)
  {
    std::vector<HttpCall> calls;
    calls.reserve(aAddresses.size());
    for (const auto& it : aAddresses) {
      calls.push_back({ it, {}, aTarget });
    }
    const auto answers = CallAll(calls, mOptions.timeout);
    std::vector<Reply> result;
    result.reserve(answers.size());
    for (std::size_t n = 0; n < answers.size(); ++n) {
      result.push_back(ToReply(aAddresses[n], answers[n]));
    }
    return result;
  }

  /// The given addresses and, with --all, those of the members that they know.
  std::vector<std::string> Addresses()
  {
    auto result = mOptions.instances;
    if (!mOptions.all) {
      return result;
    }
    std::set<std::string> known(result.begin(), result.end());
    for (const auto& reply : AskAll(mOptions.instances, "/v1/state")) {
      for (const auto& it : Elements(reply.value, "members")) {
        const auto address = Field(it, "admin");
        if (address.find(':') != std::string::npos &&
            Field(it, "status") != "dead" && known.insert(address).second) {
          result.push_back(address);
        }
      }
    }
    return result;
  }

  int Status()
  {
    const auto addresses = Addresses();
    auto replies = AskAll(addresses, "/v1/state");
    std::vector<InstanceState> states;
    json::array list;
    bool failed = false;
    for (std::size_t n = 0; n < replies.size(); ++n) {
      failed = failed || replies[n].failed;
      list.push_back(json::object{
        { "address", addresses[n] },
        { replies[n].failed ? "error" : "state", replies[n].value } });
      states.push_back(
        { addresses[n], replies[n].failed, std::move(replies[n].value) });
    }
    if (mOptions.json) {
      PrintJson(json::object{ { "instances", std::move(list) } });
    } else {
      PrintStatus(mOut, states);
    }
    return failed ? kExitFailed : kExitOk;
  }

  int Explain()
  {
    json::value value;
    if (!mOptions.file.empty()) {
      auto document = ReadDocument();
      if (!document) {
        return kExitFailed;
      }
      const version::Snapshot snapshot(std::move(*document));
      value = json::parse(version::ToJson(
        version::Explain(snapshot, mOptions.caller, mOptions.request)));
    } else {
      const auto labels = [](const Labels& aLabels) {
        json::object result;
        for (const auto& [key, text] : aLabels) {
          result.emplace(key, text);
        }
        return result;
      };
      const json::object body{ { "caller", labels(mOptions.caller) },
                               { "request", labels(mOptions.request) } };
      auto reply = AskFirst("/v1/explain", json::serialize(body));
      if (reply.failed) {
        return Fail(reply.value);
      }
      value = std::move(reply.value);
    }
    if (mOptions.json) {
      PrintJson(value);
    } else {
      PrintExplanation(mOut, value);
    }
    return kExitOk;
  }

  /// Rewrites the progress line on a terminal; else prints one line per change.
  void Progress(const std::string& aLine)
  {
    if (aLine == mProgress) {
      return;
    }
    if (&mErr == &std::cerr && isatty(STDERR_FILENO) == 1) {
      mErr << "\r\x1b[K" << aLine << std::flush;
    } else {
      mErr << aLine << '\n' << std::flush;
    }
    mProgress = aLine;
  }

  void EndProgress()
  {
    if (!mProgress.empty() && &mErr == &std::cerr &&
        isatty(STDERR_FILENO) == 1) {
      mErr << '\n';
    }
  }

  int Withdrawal()
  {
    const auto target =
      fmt::format("/v1/withdrawal?version={}", mOptions.version);
    const auto start = std::chrono::steady_clock::now();
    while (true) {
      const auto reply = AskFirst(target);
      const bool complete =
        !reply.failed && Field(reply.value, "complete") == "true";
      const bool timedOut =
        mOptions.waitTimeout.count() > 0 &&
        std::chrono::steady_clock::now() - start >= mOptions.waitTimeout;
      if (complete || reply.refused || !mOptions.wait || timedOut) {
        EndProgress();
        return FinishWithdrawal(reply, complete);
      }
      Progress(reply.failed ? Field(reply.value, "message")
                            : WithdrawalProgress(reply.value));
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  int FinishWithdrawal(const Reply& aReply, bool aComplete)
  {
    if (aReply.failed) {
      return Fail(aReply.value);
    }
    if (mOptions.json) {
      PrintJson(aReply.value);
    } else {
      PrintWithdrawal(mOut, aReply.value);
    }
    return aComplete ? kExitOk : kExitNotComplete;
  }

  int ExplainRequest()
  {
    std::ifstream file;
    if (mOptions.file != "-") {
      file.open(mOptions.file, std::ios::binary);
      if (!file) {
        return Fail(ErrorToJson(
          { ResultCode::IoError, mOptions.file + " can't be read", {} }));
      }
    }
    const auto found = PrintRequestLog(
      mOptions.file == "-" ? std::cin : file, mOptions.requestId, mOut);
    if (found == 0) {
      mErr << "no line of the logs names the request; requests that were "
              "answered in time, whole and at the first try have none\n";
      return kExitFailed;
    }
    return kExitOk;
  }

  int Audit()
  {
    std::vector<json::value> trails;
    json::array errors;
    for (auto& it : AskAll(Addresses(),
                           fmt::format("/v1/audit?after={}", mOptions.after))) {
      if (it.failed) {
        errors.push_back(std::move(it.value));
      } else {
        trails.push_back(std::move(it.value));
      }
    }
    const int exit = errors.empty() ? kExitOk : kExitFailed;
    auto events = MergeEvents(trails);
    if (mOptions.json) {
      PrintJson(
        { { "events", std::move(events) }, { "errors", std::move(errors) } });
    } else {
      PrintEvents(mOut, events);
      for (const auto& it : errors) {
        PrintError(mErr, it);
      }
    }
    return exit;
  }

  const Options& mOptions;
  std::ostream& mOut;
  std::ostream& mErr;
  std::string mProgress;
};

} // namespace

int RunCtl(const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           std::ostream& aErr)
{
  Options options;
  switch (ParseOptions(aArguments, options, aOut, aErr)) {
    case ParseOutcome::Done:
      return kExitOk;
    case ParseOutcome::Invalid:
      return kExitUsage;
    case ParseOutcome::Run:
      break;
  }
  return Command(options, aOut, aErr).Run();
}

} // namespace bronzedeal::ctl
