#pragma once

#include "bronzedeal/gateway/decision_log.hpp"
#include "bronzedeal/gateway/platform.hpp"

#include <memory>

namespace bronzedeal::gateway {

/// One gateway instance: owns the listeners, gossip, metadata followers and
/// signal handling of the process.
///
///     GatewayInstance instance(settings, platform);
///     return instance.Run();
class GatewayInstance
{
public:
  /// Throws boost::system::system_error if an address can't be bound.
  GatewayInstance(Settings aSettings,
                  Platform& aPlatform,
                  DecisionLog::Sink aSink = {});
  ~GatewayInstance();
  GatewayInstance(const GatewayInstance&) = delete;
  GatewayInstance& operator=(const GatewayInstance&) = delete;

  /// Runs until SIGTERM or SIGINT, then until the requests in progress have
  /// ended or the grace time is almost over. Returns the exit code.
  int Run();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::gateway
