#include "bronzedeal/daemon/platform_reader.hpp"

#include "bronzedeal/daemon/platform_client.hpp"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace bronzedeal::daemon {

using namespace process;
using SteadyClock = std::chrono::steady_clock;

namespace {

// Time allowed for an answer in addition to the requested wait.
constexpr milliseconds kReadTimeoutMargin{ 2'000 };
constexpr milliseconds kListRetryDelay{ 500 };
constexpr int kStatusOk = 200;
constexpr int kStatusNotModified = 304;

ServiceReadResult ToReadResult(PlatformClient::Response&& aResponse)
{
  ServiceReadResult result;
  result.status = aResponse.status == kStatusOk ? ServiceReadStatus::Document
                  : aResponse.status == kStatusNotModified
                    ? ServiceReadStatus::NotModified
                    : ServiceReadStatus::Failed;
  result.text = std::move(aResponse.body);
  return result;
}

} // namespace

struct PlatformReader::Impl : std::enable_shared_from_this<PlatformReader::Impl>
{
  Impl(boost::asio::io_context& aContext,
       Strand aStrand,
       std::string aAddress,
       Metrics& aMetrics)
    : strand(std::move(aStrand))
    , platform(aContext, std::move(aAddress))
    , metrics(aMetrics)
  {
  }

  /// Starts a read whose answer is handled on the strand.
  template<typename F>
  void Get(std::string aTarget, milliseconds aWait, F aHandler)
  {
    metrics.Add(Counter::PlatformReads);
    platform.Get(
      std::move(aTarget),
      aWait + kReadTimeoutMargin,
      [weak = weak_from_this(), strand = strand, handler = aHandler](
        PlatformClient::Response aResponse) {
        boost::asio::post(
          strand, [weak, handler, response = std::move(aResponse)]() mutable {
            if (const auto self = weak.lock()) {
              handler(*self, std::move(response));
            }
          });
      });
  }

  Strand strand;
  PlatformClient platform;
  Metrics& metrics;
  std::uint64_t lastConfigRead = 0;
  bool listReadInProgress = false;
  TimePoint nextListReadTime{};
};

PlatformReader::PlatformReader(boost::asio::io_context& aContext,
                               Strand aStrand,
                               std::string aAddress,
                               Metrics& aMetrics)
  : mImpl(std::make_shared<Impl>(aContext,
                                 std::move(aStrand),
                                 std::move(aAddress),
                                 aMetrics))
{
}

PlatformReader::~PlatformReader() = default;

void PlatformReader::ReadConfig(const ServiceRead& aRead,
                                ConfigHandler aHandler)
{
  mImpl->Get(
    fmt::format("/v1/config?after={}&wait_ms={}",
                aRead.afterVersion,
                aRead.maxWait.count()),
    aRead.maxWait,
    [readNumber = ++mImpl->lastConfigRead, handler = std::move(aHandler)](
      Impl& aImpl, PlatformClient::Response&& aResponse) {
      if (readNumber == aImpl.lastConfigRead) {
        handler(ToReadResult(std::move(aResponse)));
      }
    });
}

void PlatformReader::CancelConfigRead() noexcept
{
  ++mImpl->lastConfigRead;
}

bool PlatformReader::MayReadList(TimePoint aNow) const noexcept
{
  return !mImpl->listReadInProgress && aNow >= mImpl->nextListReadTime;
}

void PlatformReader::ReadList(RosterRevision aAfter,
                              milliseconds aWait,
                              ListHandler aHandler)
{
  mImpl->listReadInProgress = true;
  mImpl->Get(
    fmt::format("/v1/instances?after={}&wait_ms={}", aAfter, aWait.count()),
    aWait,
    [handler = std::move(aHandler)](Impl& aImpl,
                                    PlatformClient::Response&& aResponse) {
      const bool succeeded = aResponse.status == kStatusOk;
      aImpl.listReadInProgress = false;
      aImpl.nextListReadTime =
        SteadyClock::now() + (succeeded ? milliseconds(0) : kListRetryDelay);
      if (succeeded) {
        handler(aResponse.body);
      }
    });
}

} // namespace bronzedeal::daemon
