#include "bronzedeal/gateway/timer_queue.hpp"

#include "bronzedeal/gateway/error_boundary.hpp"

namespace bronzedeal::gateway {

TimerQueue::TimerQueue(boost::asio::io_context& aContext)
  : mTimer(aContext)
{
}

TimerQueue::Handle TimerQueue::Schedule(TimePoint aWhen,
                                        std::function<void()> aCallback)
{
  const Handle handle{ aWhen, mNextId++ };
  mQueue.emplace(std::pair(aWhen, handle.id), std::move(aCallback));
  ArmTimer();
  return handle;
}

void TimerQueue::Cancel(Handle& aHandle)
{
  if (aHandle.id != 0) {
    mQueue.erase({ aHandle.when, aHandle.id });
    aHandle.id = 0;
  }
}

void TimerQueue::ArmTimer()
{
  // Cancelling leaves the system timer armed: an early wake-up is cheaper than
  // setting the timer again for each request.
  if (mQueue.empty() || mQueue.begin()->first.first >= mArmedDeadline) {
    return;
  }
  mArmedDeadline = mQueue.begin()->first.first;
  mTimer.expires_at(mArmedDeadline);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      RunDueCallbacks();
    }
  });
}

void TimerQueue::RunDueCallbacks()
{
  mArmedDeadline = TimePoint::max();
  const auto now = std::chrono::steady_clock::now();
  while (!mQueue.empty() && mQueue.begin()->first.first <= now) {
    auto node = mQueue.extract(mQueue.begin());
    RunWithRecovery(node.mapped(), [this] { ArmTimer(); });
  }
  ArmTimer();
}

} // namespace bronzedeal::gateway
