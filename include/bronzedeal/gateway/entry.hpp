#pragma once

#include "bronzedeal/gateway/decision_log.hpp"
#include "bronzedeal/gateway/platform.hpp"

#include <memory>

namespace bronzedeal::gateway {

/// One gateway instance: listeners, peers, metadata, signals.
///
///     Entry entry(settings, platform);
///     return entry.Run();
class Entry
{
public:
  /// Throws boost::system::system_error when an address can't be used.
  Entry(Settings aSettings, Platform& aPlatform, DecisionLog::Sink aSink = {});
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// Runs until SIGTERM and the end of the requests in progress. Returns the
  /// exit code.
  int Run();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::gateway
