#include "bronzedeal/daemon/platform_reader.hpp"

#include "bronzedeal/daemon/platform_client.hpp"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace bronzedeal::daemon {

using namespace process;
using SteadyClock = std::chrono::steady_clock;

namespace {

// An answer may take this much longer than the wait that was asked for.
constexpr milliseconds kReadGrace{ 2'000 };
constexpr milliseconds kListRetry{ 500 };
constexpr int kStatusOk = 200;
constexpr int kStatusNotModified = 304;

ServiceReadResult AnswerOf(PlatformClient::Answer&& aAnswer)
{
  ServiceReadResult result;
  result.status = aAnswer.status == kStatusOk ? ServiceReadStatus::Document
                  : aAnswer.status == kStatusNotModified
                    ? ServiceReadStatus::NotModified
                    : ServiceReadStatus::Failed;
  result.text = std::move(aAnswer.body);
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
  void Get(std::string aTarget, milliseconds aWait, F aTake)
  {
    metrics.Add(Counter::PlatformReads);
    platform.Get(std::move(aTarget),
                 aWait + kReadGrace,
                 [weak = weak_from_this(), strand = strand, take = aTake](
                   PlatformClient::Answer aAnswer) {
                   boost::asio::post(
                     strand,
                     [weak, take, answer = std::move(aAnswer)]() mutable {
                       if (const auto self = weak.lock()) {
                         take(*self, std::move(answer));
                       }
                     });
                 });
  }

  Strand strand;
  PlatformClient platform;
  Metrics& metrics;
  std::uint64_t configRead = 0;
  bool listReadOpen = false;
  TimePoint nextListRead{};
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
  mImpl->Get(fmt::format("/v1/config?after={}&wait_ms={}",
                         aRead.afterVersion,
                         aRead.maxWait.count()),
             aRead.maxWait,
             [number = ++mImpl->configRead, handler = std::move(aHandler)](
               Impl& aImpl, PlatformClient::Answer&& aAnswer) {
               if (number == aImpl.configRead) {
                 handler(AnswerOf(std::move(aAnswer)));
               }
             });
}

void PlatformReader::ForgetConfig() noexcept
{
  ++mImpl->configRead;
}

bool PlatformReader::MayReadList(TimePoint aNow) const noexcept
{
  return !mImpl->listReadOpen && aNow >= mImpl->nextListRead;
}

void PlatformReader::ReadList(RosterRevision aAfter,
                              milliseconds aWait,
                              ListHandler aHandler)
{
  mImpl->listReadOpen = true;
  mImpl->Get(
    fmt::format("/v1/instances?after={}&wait_ms={}", aAfter, aWait.count()),
    aWait,
    [handler = std::move(aHandler)](Impl& aImpl,
                                    PlatformClient::Answer&& aAnswer) {
      const bool read = aAnswer.status == kStatusOk;
      aImpl.listReadOpen = false;
      aImpl.nextListRead =
        SteadyClock::now() + (read ? milliseconds(0) : kListRetry);
      if (read) {
        handler(aAnswer.body);
      }
    });
}

} // namespace bronzedeal::daemon
