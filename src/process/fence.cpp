#include "bronzedeal/process/fence.hpp"

namespace bronzedeal::process {

Fence::Fence(TimePoint aStart)
  : Fence(aStart, Options{})
{
}

Fence::Fence(TimePoint aStart, Options aOptions)
  : mOptions(aOptions)
  , mChangedAt(aStart)
{
}

bool Fence::Update(const ContactCounts& aContact, TimePoint aNow)
{
  const bool reachesHalf = ReachesHalf(aContact);
  if (reachesHalf && !mReachesHalf) {
    mReachesHalfSince = aNow;
  }
  mReachesHalf = reachesHalf;
  const bool fenced =
    !reachesHalf || (mFenced && aNow - mReachesHalfSince < mOptions.liftDelay);
  if (fenced == mFenced) {
    return false;
  }
  mFenced = fenced;
  mChangedAt = aNow;
  return true;
}

} // namespace bronzedeal::process
