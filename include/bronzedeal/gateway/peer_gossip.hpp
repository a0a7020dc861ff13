#pragma once

#include "bronzedeal/gateway/process.hpp"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <random>

namespace bronzedeal::gateway {

/// Exchanges the peer table with other instances over UDP. The next datagram
/// makes up for a lost one, and an unresponsive peer delays nothing. gRPC would
/// cost each small instance a connection and threads per peer for a few hundred
/// bytes per second.
class PeerGossip
{
public:
  /// `aOnRound` is called at the end of each gossip round.
  PeerGossip(Process& aProcess, std::function<void()> aOnRound);

  /// Binds the socket and starts the rounds. Throws boost::system::system_error
  /// when the port is not available.
  void Start();
  /// Sends the state of this instance to several peers outside the regular
  /// rounds, for example when it starts to leave.
  void SendNow();
  /// Ends the rounds and closes the socket.
  void Stop();

private:
  void RunRound();
  void SendToPeers(std::size_t aSameDomainCount,
                   std::size_t aCrossDomainCount,
                   TimePoint aNow);
  void SendDigest(const std::vector<boost::asio::ip::address>& aTargets,
                  bool aCrossDomain,
                  TimePoint aNow);
  void SendTo(const std::vector<boost::asio::ip::address>& aTargets,
              const std::string& aText);
  void SendCrashNotices(const std::vector<boost::asio::ip::address>& aTargets,
                        const std::vector<CrashNotice>& aNotices);
  /// Tells peers which contents have crashed servers lately.
  void TellCrashes(std::size_t aCrossDomainCount, TimePoint aNow);
  /// The same as soon as the handlers that are due have run.
  void TellCrashesSoon();
  void Receive();
  void OnDatagram(std::size_t aSize);

  Process& mProcess;
  std::function<void()> mOnRound;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mSender;
  std::array<char, 65'536> mBuffer{};
  std::minstd_rand mRandom;
  unsigned mRoundCount = 0;
  std::size_t mAliveCount = 1;
  bool mRunning = false;
  bool mTellsSoon = false;
};

} // namespace bronzedeal::gateway
