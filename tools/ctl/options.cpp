#include "options.hpp"

#include "bronzedeal/version/selector.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <string_view>
#include <tclap/CmdLine.h>

namespace bronzedeal::ctl {

namespace {

constexpr long long kMaxTimeoutMs = 600'000;
constexpr long long kMaxVersion = 9'007'199'254'740'991;

struct CommandInfo
{
  std::string_view name;
  std::string_view arguments;
  std::string_view summary;
};

constexpr std::array<CommandInfo, 6> kCommands{ {
  { "status", "", "State of each instance." },
  { "validate",
    "FILE",
    "Checks a configuration document like the daemon does." },
  { "explain",
    "",
    "Which servers a caller's request reaches, and why not the others." },
  { "withdrawal",
    "",
    "Whether all traffic under versions below --version has ended. Exit code "
    "0: complete, 3: not complete." },
  { "explain-request",
    "ID",
    "What gateways decided about a request, from their logs on standard input "
    "or in --file. Exit code 1: no line names it." },
  { "audit", "", "Audit trails, merged by configuration version and time." },
} };

const CommandInfo* FindCommand(std::string_view aName)
{
  const auto* it = std::find_if(
    kCommands.begin(), kCommands.end(), [aName](const CommandInfo& aInfo) {
      return aInfo.name == aName;
    });
  return it == kCommands.end() ? nullptr : it;
}

void PrintOverview(std::ostream& aOut)
{
  aOut << "usage: bronzedealctl COMMAND [OPTIONS]\n"
          "       bronzedealctl COMMAND --help | --help | --version\n\n";
  for (const auto& it : kCommands) {
    aOut << fmt::format("  {:<15} {}\n", it.name, it.summary);
  }
}

void PrintUsage(std::ostream& aOut,
                const CommandInfo& aCommand,
                TCLAP::CmdLine& aCmd)
{
  aOut << fmt::format("usage: bronzedealctl {} {}{}[OPTIONS]\n{}\n\n",
                      aCommand.name,
                      aCommand.arguments,
                      aCommand.arguments.empty() ? "" : " ",
                      aCommand.summary);
  for (const auto* it : aCmd.getArgList()) {
    if (!it->getName().empty() && it->getName() != "ignore_rest") {
      aOut << fmt::format(
        "  {}\n      {}\n", it->longID(), it->getDescription());
    }
  }
}

/// Labels from texts such as `customer=gaonsan,role=buyer`.
bool ParseLabels(const std::vector<std::string>& aTexts,
                 Labels& aLabels,
                 std::string& aWhy)
{
  for (std::string_view rest : aTexts) {
    while (true) {
      const auto comma = rest.find(',');
      const auto label = rest.substr(0, comma);
      const auto equals = label.find('=');
      if (equals == std::string_view::npos ||
          !version::IsLabelKey(label.substr(0, equals)) ||
          !version::IsLabelValue(label.substr(equals + 1))) {
        aWhy = fmt::format("`{}` is no label; key=value is expected", label);
        return false;
      }
      if (!aLabels.emplace(label.substr(0, equals), label.substr(equals + 1))
             .second) {
        aWhy =
          fmt::format("the label `{}` is given twice", label.substr(0, equals));
        return false;
      }
      if (comma == std::string_view::npos) {
        break;
      }
      rest.remove_prefix(comma + 1);
    }
  }
  return true;
}

/// An integer option with its range; TCLAP itself checks no range.
class IntegerOption
{
public:
  IntegerOption(std::string_view aName,
                std::string_view aDescription,
                long long aMin,
                long long aMax,
                long long aDefault)
    : mMin(aMin)
    , mMax(aMax)
    , mArg("",
           std::string(aName),
           fmt::format("{}, {} to {}", aDescription, aMin, aMax),
           false,
           aDefault,
           "N")
  {
  }

  TCLAP::Arg& Arg() noexcept { return mArg; }

  [[nodiscard]] long long Value()
  {
    const auto value = mArg.getValue();
    if (mArg.isSet() && (value < mMin || value > mMax)) {
      throw TCLAP::CmdLineParseException(
        fmt::format("{} is not in the range {} to {}", value, mMin, mMax),
        mArg.toString());
    }
    return value;
  }

  [[nodiscard]] bool IsSet() const { return mArg.isSet(); }

private:
  long long mMin;
  long long mMax;
  TCLAP::ValueArg<long long> mArg;
};

/// Parses the options of one command; throws `TCLAP::ArgException`.
ParseOutcome ParseCommand(const CommandInfo& aCommand,
                          const std::vector<std::string>& aArguments,
                          Options& aOptions,
                          std::ostream& aOut)
{
  TCLAP::CmdLine cmd("", ' ', BRONZEDEAL_VERSION, false);
  cmd.setExceptionHandling(false);
  TCLAP::UnlabeledValueArg<std::string> document(
    "FILE", "The document; - reads standard input.", true, "", "FILE");
  TCLAP::UnlabeledValueArg<std::string> requestId(
    "ID", "The request's id.", true, "", "ID");
  TCLAP::ValueArg<std::string> logs(
    "f", "file", "The logs, in place of standard input.", false, "-", "LOGS");
  TCLAP::MultiArg<std::string> instances(
    "i", "instance", "Admin address of an instance.", false, "HOST:PORT");
  TCLAP::SwitchArg all(
    "a", "all", "Also ask the members that the given instances know.");
  TCLAP::ValueArg<std::string> file(
    "f", "file", "Explain by this document, offline.", false, "", "CONFIG");
  TCLAP::MultiArg<std::string> caller(
    "c", "caller", "Labels of the caller.", false, "KEY=VALUE,...");
  TCLAP::MultiArg<std::string> request(
    "r", "request", "Labels of the request.", false, "KEY=VALUE,...");
  IntegerOption version("version", "Configuration version", 1, kMaxVersion, 0);
  TCLAP::SwitchArg wait("w", "wait", "Wait until the withdrawal is complete.");
  IntegerOption waitTimeout("wait-timeout-ms",
                            "Longest wait in ms; without the option there is "
                            "no limit",
                            1,
                            kMaxVersion,
                            0);
  IntegerOption after("after",
                      "Only events with a higher sequence number, per instance",
                      0,
                      kMaxVersion,
                      0);
  TCLAP::SwitchArg json("j", "json", "Print JSON.");
  IntegerOption timeout("timeout-ms",
                        "Time limit of each request in ms (default 2000)",
                        1,
                        kMaxTimeoutMs,
                        aOptions.timeout.count());
  TCLAP::SwitchArg help("h", "help", "Print this text.");

  const auto is = [&](std::string_view aName) {
    return aCommand.name == aName;
  };
  if (is("validate")) {
    cmd.add(document);
  } else if (is("explain-request")) {
    cmd.add(requestId);
    cmd.add(logs);
  } else {
    cmd.add(instances);
    cmd.add(timeout.Arg());
  }
  if (is("status") || is("audit")) {
    cmd.add(all);
  }
  if (is("explain")) {
    cmd.add(file);
    cmd.add(caller);
    cmd.add(request);
  }
  if (is("withdrawal")) {
    cmd.add(version.Arg());
    cmd.add(wait);
    cmd.add(waitTimeout.Arg());
  }
  if (is("audit")) {
    cmd.add(after.Arg());
  }
  if (!is("explain-request")) {
    cmd.add(json);
  }
  cmd.add(help);

  for (const auto* it : { "--help", "-h" }) {
    if (std::find(aArguments.begin(), aArguments.end(), it) !=
        aArguments.end()) {
      PrintUsage(aOut, aCommand, cmd);
      return ParseOutcome::Done;
    }
  }

  auto arguments = aArguments;
  cmd.parse(arguments);
  const auto fail = [](const std::string& aWhy) {
    throw TCLAP::CmdLineParseException(aWhy);
  };
  aOptions.instances = instances.getValue();
  aOptions.all = all.getValue();
  aOptions.json = json.getValue();
  aOptions.timeout = milliseconds(timeout.Value());
  aOptions.file = is("validate")          ? document.getValue()
                  : is("explain-request") ? logs.getValue()
                                          : file.getValue();
  aOptions.requestId = requestId.getValue();
  aOptions.version = static_cast<ConfigVersion>(version.Value());
  aOptions.wait = wait.getValue();
  aOptions.waitTimeout = milliseconds(waitTimeout.Value());
  aOptions.after = static_cast<std::uint64_t>(after.Value());
  std::string why;
  if (!ParseLabels(caller.getValue(), aOptions.caller, why) ||
      !ParseLabels(request.getValue(), aOptions.request, why)) {
    fail(why);
  }
  if (is("explain")) {
    if (aOptions.instances.empty() == aOptions.file.empty()) {
      fail("either --instance or --file is needed");
    }
  } else if (!is("validate") && !is("explain-request") &&
             aOptions.instances.empty()) {
    fail("--instance is needed");
  }
  if (is("withdrawal") && !version.IsSet()) {
    fail("--version is needed");
  }
  if (waitTimeout.IsSet() && !aOptions.wait) {
    fail("--wait-timeout-ms needs --wait");
  }
  return ParseOutcome::Run;
}

} // namespace

ParseOutcome ParseOptions(const std::vector<std::string>& aArguments,
                          Options& aOptions,
                          std::ostream& aOut,
                          std::ostream& aErr)
{
  const auto first = aArguments.empty() ? std::string() : aArguments.front();
  if (first == "--help" || first == "-h") {
    PrintOverview(aOut);
    return ParseOutcome::Done;
  }
  if (first == "--version") {
    aOut << "bronzedealctl " << BRONZEDEAL_VERSION << '\n';
    return ParseOutcome::Done;
  }
  const auto* command = FindCommand(first);
  if (command == nullptr) {
    aErr << "bronzedealctl: the first argument must be a command\n";
    PrintOverview(aErr);
    return ParseOutcome::Invalid;
  }
  aOptions.command = first;
  try {
    return ParseCommand(*command, aArguments, aOptions, aOut);
  } catch (const TCLAP::ArgException& error) {
    aErr << fmt::format("bronzedealctl {}: {}{}{}\n",
                        first,
                        error.error(),
                        error.argId() == " " ? "" : " ",
                        error.argId() == " " ? "" : error.argId());
    return ParseOutcome::Invalid;
  }
}

} // namespace bronzedeal::ctl
