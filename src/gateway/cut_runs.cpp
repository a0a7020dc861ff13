#include "bronzedeal/gateway/cut_runs.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

namespace {

/// Above the requests that a server runs at a time.
constexpr std::size_t kMaxRuns = 64;

} // namespace

void CutRuns::Add(const Run& aRun)
{
  if (mRuns.size() == kMaxRuns) {
    mRuns.erase(mRuns.begin());
  }
  mRuns.push_back(aRun);
  mLinksWorkedAt.reset();
  if (aRun.brokeOff) {
    mProbeCount = 0;
  }
}

bool CutRuns::OnAnswered(TimePoint aSentAt)
{
  return std::erase_if(
           mRuns, [&](const auto& aIt) { return aIt.cutAt <= aSentAt; }) > 0;
}

std::vector<CutRuns::Run> CutRuns::TakeEnded(TimePoint aNow)
{
  std::vector<Run> ended;
  for (const auto& it : mRuns) {
    if (aNow - it.cutAt < kServerEndProofTime) {
      ended.push_back(it);
    }
  }
  mRuns.clear();
  return ended;
}

bool CutRuns::IsWaiting(TimePoint aNow) const
{
  return !mRuns.empty() && aNow - mRuns.back().cutAt < kServerEndProofTime;
}

bool CutRuns::ShouldProbe(TimePoint aNow) const
{
  return mProbeCount < kMaxServerProbes &&
         std::any_of(mRuns.begin(), mRuns.end(), [&](const auto& aIt) {
           return aIt.brokeOff && aNow - aIt.cutAt < kServerProbeTime;
         });
}

} // namespace bronzedeal::gateway
