#pragma once

#include "bronzedeal/types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

namespace bronzedeal::gateway {

/// Queue of timer callbacks behind a single system timer, so that most calls of
/// `Schedule` and `Cancel` need no system call.
class TimerQueue
{
public:
  /// Identifies a scheduled callback; id 0 stands for none.
  struct Handle
  {
    TimePoint when{};
    std::uint64_t id = 0;
  };

  explicit TimerQueue(boost::asio::io_context& aContext);

  /// Calls the callback at `aWhen`, or as soon as possible if that has passed;
  /// never before the function returns.
  Handle Schedule(TimePoint aWhen, std::function<void()> aCallback);
  /// Cancels the callback if it is still pending, and clears the handle.
  void Cancel(Handle& aHandle);

private:
  void ArmTimer();
  void RunDueCallbacks();

  boost::asio::steady_timer mTimer;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> mQueue;
  TimePoint mArmedDeadline = TimePoint::max();
  std::uint64_t mNextId = 1;
};

} // namespace bronzedeal::gateway
