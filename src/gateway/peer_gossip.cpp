#include "bronzedeal/gateway/peer_gossip.hpp"

#include <boost/asio/buffer.hpp>

namespace bronzedeal::gateway {

using boost::asio::ip::udp;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

constexpr auto kRound = milliseconds(300);
/// Each round goes to one peer of the own failure domain; bytes between domains
/// are dear, so only some rounds go to one of another, too: more of them where
/// callers are sent to this instance.
constexpr unsigned kFarRounds = 3;
constexpr unsigned kIdleFarRounds = 8;
constexpr std::size_t kSmallFleet = 12;
/// When this instance leaves or becomes ready, most peers are told at once.
constexpr std::size_t kUrgentTargets = 8;

} // namespace

PeerGossip::PeerGossip(Process& aProcess, std::function<void()> aOnRound)
  : mProcess(aProcess)
  , mOnRound(std::move(aOnRound))
  , mSocket(aProcess.context)
  , mRandom(std::random_device{}())
{
}

void PeerGossip::Start()
{
  mSocket.open(udp::v4());
  mSocket.bind(mProcess.settings.gossipEndpoint);
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
  ++mRounds;
  // A fleet of a few has too few peers nearby for one target to be enough.
  const bool small = mProcess.peers.AliveInstances(now).size() <= kSmallFleet;
  const auto farRounds =
    mProcess.fleetShares.IsServing() ? kFarRounds : kIdleFarRounds;
  SendTo(1, small || mRounds % farRounds == 0 ? 1 : 0, now);
  const auto alive = mProcess.peers.AliveInstances(now).size();
  if (alive != mAlive) {
    mProcess.log.Write("instances_alive",
                       { { "former", static_cast<std::int64_t>(mAlive) },
                         { "alive", static_cast<std::int64_t>(alive) } });
    mAlive = alive;
    mProcess.metrics.Set(process::Gauge::MembersAlive,
                         static_cast<double>(alive));
  }
  mOnRound();
  mProcess.timers.Schedule(now + kRound, [this] { Round(); });
}

void PeerGossip::SendTo(std::size_t aNear, std::size_t aFar, TimePoint aNow)
{
  auto& peers = mProcess.peers;
  Send(peers.PickTargets(aNear, 0, aNow, mRandom), false, aNow);
  auto far = peers.PickTargets(0, aFar, aNow, mRandom);
  const auto seed =
    peers.PickUnreachableSeed(mProcess.settings.seeds, aNow, mRandom);
  if (seed) {
    far.push_back(*seed);
  }
  Send(far, true, aNow);
}

void PeerGossip::Send(const std::vector<boost::asio::ip::address>& aTargets,
                      bool aFar,
                      TimePoint aNow)
{
  if (aTargets.empty()) {
    return;
  }
  const auto text = EncodePeers(mProcess.peers.NextDigest(aFar, aNow, mRandom));
  for (const auto& it : aTargets) {
    error_code ec;
    // A datagram that isn't sent is as good as a lost one.
    mSocket.send_to(boost::asio::buffer(text),
                    udp::endpoint(it, mProcess.settings.gossipEndpoint.port()),
                    0,
                    ec);
  }
}

void PeerGossip::SendNow()
{
  SendTo(kUrgentTargets, kUrgentTargets, steady_clock::now());
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
  auto& peers = mProcess.peers;
  const auto now = steady_clock::now();
  // The sender's own state comes first.
  const bool newcomer =
    !states.empty() && peers.IsNewIncarnation(states.front());
  peers.Merge(states, now);
  if (newcomer) {
    // It needs to know the fleet before it can take its shares of the limits.
    Send({ states.front().address },
         states.front().failureDomain != peers.Self().failureDomain,
         now);
  }
}

} // namespace bronzedeal::gateway
