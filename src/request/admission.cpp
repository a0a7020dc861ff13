#include "bronzedeal/request/admission.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace bronzedeal::request {

namespace {

/// Returns at least 1, so that a small limit still admits queries of every key.
std::size_t ShareOf(std::size_t aTotal, double aShare) noexcept
{
  return std::max<std::size_t>(
    1, static_cast<std::size_t>(static_cast<double>(aTotal) * aShare));
}

} // namespace

Admission::Admission()
  : Admission(Options{})
{
}

Admission::Admission(const Options& aOptions)
  : mOptions(aOptions)
{
}

void Admission::SetLimit(std::size_t aLimit) noexcept
{
  mOptions.maxInProgress = aLimit;
}

std::size_t Admission::MaxInProgressPerKey() const noexcept
{
  return ShareOf(mOptions.maxInProgress, mOptions.maxKeyShare);
}

void Admission::Submit(QueryId aQuery,
                       std::string_view aKey,
                       TimePoint aDeadline,
                       TimePoint aNow,
                       std::vector<Action>& aActions)
{
  RefuseExpired(aNow, aActions);
  if (aNow >= aDeadline) {
    aActions.emplace_back(Refuse{ aQuery, ResultCode::NotRunDeadline });
    return;
  }
  auto it = mQueues.find(aKey);
  if (it == mQueues.end()) {
    if (mQueues.size() >= mOptions.maxKeys) {
      aActions.emplace_back(Refuse{ aQuery, ResultCode::NotRunOverloaded });
      return;
    }
    it = mQueues.try_emplace(std::string(aKey)).first;
  }
  auto& queue = it->second;
  if (mWaitingCount >= mOptions.maxWaiting ||
      queue.waiting.size() >=
        ShareOf(mOptions.maxWaiting, mOptions.maxKeyShare)) {
    aActions.emplace_back(Refuse{ aQuery, ResultCode::NotRunOverloaded });
    EraseIfIdle(it);
    return;
  }
  if (queue.waiting.empty()) {
    queue.lastEmptyAt = aNow;
  }
  queue.waiting.push_back({ aQuery, aNow, aDeadline });
  ++mWaitingCount;
  AdmitWaiting(aNow, aActions);
}

void Admission::OnQueryFinished(std::string_view aKey,
                                TimePoint aNow,
                                std::vector<Action>& aActions)
{
  const auto it = mQueues.find(aKey);
  if (it == mQueues.end() || it->second.inProgress == 0) {
    return;
  }
  --it->second.inProgress;
  --mInProgressCount;
  EraseIfIdle(it);
  RefuseExpired(aNow, aActions);
  AdmitWaiting(aNow, aActions);
}

void Admission::OnTimer(TimePoint aNow, std::vector<Action>& aActions)
{
  RefuseExpired(aNow, aActions);
}

std::optional<TimePoint> Admission::NextTimer() const noexcept
{
  std::optional<TimePoint> next;
  if (mWaitingCount == 0) {
    return next;
  }
  for (const auto& [key, queue] : mQueues) {
    for (const auto& it : queue.waiting) {
      const auto at = RefusalTime(queue, it);
      next = next ? std::min(*next, at) : at;
    }
  }
  return next;
}

TimePoint Admission::RefusalTime(const Queue& aQueue,
                                 const WaitingQuery& aQuery) const noexcept
{
  const auto standingSince = aQueue.lastEmptyAt + mOptions.interval;
  return std::min(
    { aQuery.deadline,
      aQuery.waitingSince + mOptions.interval,
      std::max(aQuery.waitingSince + mOptions.target, standingSince) });
}

void Admission::RefuseExpired(TimePoint aNow, std::vector<Action>& aActions)
{
  if (mWaitingCount == 0) {
    return;
  }
  for (auto it = mQueues.begin(); it != mQueues.end();) {
    auto& queue = it->second;
    mWaitingCount -=
      std::erase_if(queue.waiting, [&](const WaitingQuery& aQuery) {
        if (aNow < RefusalTime(queue, aQuery)) {
          return false;
        }
        aActions.emplace_back(Refuse{ aQuery.id,
                                      aNow >= aQuery.deadline
                                        ? ResultCode::NotRunDeadline
                                        : ResultCode::NotRunOverloaded });
        return true;
      });
    const auto next = std::next(it);
    EraseIfIdle(it);
    it = next;
  }
}

void Admission::AdmitWaiting(TimePoint aNow, std::vector<Action>& aActions)
{
  while (mWaitingCount > 0 && mInProgressCount < mOptions.maxInProgress) {
    Queue* chosen = nullptr;
    for (auto& [key, queue] : mQueues) {
      if (!queue.waiting.empty() && queue.inProgress < MaxInProgressPerKey() &&
          (chosen == nullptr ||
           std::pair(queue.inProgress, queue.lastAdmission) <
             std::pair(chosen->inProgress, chosen->lastAdmission))) {
        chosen = &queue;
      }
    }
    if (chosen == nullptr) {
      return;
    }
    aActions.emplace_back(Admit{ chosen->waiting.front().id });
    chosen->waiting.pop_front();
    if (chosen->waiting.empty()) {
      chosen->lastEmptyAt = aNow;
    }
    chosen->lastAdmission = ++mAdmissions;
    ++chosen->inProgress;
    --mWaitingCount;
    ++mInProgressCount;
  }
}

void Admission::EraseIfIdle(Queues::iterator aQueue)
{
  if (aQueue->second.waiting.empty() && aQueue->second.inProgress == 0) {
    mQueues.erase(aQueue);
  }
}

} // namespace bronzedeal::request
