#include "bronzedeal/request/concurrency_limit.hpp"

#include <algorithm>

namespace bronzedeal::request {

ConcurrencyLimit::ConcurrencyLimit()
  : ConcurrencyLimit(Options{})
{
}

ConcurrencyLimit::ConcurrencyLimit(const Options& aOptions)
  : mOptions(aOptions)
  , mLimit(static_cast<double>(aOptions.initial))
{
}

void ConcurrencyLimit::SetMaximum(std::size_t aMaximum) noexcept
{
  mMaximum = static_cast<double>(std::max(aMaximum, mOptions.minimum));
  mLimit = std::min(mLimit, mMaximum);
}

LoadSignal ConcurrencyLimit::Classify(ResultCode aCode,
                                      Duration aTimeUsed,
                                      Duration aTimeAllowed) const noexcept
{
  if (IndicatesOverload(aCode) ||
      static_cast<double>(aTimeUsed.count()) >
        mOptions.overloadedTimeShare *
          static_cast<double>(aTimeAllowed.count())) {
    return LoadSignal::Overloaded;
  }
  return aCode == ResultCode::Ok ? LoadSignal::Normal : LoadSignal::None;
}

void ConcurrencyLimit::OnQueryFinished(LoadSignal aSignal,
                                       std::size_t aInProgress,
                                       TimePoint aNow) noexcept
{
  if (aSignal == LoadSignal::Overloaded) {
    if (aNow - mLastDecrease >= mOptions.decreaseInterval) {
      mLastDecrease = aNow;
      mLimit = std::max(mLimit * mOptions.decreaseFactor,
                        static_cast<double>(mOptions.minimum));
    }
    return;
  }
  // The limit rises only while at least half of it is used: queries below that
  // do not show that the servers could carry more.
  if (aSignal == LoadSignal::Normal &&
      static_cast<double>(aInProgress) * 2 >= mLimit) {
    mLimit = std::min(mLimit + 1 / mLimit, mMaximum);
  }
}

} // namespace bronzedeal::request
