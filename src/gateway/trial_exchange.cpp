#include "bronzedeal/gateway/handover.hpp"

#include <algorithm>
#include <utility>

namespace bronzedeal::gateway {

namespace {

/// A trial takes the objective divided by this, and leaves the rest of it to
/// the hand-over.
constexpr int kTrialObjectiveDivisor = 2;

/// A request that is served here first, and by a helper if that fails.
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
  }

  void Start(const ServeHandler& aServe)
  {
    auto request = mRequest;
    request.deadline =
      std::min(request.deadline,
               std::chrono::steady_clock::now() +
                 request.route->objective / kTrialObjectiveDivisor);
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
    if (const auto exchange = mExchange) {
      exchange->Conclude();
    }
  }

  void Cancel() override
  {
    mReply = nullptr;
    if (const auto exchange = std::exchange(mExchange, nullptr)) {
      exchange->Cancel();
    }
  }

private:
  void OnOwnReply(CallerReply aReply)
  {
    const bool isStopping = std::exchange(mIsOver, true);
    mExchange = nullptr;
    if (!mReply) {
      return;
    }
    if (aReply.status >= 500 && !isStopping) {
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
