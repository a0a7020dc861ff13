#include "bronzedeal/daemon/node.hpp"
#include "bronzedeal/process/logging.hpp"
#include "bronzedeal/process/settings.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace {

using bronzedeal::Error;
using bronzedeal::Result;
using bronzedeal::process::ParseSettings;
using bronzedeal::process::Settings;

constexpr int kExitInvalidSettings = 2;

Result<Settings> LoadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return boost::leaf::new_error(
      Error{ bronzedeal::ResultCode::IoError,
             "cannot read the settings file " + aPath,
             {} });
  }
  std::stringstream buf;
  buf << file.rdbuf();
  return ParseSettings(buf.str());
}

void PrintError(const Error& aError)
{
  std::cerr << static_cast<int>(aError.code) << ' '
            << bronzedeal::Describe(aError.code).name << ": " << aError.message
            << '\n';
  for (const auto& it : aError.fields) {
    std::cerr << "  " << (it.pointer.empty() ? "/" : it.pointer) << ": "
              << it.seen << " seen, " << it.allowed << " allowed\n";
  }
}

int Run(const Settings& aSettings)
{
  bronzedeal::process::InitLogging(
    "bronzedeald", aSettings.instance, aSettings.logLevel);
  try {
    return bronzedeal::daemon::Node(aSettings).Run();
  } catch (const std::exception& e) {
    bronzedeal::process::LogEvent(bronzedeal::process::LogLevel::Error,
                                  "the process cannot run",
                                  { { "reason", e.what() } });
    return 1;
  }
}

} // namespace

int main(int argc, char** argv)
{
  TCLAP::CmdLine command(
    "Entry instance of the bronzedeal query tier.", ' ', BRONZEDEAL_VERSION);
  const TCLAP::ValueArg<std::string> settingsPath(
    "c", "config", "Settings file (JSON)", true, "", "FILE", command);
  const TCLAP::SwitchArg checkConfig(
    "", "check-config", "Check the settings file and exit", command);
  command.parse(argc, argv);
  return boost::leaf::try_handle_all(
    [&]() -> Result<int> {
      BOOST_LEAF_AUTO(settings, LoadSettings(settingsPath.getValue()));
      if (checkConfig.getValue()) {
        std::cout << "the settings are valid\n";
        return 0;
      }
      return Run(settings);
    },
    [](const Error& aError) {
      PrintError(aError);
      return kExitInvalidSettings;
    },
    [] { return kExitInvalidSettings; });
}
