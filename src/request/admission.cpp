#include "bronzedeal/request/admission.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace bronzedeal::request {

namespace {

/// At least one, so that a small limit admits every key.
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
  mOptions.limit = aLimit;
}

std::size_t Admission::KeyLimit() const noexcept
{
  return ShareOf(mOptions.limit, mOptions.maxShare);
}

void Admission::Offer(QueryId aQuery,
                      std::string_view aKey,
                      TimePoint aDeadline,
                      TimePoint aNow,
                      std::vector<Action>& aActions)
{
  Expire(aNow, aActions);
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
  if (mWaiting >= mOptions.maxWaiting ||
      queue.entries.size() >= ShareOf(mOptions.maxWaiting, mOptions.maxShare)) {
    aActions.emplace_back(Refuse{ aQuery, ResultCode::NotRunOverloaded });
    Forget(it);
    return;
  }
  if (queue.entries.empty()) {
    queue.emptyAt = aNow;
  }
  queue.entries.push_back({ aQuery, aNow, aDeadline });
  ++mWaiting;
  Fill(aNow, aActions);
}

void Admission::Finished(std::string_view aKey,
                         TimePoint aNow,
                         std::vector<Action>& aActions)
{
  const auto it = mQueues.find(aKey);
  if (it == mQueues.end() || it->second.inProgress == 0) {
    return;
  }
  --it->second.inProgress;
  --mInProgress;
  Forget(it);
  Expire(aNow, aActions);
  Fill(aNow, aActions);
}

void Admission::OnTimer(TimePoint aNow, std::vector<Action>& aActions)
{
  Expire(aNow, aActions);
}

std::optional<TimePoint> Admission::NextTimer() const noexcept
{
  std::optional<TimePoint> next;
  if (mWaiting == 0) {
    return next;
  }
  for (const auto& [key, queue] : mQueues) {
    for (const auto& it : queue.entries) {
      const auto at = RefuseAt(queue, it);
      next = next ? std::min(*next, at) : at;
    }
  }
  return next;
}

TimePoint Admission::RefuseAt(const Queue& aQueue,
                              const Entry& aEntry) const noexcept
{
  const auto standing = aQueue.emptyAt + mOptions.interval;
  return std::min({ aEntry.deadline,
                    aEntry.since + mOptions.interval,
                    std::max(aEntry.since + mOptions.target, standing) });
}

void Admission::Expire(TimePoint aNow, std::vector<Action>& aActions)
{
  if (mWaiting == 0) {
    return;
  }
  for (auto it = mQueues.begin(); it != mQueues.end();) {
    auto& queue = it->second;
    mWaiting -= std::erase_if(queue.entries, [&](const Entry& aEntry) {
      if (aNow < RefuseAt(queue, aEntry)) {
        return false;
      }
      aActions.emplace_back(Refuse{ aEntry.query,
                                    aNow >= aEntry.deadline
                                      ? ResultCode::NotRunDeadline
                                      : ResultCode::NotRunOverloaded });
      return true;
    });
    const auto next = std::next(it);
    Forget(it);
    it = next;
  }
}

void Admission::Fill(TimePoint aNow, std::vector<Action>& aActions)
{
  while (mWaiting > 0 && mInProgress < mOptions.limit) {
    Queue* chosen = nullptr;
    for (auto& [key, queue] : mQueues) {
      if (!queue.entries.empty() && queue.inProgress < KeyLimit() &&
          (chosen == nullptr || queue.turn < chosen->turn)) {
        chosen = &queue;
      }
    }
    if (chosen == nullptr) {
      return;
    }
    aActions.emplace_back(Admit{ chosen->entries.front().query });
    chosen->entries.pop_front();
    if (chosen->entries.empty()) {
      chosen->emptyAt = aNow;
    }
    chosen->turn = ++mTurn;
    ++chosen->inProgress;
    --mWaiting;
    ++mInProgress;
  }
}

void Admission::Forget(Queues::iterator aQueue)
{
  if (aQueue->second.entries.empty() && aQueue->second.inProgress == 0) {
    mQueues.erase(aQueue);
  }
}

} // namespace bronzedeal::request
