#include "bronzedeal/gateway/peer_gossip.hpp"

#include <boost/asio/buffer.hpp>

namespace bronzedeal::gateway {

using boost::asio::ip::udp;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

/// Rounds of gossip; with two targets each, news reaches 75 instances in about
/// six rounds.
constexpr auto kRound = milliseconds(250);
constexpr std::size_t kTargets = 2;
/// When this instance leaves, most peers are told at once.
constexpr std::size_t kUrgentTargets = 8;

} // namespace

PeerGossip::PeerGossip(Process& aProcess, std::function<void()> aOnChange)
  : mProcess(aProcess)
  , mOnChange(std::move(aOnChange))
  , mSocket(aProcess.context)
  , mRandom(std::random_device{}())
{
}

void PeerGossip::Start()
{
  mSocket.open(udp::v4());
  mSocket.bind(mProcess.settings.gossip);
  mSocket.non_blocking(true);
  mRunning = true;
  Receive();
  Round();
}

void PeerGossip::Stop()
{
  mRunning = false;
  error_code ec;
  mSocket.close(ec); // fails only when it is closed already
}

void PeerGossip::Round()
{
  if (!mRunning) {
    return;
  }
  const auto now = steady_clock::now();
  SendTo(kTargets, now);
  const auto sharing = mProcess.peers.Sharing(now);
  const auto alive = mProcess.peers.Alive(now).size();
  if (alive != mAlive) {
    mProcess.log.Write("instances_alive",
                       { { "former", static_cast<std::int64_t>(mAlive) },
                         { "alive", static_cast<std::int64_t>(alive) },
                         { "sharing", static_cast<std::int64_t>(sharing) } });
    mAlive = alive;
    mProcess.metrics.Set(process::Gauge::MembersAlive,
                         static_cast<double>(alive));
  }
  if (sharing != mSharing) {
    mSharing = sharing;
    mOnChange();
  }
  mProcess.timers.At(now + kRound, [this] { Round(); });
}

void PeerGossip::SendTo(std::size_t aTargets, TimePoint aNow)
{
  const auto text = EncodePeers(mProcess.peers.Digest(aNow, mRandom));
  for (const auto& it : mProcess.peers.Targets(
         mProcess.settings.seeds, aTargets, aNow, mRandom)) {
    error_code ec;
    // A datagram that isn't sent is as good as a lost one.
    mSocket.send_to(boost::asio::buffer(text),
                    udp::endpoint(it, mProcess.settings.gossip.port()),
                    0,
                    ec);
  }
}

void PeerGossip::SendNow()
{
  SendTo(kUrgentTargets, steady_clock::now());
}

void PeerGossip::Receive()
{
  mSocket.async_receive_from(
    boost::asio::buffer(mBuffer),
    mFrom,
    [this](const error_code& aError, std::size_t aSize) {
      if (!mRunning) {
        return;
      }
      if (!aError) {
        OnDatagram(aSize);
      }
      Receive();
    });
}

void PeerGossip::OnDatagram(std::size_t aSize)
{
  std::vector<PeerState> states;
  if (!DecodePeers({ mBuffer.data(), aSize }, states)) {
    mProcess.log.Write("datagram_invalid",
                       { { "bytes", static_cast<std::int64_t>(aSize) } });
    return;
  }
  mProcess.peers.Merge(states, steady_clock::now());
}

} // namespace bronzedeal::gateway
