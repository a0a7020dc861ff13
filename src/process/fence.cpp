#include "bronzedeal/process/fence.hpp"

namespace bronzedeal::process {

Fence::Fence(TimePoint aStart)
  : Fence(aStart, Options{})
{
}

Fence::Fence(TimePoint aStart, Options aOptions)
  : mOptions(aOptions)
  , mSince(aStart)
{
}

bool Fence::Update(const ContactCounts& aContact, TimePoint aNow)
{
  const bool good = ReachesHalf(aContact);
  if (good && !mGood) {
    mGoodSince = aNow;
  }
  mGood = good;
  const bool fenced =
    !good || (mFenced && aNow - mGoodSince < mOptions.liftDelay);
  if (fenced == mFenced) {
    return false;
  }
  mFenced = fenced;
  mSince = aNow;
  return true;
}

} // namespace bronzedeal::process
