#include "bronzedeal/request/concurrency_limit.hpp"

#include <algorithm>

namespace bronzedeal::request {

ConcurrencyLimit::ConcurrencyLimit()
  : ConcurrencyLimit(Options{})
{
}

ConcurrencyLimit::ConcurrencyLimit(const Options& aOptions)
  : mOptions(aOptions)
  , mLimit(static_cast<double>(aOptions.first))
{
}

void ConcurrencyLimit::SetHighest(std::size_t aHighest) noexcept
{
  mHighest = static_cast<double>(std::max(aHighest, mOptions.lowest));
  mLimit = std::min(mLimit, mHighest);
}

LoadSign ConcurrencyLimit::SignOf(ResultCode aCode,
                                  Duration aTaken,
                                  Duration aGiven) const noexcept
{
  if (SpeaksOfLoad(aCode) ||
      static_cast<double>(aTaken.count()) >
        mOptions.slowShare * static_cast<double>(aGiven.count())) {
    return LoadSign::Overloaded;
  }
  return aCode == ResultCode::Ok ? LoadSign::Fine : LoadSign::None;
}

void ConcurrencyLimit::Finished(LoadSign aSign,
                                std::size_t aInProgress,
                                TimePoint aNow) noexcept
{
  if (aSign == LoadSign::Overloaded) {
    if (aNow - mDecreasedAt >= mOptions.decreaseInterval) {
      mDecreasedAt = aNow;
      mLimit = std::max(mLimit * mOptions.decrease,
                        static_cast<double>(mOptions.lowest));
    }
    return;
  }
  // An unused limit says nothing about what the servers could carry.
  if (aSign == LoadSign::Fine &&
      static_cast<double>(aInProgress) * 2 >= mLimit) {
    mLimit = std::min(mLimit + 1 / mLimit, mHighest);
  }
}

} // namespace bronzedeal::request
