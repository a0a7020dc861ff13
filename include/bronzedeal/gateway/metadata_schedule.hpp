#pragma once

#include "bronzedeal/gateway/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bronzedeal::gateway {

/// The times for which an instance waits while it follows the metadata service,
/// directly or through another instance (a relay).
enum class MetadataWait : std::uint8_t
{
  /// To open a connection to the service.
  Connect,
  /// For one page of a list.
  List,
  /// For a change of the servers, and of the operators' entries.
  ServerWatch,
  OperatorWatch,
  /// For a change, after a failed call.
  ReconnectWatch,
  /// For the reply to a watch, in addition to the time of the watch.
  Reply,
  /// Before the next call after a failed one: the first pause, the longest one,
  /// and the longest one of an instance that callers aren't sent to. Jitter
  /// adds up to half.
  FirstRetry,
  LastRetry,
  NonServingLastRetry,
  /// Between a reply and the next watch of the servers. `Growing` holds while
  /// many servers register, `Relayed` if a relay has replied.
  ServerPause,
  NonServingServerPause,
  GrowingServerPause,
  RelayedServerPause,
  /// The same for the operators' entries.
  OperatorPause,
  NonServingOperatorPause,
  RelayedOperatorPause,
  /// After the start, until a relay is known.
  RelayStart,
  RelayConnect,
  /// For a list by a relay.
  RelayList,
  /// For a change that a relay tells.
  RelayServerWatch,
  RelayOperatorWatch,
  /// As `Reply`, for the reply of a relay.
  RelayReply,
  /// Age of the state that a relay may still tell.
  RelayedServerAge,
  RelayedOperatorAge,
};

inline constexpr std::size_t kMetadataWaitCount =
  static_cast<std::size_t>(MetadataWait::RelayedOperatorAge) + 1;

/// The name of the wait in log entries and messages of tests.
[[nodiscard]] std::string_view Name(MetadataWait aWait) noexcept;

/// The length of a wait, derived from the bounds of the deployment:
/// `Settings::contactTime`, by which an instance that could not read the
/// service must have recovered, `configActivationTime` and `maxDrainTime`, by
/// which it must have applied what it reads. A wait that ends in vain is
/// followed by others before the state is current; their sum is within the
/// bound.
///
///     source.List(topic, {}, LengthOf(MetadataWait::List, settings), handler);
[[nodiscard]] milliseconds LengthOf(MetadataWait aWait,
                                    const Settings& aSettings) noexcept;

} // namespace bronzedeal::gateway
