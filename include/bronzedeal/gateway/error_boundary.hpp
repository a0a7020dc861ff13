#pragma once

#include <utility>

namespace bronzedeal::gateway {

/// Runs a handler of one event. If it throws, runs `aRecover`, which ends the
/// affected connection or waits for the next event, and rethrows: the loop of
/// `GatewayInstance` logs and counts the error and goes on.
template<typename Handler, typename Recover>
void RunWithRecovery(Handler&& aHandler, Recover&& aRecover)
{
  try {
    std::forward<Handler>(aHandler)();
  } catch (...) {
    std::forward<Recover>(aRecover)();
    throw;
  }
}

} // namespace bronzedeal::gateway
