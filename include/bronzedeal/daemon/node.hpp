#pragma once

#include "bronzedeal/process/settings.hpp"

#include <memory>

namespace bronzedeal::daemon {

/// One instance: connects the services of the daemon, runs the threads and
/// performs the graceful shutdown.
class Node
{
public:
  explicit Node(process::Settings aSettings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Opens the listeners, prints the addresses as one JSON line on standard
  /// output and serves until SIGTERM or SIGINT and the graceful shutdown that
  /// follows. A second signal ends the process at once. Returns the exit
  /// status.
  int Run();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::daemon
