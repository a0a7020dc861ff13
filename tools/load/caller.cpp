#include "caller.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

namespace bronzedeal::load {

namespace {

constexpr std::chrono::milliseconds kAskTimeout{ 500 };
constexpr std::chrono::milliseconds kRetryDelay{ 100 };
constexpr std::chrono::milliseconds kLongestLifetime{ 60'000 };

} // namespace

Caller::Caller(boost::asio::io_context& aContext,
               HttpClient& aClient,
               std::vector<std::string> aSeeds,
               const std::string& aCustomer,
               const std::string& aKind,
               std::uint64_t aSeed)
  : mClient(aClient)
  , mSeeds(std::move(aSeeds))
  , mTarget("/v1/addresses?customer=" + aCustomer + "&kind=" + aKind)
  , mRandom(aSeed)
  , mTimer(aContext)
{
}

void Caller::Stop()
{
  mStopped = true;
  mTimer.cancel();
}

std::string Caller::Choose(const std::set<std::string>& aTried)
{
  const auto& all = mAddresses.empty() ? mSeeds : mAddresses;
  std::vector<std::string> left;
  for (const auto& it : all) {
    if (!aTried.contains(it)) {
      left.push_back(it);
    }
  }
  const auto& from = left.empty() ? all : left;
  std::uniform_int_distribution<std::size_t> index(0, from.size() - 1);
  return from[index(mRandom)];
}

void Caller::Refresh()
{
  auto all = mSeeds;
  all.insert(all.end(), mAddresses.begin(), mAddresses.end());
  std::erase_if(all, [this](const std::string& aAddress) {
    return mFailed.contains(aAddress);
  });
  if (all.empty()) {
    mFailed.clear();
    all = mSeeds;
  }
  std::uniform_int_distribution<std::size_t> index(0, all.size() - 1);
  const auto address = all[index(mRandom)];
  mClient.Send(address,
               { .method = "GET", .target = mTarget },
               std::chrono::steady_clock::now() + kAskTimeout,
               [this, address](const ClientResponse& aResponse) {
                 const auto lifetime = Take(aResponse);
                 if (lifetime.count() > 0) {
                   mFailed.clear();
                   Later(lifetime);
                 } else {
                   mFailed.insert(address);
                   Later(kRetryDelay);
                 }
               });
}

void Caller::Later(std::chrono::milliseconds aDelay)
{
  if (mStopped) {
    return;
  }
  mTimer.expires_after(aDelay);
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError && !mStopped) {
      Refresh();
    }
  });
}

std::chrono::milliseconds Caller::Take(const ClientResponse& aResponse)
{
  boost::system::error_code ec;
  const auto value = boost::json::parse(aResponse.body, ec);
  if (ec || aResponse.status != 200 || !value.is_object()) {
    return {};
  }
  try {
    const auto addresses = boost::json::value_to<std::vector<std::string>>(
      value.as_object().at("addresses"));
    const std::chrono::milliseconds lifetime(
      value.as_object().at("ttl_ms").to_number<std::int64_t>());
    if (addresses.empty()) {
      return {};
    }
    mAddresses = addresses;
    return std::clamp(lifetime, kRetryDelay, kLongestLifetime);
  } catch (const std::exception&) {
    return {};
  }
}

} // namespace bronzedeal::load
