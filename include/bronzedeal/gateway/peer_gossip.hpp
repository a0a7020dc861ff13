#pragma once

#include "bronzedeal/gateway/process.hpp"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <random>

namespace bronzedeal::gateway {

/// Exchanges the peer table over UDP: a lost datagram is repaired by the next,
/// and a silent peer holds up nothing. gRPC would cost each small instance a
/// connection and threads per peer for a few hundred bytes a second.
class PeerGossip
{
public:
  /// `aOnRound` is called after each round.
  PeerGossip(Process& aProcess, std::function<void()> aOnRound);

  void Start();
  /// Tells some peers at once, such as that this instance leaves.
  void SendNow();
  void Stop();

private:
  void Round();
  void SendTo(std::size_t aNear, std::size_t aFar, TimePoint aNow);
  void Send(const std::vector<boost::asio::ip::address>& aTargets,
            bool aFar,
            TimePoint aNow);
  void Receive();
  void OnDatagram(std::size_t aSize);

  Process& mProcess;
  std::function<void()> mOnRound;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mFrom;
  std::array<char, 65'536> mBuffer{};
  std::minstd_rand mRandom;
  unsigned mRounds = 0;
  std::size_t mAlive = 1;
  bool mRunning = false;
};

} // namespace bronzedeal::gateway
