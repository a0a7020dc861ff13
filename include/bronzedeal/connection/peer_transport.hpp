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

/// Size of an array that is indexed by message kind. A kind is a value of
/// `Envelope::BodyCase`; the values 1 to 3 are unused and 0 stands for no body.
inline constexpr std::size_t kMessageKindCount = 22;

/// Name of a message kind, such as `lease_request`; empty for an unused number.
[[nodiscard]] std::string_view MessageKindName(std::size_t aKind) noexcept;
/// True for the message kinds that carry callers' requests and their results;
/// all others are control traffic.
[[nodiscard]] bool IsRequestTraffic(std::size_t aKind) noexcept;

struct MessageCounter
{
  std::uint64_t messages = 0;
  /// Encoded size of the envelopes, without framing.
  std::uint64_t bytes = 0;
};

/// Traffic between this instance and one peer since the peer was listed.
struct PeerTraffic
{
  std::array<MessageCounter, kMessageKindCount> sent{};
  std::array<MessageCounter, kMessageKindCount> received{};
  /// Messages dropped because the queue was full or because they waited longer
  /// than `maxQueueAge`.
  std::uint64_t droppedMessages = 0;
  /// Messages dropped by the faults of `SetLinkFault`.
  std::uint64_t messagesLostToFaults = 0;
  /// Established streams that ended.
  std::uint64_t brokenStreams = 0;
  /// Messages in the queue at present.
  std::size_t queuedMessages = 0;
  /// True while a stream to or from the peer is established.
  bool connected = false;
};

/// Faults injected into one link; they affect the messages that this instance
/// sends to the peer.
struct LinkFault
{
  std::uint64_t seed = 1;
  /// Probability from 0 to 1 that a message is dropped. Whether the n-th
  /// message of a link is dropped depends only on `seed` and n.
  double dropProbability = 0;
  /// Added to the time that a message takes.
  Duration delay{};
  /// Drops every message without an error, like a cut cable.
  bool cut = false;
};

struct PeerTransportOptions
{
  InstanceId self;
  Incarnation incarnation = 0;
  /// Bounds of the queue of one peer. A full queue drops its oldest gossip
  /// messages and, when it holds none, the new message.
  std::size_t maxQueuedMessages = 4096;
  std::size_t maxQueuedBytes = 8U << 20U;
  /// Messages that waited longer than this for a stream are dropped. They carry
  /// the time left until their deadline as of `Send`, and the receiver would
  /// count it from their arrival.
  Duration maxQueueAge = milliseconds(500);
  /// Back-off after a broken stream. It doubles with each failure up to
  /// `maxBackoff`; each wait is multiplied by a random factor from 0.5 to 1.
  Duration initialBackoff = milliseconds(50);
  Duration maxBackoff = milliseconds(2000);
  /// Largest message that is received.
  std::size_t maxMessageBytes = 16U << 20U;
  /// Seed of the back-off's random factor.
  std::uint64_t seed = 1;
};

/// Best-effort messages between instances over gRPC: each message is delivered
/// at most once and may be lost. Two instances use the same bidirectional
/// stream, whichever of them opened it; the first message opens it.
///
/// Thread safe. The handlers run on two threads, one for the streams that this
/// instance opened and one for those that its peers opened; the messages of one
/// stream arrive in order. A running handler blocks all streams of its thread,
/// and must not destroy the transport.
class PeerTransport
{
public:
  /// Receives a message; the envelope names its sender and the sender's
  /// incarnation.
  using MessageHandler = std::function<void(peer::Envelope&& aEnvelope)>;
  using StreamBrokenHandler = std::function<void(const InstanceId& aPeer)>;

  explicit PeerTransport(PeerTransportOptions aOptions);
  /// Ends all streams and waits for running handlers.
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Must be called before `Listen`.
  void SetMessageHandler(MessageHandler aHandler);
  /// Sets the handler that is called when an established stream to or from a
  /// listed peer ended; the peer's process may have ended too. Must be called
  /// before `Listen`.
  void SetStreamBrokenHandler(StreamBrokenHandler aHandler);

  /// Opens the listener on `host:port`; port 0 lets the system choose. Returns
  /// the bound port, or `IoError`.
  Result<unsigned> Listen(const std::string& aAddress);
  /// Replaces the map from peers to their addresses `host:port`. The streams of
  /// removed peers, and of those with a new address, are closed. The message
  /// handler still gets messages from unlisted senders and checks them against
  /// the roster itself.
  void SetPeers(const std::map<InstanceId, std::string>& aPeers);

  /// Fills in sender, incarnation and receiver, and queues the message. False
  /// when it was dropped at once, because the peer is unknown, its queue is
  /// full or the transport is shut down. A message dropped by `SetLinkFault`
  /// returns true.
  bool Send(const InstanceId& aPeer, peer::Envelope&& aEnvelope);
  bool Send(const InstanceId& aPeer, const peer::Envelope& aEnvelope);

  /// Replaces the faults of the link to a listed peer and restarts the sequence
  /// of their seed. A default-constructed `LinkFault` ends them.
  void SetLinkFault(const InstanceId& aPeer, const LinkFault& aFault);

  /// The traffic with each listed peer.
  [[nodiscard]] std::map<InstanceId, PeerTraffic> Traffic() const;
  /// Ends all streams and the listener, and waits for running handlers. The
  /// destructor does so too.
  void Shutdown();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::connection
