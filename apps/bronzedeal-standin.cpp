#include "../tools/standin/run.hpp"

#include <glog/logging.h>
#include <tclap/CmdLine.h>

int main(int argc, char** argv)
{
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  try {
    TCLAP::CmdLine commandLine(
      "Simulated platform and backend servers for tests",
      ' ',
      BRONZEDEAL_VERSION);
    TCLAP::ValueArg<std::string> config(
      "c", "config", "Settings file (JSON)", true, "", "FILE", commandLine);
    commandLine.parse(argc, argv);
    bronzedeal::standin::RunStandin(config.getValue());
    return 0;
  } catch (const std::exception& e) {
    LOG(ERROR) << e.what();
    return 1;
  }
}
