#include "bronzedeal/gateway/peer_gossip.hpp"

#include "bronzedeal/gateway/error_boundary.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace bronzedeal::gateway {

using boost::asio::ip::udp;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

constexpr auto kRoundInterval = milliseconds(300);
/// Each round sends to one peer of the own failure domain. Traffic between
/// domains is expensive, so only every n-th round also sends to a peer of
/// another domain; more often while callers are sent to this instance.
constexpr unsigned kCrossDomainRoundPeriod = 3;
constexpr unsigned kNonServingCrossDomainRoundPeriod = 8;
/// Up to this number of living instances, each round also sends to a peer of
/// another failure domain.
constexpr std::size_t kSmallFleetSize = 12;
/// Peers of the own failure domain, and as many of the others, that are told at
/// once when this instance leaves, becomes ready, or loses or regains the
/// metadata service.
constexpr std::size_t kImmediateTargetCount = 8;
/// Keeps a datagram with crash notices below 4 KB.
constexpr std::size_t kNoticesPerDatagram = 16;
/// An instance that reaches a smaller part of the servers, in percent, tells
/// nothing of runs without proof: its links lose them.
constexpr unsigned kMinTellingReach = 50;
constexpr unsigned kFullReach = 100;

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
  mProcess.crashQuarantine.SetUrgentHandler([this] { TellCrashesSoon(); });
  Receive();
  RunRound();
}

void PeerGossip::Stop()
{
  mRunning = false;
  mProcess.crashQuarantine.SetUrgentHandler({});
  error_code ec;
  mSocket.close(ec); // fails only when it is closed already
}

void PeerGossip::RunRound()
{
  if (!mRunning) {
    return;
  }
  const auto now = steady_clock::now();
  // The next round is due whatever happens in this one.
  mProcess.timers.Schedule(now + kRoundInterval, [this] { RunRound(); });
  ++mRoundCount;
  // In a small fleet, the few peers of the own failure domain don't spread a
  // change fast enough.
  const bool isSmallFleet =
    mProcess.peers.AliveInstances(now).size() <= kSmallFleetSize;
  const auto crossDomainPeriod = mProcess.fleetShares.IsServing()
                                   ? kCrossDomainRoundPeriod
                                   : kNonServingCrossDomainRoundPeriod;
  const std::size_t crossDomainCount =
    isSmallFleet || mRoundCount % crossDomainPeriod == 0 ? 1 : 0;
  SendToPeers(1, crossDomainCount, now);
  TellCrashes(crossDomainCount, now);
  const auto alive = mProcess.peers.AliveInstances(now).size();
  if (alive != mAliveCount) {
    mProcess.log.Write("instances_alive",
                       { { "former", static_cast<std::int64_t>(mAliveCount) },
                         { "alive", static_cast<std::int64_t>(alive) } });
    mAliveCount = alive;
    mProcess.metrics.Set(process::Gauge::MembersAlive,
                         static_cast<double>(alive));
  }
  mOnRound();
}

void PeerGossip::SendToPeers(std::size_t aSameDomainCount,
                             std::size_t aCrossDomainCount,
                             TimePoint aNow)
{
  auto& peers = mProcess.peers;
  SendDigest(
    peers.PickTargets(aSameDomainCount, 0, aNow, mRandom), false, aNow);
  auto crossDomainTargets =
    peers.PickTargets(0, aCrossDomainCount, aNow, mRandom);
  const auto unreachableSeed =
    peers.PickUnreachableSeed(mProcess.settings.seeds, aNow, mRandom);
  if (unreachableSeed) {
    crossDomainTargets.push_back(*unreachableSeed);
  }
  SendDigest(crossDomainTargets, true, aNow);
}

void PeerGossip::SendDigest(
  const std::vector<boost::asio::ip::address>& aTargets,
  bool aCrossDomain,
  TimePoint aNow)
{
  if (aTargets.empty()) {
    return;
  }
  SendTo(aTargets,
         EncodePeers(mProcess.peers.NextDigest(aCrossDomain, aNow, mRandom)));
}

void PeerGossip::SendTo(const std::vector<boost::asio::ip::address>& aTargets,
                        const std::string& aText)
{
  for (const auto& it : aTargets) {
    error_code ec;
    // A failed send is equivalent to a lost datagram; the next round makes up
    // for it.
    mSocket.send_to(boost::asio::buffer(aText),
                    udp::endpoint(it, mProcess.settings.gossipEndpoint.port()),
                    0,
                    ec);
  }
}

void PeerGossip::SendCrashNotices(
  const std::vector<boost::asio::ip::address>& aTargets,
  const std::vector<CrashNotice>& aNotices)
{
  for (std::size_t n = 0; n < aNotices.size(); n += kNoticesPerDatagram) {
    const auto first = aNotices.begin() + static_cast<std::ptrdiff_t>(n);
    const auto count = std::min(kNoticesPerDatagram, aNotices.size() - n);
    SendTo(aTargets,
           EncodeCrashNotices(
             { first, first + static_cast<std::ptrdiff_t>(count) }));
  }
}

void PeerGossip::TellCrashes(std::size_t aCrossDomainCount, TimePoint aNow)
{
  auto& quarantine = mProcess.crashQuarantine;
  if (quarantine.size() == 0) {
    return;
  }
  mProcess.metrics.Set(process::Gauge::Quarantined,
                       static_cast<double>(quarantine.QuarantinedCount(aNow)));
  const bool isUrgent = quarantine.TakeUrgent();
  SendCrashNotices(
    mProcess.peers.PickTargets(isUrgent ? kImmediateTargetCount : 1,
                               isUrgent ? kImmediateTargetCount
                                        : aCrossDomainCount,
                               aNow,
                               mRandom),
    quarantine.RecentNotices(aNow,
                             mProcess.peers.Self().reachPercent.value_or(
                               kFullReach) >= kMinTellingReach));
}

void PeerGossip::TellCrashesSoon()
{
  if (std::exchange(mTellsSoon, true)) {
    return;
  }
  boost::asio::post(mProcess.context, [this] {
    mTellsSoon = false;
    if (mRunning) {
      TellCrashes(0, steady_clock::now());
    }
  });
}

void PeerGossip::SendNow()
{
  SendToPeers(
    kImmediateTargetCount, kImmediateTargetCount, steady_clock::now());
}

void PeerGossip::Receive()
{
  mSocket.async_receive_from(
    boost::asio::buffer(mBuffer),
    mSender,
    [this](const error_code& aError, std::size_t aSize) {
      if (!mRunning) {
        return;
      }
      if (!aError) {
        RunWithRecovery([&] { OnDatagram(aSize); }, [this] { Receive(); });
      }
      Receive();
    });
}

void PeerGossip::OnDatagram(std::size_t aSize)
{
  const std::string_view text(mBuffer.data(), aSize);
  if (const auto notices = DecodeCrashNotices(text)) {
    mProcess.crashQuarantine.Merge(*notices, steady_clock::now());
    return;
  }
  std::vector<PeerState> states;
  if (!DecodePeers(text, states)) {
    mProcess.log.Write("datagram_invalid",
                       { { "bytes", static_cast<std::int64_t>(aSize) } });
    return;
  }
  auto& peers = mProcess.peers;
  const auto now = steady_clock::now();
  // The first state of a datagram is the sender's own.
  const bool isNewIncarnation =
    !states.empty() && peers.IsNewIncarnation(states.front());
  if (!states.empty()) {
    if (const auto hiding = peers.HidingState(states.front())) {
      SendTo({ hiding->address }, EncodePeers({ peers.Self(), *hiding }));
    }
  }
  peers.Merge(states, now);
  if (isNewIncarnation) {
    // A newly started instance must know the fleet before it can compute its
    // shares of the limits, so it is answered at once.
    SendDigest({ states.front().address },
               states.front().failureDomain != peers.Self().failureDomain,
               now);
    SendCrashNotices({ states.front().address },
                     mProcess.crashQuarantine.AllNotices(now));
  }
}

} // namespace bronzedeal::gateway
