#pragma once

#include "http_client.hpp"

#include <boost/asio/steady_timer.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bronzedeal::load {

/// A caller's view of the instances: asks for addresses, keeps the answer for
/// its lifetime and then asks one of them again.
class Caller
{
public:
  Caller(boost::asio::io_context& aContext,
         HttpClient& aClient,
         std::vector<std::string> aSeeds,
         const std::string& aCustomer,
         const std::string& aKind,
         std::uint64_t aSeed);

  /// Begins to ask; goes on until `Stop`.
  void Start() { Refresh(); }
  void Stop();

  /// An address that was not tried yet, or any when all were.
  [[nodiscard]] std::string Choose(const std::set<std::string>& aTried);
  [[nodiscard]] bool HasAnswer() const noexcept { return !mAddresses.empty(); }

private:
  void Refresh();
  void Later(std::chrono::milliseconds aDelay);
  /// Takes the answer's addresses; returns its lifetime, or 0 when it is not
  /// one.
  [[nodiscard]] std::chrono::milliseconds Take(const ClientResponse& aResponse);

  HttpClient& mClient;
  std::vector<std::string> mSeeds;
  std::string mTarget;
  std::mt19937_64 mRandom;
  boost::asio::steady_timer mTimer;
  std::vector<std::string> mAddresses;
  std::set<std::string> mFailed;
  bool mStopped = false;
};

} // namespace bronzedeal::load
