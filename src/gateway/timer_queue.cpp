#include "bronzedeal/gateway/timer_queue.hpp"

namespace bronzedeal::gateway {

TimerQueue::TimerQueue(boost::asio::io_context& aContext)
  : mTimer(aContext)
{
}

TimerQueue::Handle TimerQueue::At(TimePoint aWhen,
                                  std::function<void()> aCallback)
{
  const Handle handle{ aWhen, mNextId++ };
  mQueue.emplace(std::pair(aWhen, handle.id), std::move(aCallback));
  Arm();
  return handle;
}

void TimerQueue::Cancel(Handle& aHandle)
{
  if (aHandle.id != 0) {
    mQueue.erase({ aHandle.when, aHandle.id });
    aHandle.id = 0;
  }
}

void TimerQueue::Arm()
{
  // A cancelled deadline leaves the timer armed: an early wake-up is cheaper
  // than setting the timer again for each request.
  if (mQueue.empty() || mQueue.begin()->first.first >= mArmedFor) {
    return;
  }
  mArmedFor = mQueue.begin()->first.first;
  mTimer.expires_at(mArmedFor);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Fire();
    }
  });
}

void TimerQueue::Fire()
{
  mArmedFor = TimePoint::max();
  const auto now = std::chrono::steady_clock::now();
  while (!mQueue.empty() && mQueue.begin()->first.first <= now) {
    auto node = mQueue.extract(mQueue.begin());
    node.mapped()();
  }
  Arm();
}

} // namespace bronzedeal::gateway
