#pragma once

#include "bronzedeal/error.hpp"
#include "bronzedeal/types.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::peer {
class Envelope;
} // namespace bronzedeal::peer

namespace bronzedeal::connection {

/// Number of message kinds: `Envelope::BodyCase` is the index, 0 is unused.
inline constexpr std::size_t kMessageKindCount = 22;

/// Name of a kind, as in `lease_request`; empty for an unused number.
[[nodiscard]] std::string_view MessageKindName(std::size_t aKind) noexcept;
/// True for the kinds that carry callers' requests; all others are control
/// traffic.
[[nodiscard]] bool IsRequestTraffic(std::size_t aKind) noexcept;

struct MessageCounter
{
  std::uint64_t messages = 0;
  /// Encoded size of the envelopes, without framing.
  std::uint64_t bytes = 0;
};

struct PeerTraffic
{
  std::array<MessageCounter, kMessageKindCount> sent{};
  std::array<MessageCounter, kMessageKindCount> received{};
  /// Dropped from a full queue or as too old.
  std::uint64_t droppedMessages = 0;
  /// Dropped by `SetLinkFault`.
  std::uint64_t messagesLostToFaults = 0;
  /// Streams that broke.
  std::uint64_t brokenStreams = 0;
  std::size_t queuedMessages = 0;
  bool connected = false;
};

/// Faults of one link, applied to what this instance sends to the peer.
struct LinkFault
{
  std::uint64_t seed = 1;
  /// Probability that a message is dropped. The n-th message of a link is
  /// dropped or not depending only on seed and n.
  double dropProbability = 0;
  Duration delay{};
  /// Drops every message, like a cut cable: no error is seen.
  bool cut = false;
};

struct PeerTransportOptions
{
  InstanceId self;
  Incarnation incarnation = 0;
  /// Bounds of the queue of one peer. A full queue drops its oldest gossip,
  /// then the new message.
  std::size_t maxQueuedMessages = 4096;
  std::size_t maxQueuedBytes = 8U << 20U;
  /// Messages that waited longer for a stream are dropped: their deadlines are
  /// relative to the time of sending.
  Duration maxQueueAge = milliseconds(500);
  /// Back-off after a broken stream, doubled up to the longest, with jitter.
  Duration initialBackoff = milliseconds(50);
  Duration maxBackoff = milliseconds(2000);
  std::size_t maxMessageBytes = 16U << 20U;
  std::uint64_t seed = 1;
};

/// Messages between instances over gRPC, best effort: a message is delivered at
/// most once or lost. A pair of instances uses the stream that either of them
/// opened; streams are opened by the first message.
///
/// Thread safe. The handlers run on two threads, one for the streams that this
/// instance opened and one for those that its peers opened; the messages of one
/// stream arrive in order. A handler holds up all streams of its direction
/// while it runs, and must not destroy the transport.
class PeerTransport
{
public:
  /// The envelope names its sender and incarnation.
  using MessageHandler = std::function<void(peer::Envelope&& aEnvelope)>;
  using StreamBrokenHandler = std::function<void(const InstanceId& aPeer)>;

  explicit PeerTransport(PeerTransportOptions aOptions);
  /// Ends all streams and waits for running handlers.
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Set both before `Listen`.
  void SetMessageHandler(MessageHandler aHandler);
  /// A stream to or from the peer broke: its process may have ended.
  void SetStreamBrokenHandler(StreamBrokenHandler aHandler);

  /// Opens the listener on `host:port`; port 0 lets the system choose. Returns
  /// the bound port.
  Result<unsigned> Listen(const std::string& aAddress);
  /// Replaces the map of peers; the streams of removed peers, and of those with
  /// another address, are closed. Messages from unlisted senders are still
  /// handed to the handler, which knows the roster.
  void SetPeers(const std::map<InstanceId, std::string>& aPeers);

  /// Queues a message and fills in sender, incarnation and receiver. False when
  /// it was dropped at once: unknown peer, full queue or shut down.
  bool Send(const InstanceId& aPeer, peer::Envelope&& aEnvelope);
  bool Send(const InstanceId& aPeer, const peer::Envelope& aEnvelope);

  /// Sets or clears (default value) the faults of one link.
  void SetLinkFault(const InstanceId& aPeer, const LinkFault& aFault);

  [[nodiscard]] std::map<InstanceId, PeerTraffic> Traffic() const;
  /// Ends all streams and the listener. Also done by the destructor.
  void Shutdown();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::connection
