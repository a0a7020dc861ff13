#pragma once

#include "bronzedeal/gateway/decision_log.hpp"
#include "bronzedeal/gateway/platform.hpp"

#include <memory>

namespace bronzedeal::gateway {

/// One gateway instance: listeners, peers, metadata, signals.
///
///     Entry entry(settings, platform);
///     return entry.Run();
class GatewayInstance
{
public:
  /// Throws boost::system::system_error when an address can't be used.
  GatewayInstance(Settings aSettings,
                  Platform& aPlatform,
                  DecisionLog::Sink aSink = {});
  ~GatewayInstance();
  GatewayInstance(const GatewayInstance&) = delete;
  GatewayInstance& operator=(const GatewayInstance&) = delete;

  /// Runs until SIGTERM and the end of the requests in progress. Returns the
  /// exit code.
  int Run();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::gateway
