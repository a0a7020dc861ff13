#include "bronzedeal/gateway/handover.hpp"

#include <algorithm>
#include <utility>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// A trial that has brought no answer by then is handed over after the
/// objective divided by this. The rest of it is left to the hand-over.
constexpr int kTrialObjectiveDivisor = 2;

/// A request that is sent to a server here first, and served by a helper if
/// that brings no answer in time. All its servers count together.
class TrialExchange
  : public Exchange
  , public std::enable_shared_from_this<TrialExchange>
{
public:
  TrialExchange(const ExchangeContext& aContext,
                RoutedRequest aRequest,
                HelperSet aHelpers,
                ReplyHandler aReply)
    : mContext(aContext)
    , mRequest(std::move(aRequest))
    , mHelpers(std::move(aHelpers))
    , mReply(std::move(aReply))
  {
    mRequest.usedServers = std::make_shared<UsedServers>();
  }

  void Start(const ServeHandler& aServe)
  {
    mTimer = mContext.process.timers.Schedule(
      steady_clock::now() + mRequest.route->objective / kTrialObjectiveDivisor,
      [self = shared_from_this()] {
        self->mTimer = {};
        self->OnHandoverDue();
      });
    auto request = mRequest;
    request.isTrial = true;
    auto exchange = aServe(std::move(request),
                           [self = shared_from_this()](CallerReply aReply) {
                             self->OnOwnReply(std::move(aReply));
                           });
    if (!mIsOver) {
      mExchange = std::move(exchange);
    }
  }

  void Conclude() override
  {
    mIsOver = true;
    mContext.process.timers.Cancel(mTimer);
    if (const auto exchange = mExchange) {
      exchange->Conclude();
    }
  }

  void Cancel() override
  {
    mReply = nullptr;
    mContext.process.timers.Cancel(mTimer);
    for (auto* it : { &mExchange, &mReleased }) {
      if (const auto exchange = std::exchange(*it, nullptr)) {
        exchange->Cancel();
      }
    }
  }

private:
  void OnHandoverDue()
  {
    const bool hasHelper =
      mContext.peers.FindHelper(mHelpers.instances, steady_clock::now()) !=
      nullptr;
    if (mIsOver || !mReply || !mExchange || !hasHelper ||
        !mExchange->TryRelease()) {
      return; // It goes on here.
    }
    mIsOver = true;
    mContext.process.log.Write(
      "trial_handed_over",
      { { "request", mRequest.caller.requestId },
        { "used_servers",
          static_cast<std::int64_t>(mRequest.usedServers->size()) },
        { "max_attempts",
          static_cast<std::int64_t>(mRequest.route->maxAttempts) } });
    mReleased = std::move(mExchange);
    mExchange = StartHandoverExchange(mContext, mRequest, mHelpers, mReply);
  }

  void OnOwnReply(CallerReply aReply)
  {
    const bool isStopping = std::exchange(mIsOver, true);
    mContext.process.timers.Cancel(mTimer);
    mExchange = nullptr;
    if (!mReply) {
      return;
    }
    const bool hasTime =
      steady_clock::now() + kAnswerMargin < mRequest.deadline;
    if (aReply.status >= 500 && !isStopping && hasTime) {
      mExchange = StartHandoverExchange(mContext, mRequest, mHelpers, mReply);
      if (mExchange) {
        return;
      }
    }
    std::exchange(mReply, nullptr)(std::move(aReply));
  }

  ExchangeContext mContext;
  RoutedRequest mRequest;
  HelperSet mHelpers;
  ReplyHandler mReply;
  std::shared_ptr<Exchange> mExchange;
  /// The exchange with the servers here, once the request is handed over.
  std::shared_ptr<Exchange> mReleased;
  TimerQueue::Handle mTimer;
  /// True once the request is no longer served here, or must not be handed
  /// over.
  bool mIsOver = false;
};

} // namespace

std::shared_ptr<Exchange> StartTrialExchange(const ExchangeContext& aContext,
                                             RoutedRequest aRequest,
                                             HelperSet aHelpers,
                                             const ServeHandler& aServe,
                                             ReplyHandler aReply)
{
  auto exchange = std::make_shared<TrialExchange>(
    aContext, std::move(aRequest), std::move(aHelpers), std::move(aReply));
  exchange->Start(aServe);
  return exchange;
}

} // namespace bronzedeal::gateway
