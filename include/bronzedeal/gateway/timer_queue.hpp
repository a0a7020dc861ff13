#pragma once

#include "bronzedeal/types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

namespace bronzedeal::gateway {

/// All deadlines of a process behind one timer of the system, so that setting
/// and cancelling a deadline needs no system call in most cases.
class TimerQueue
{
public:
  /// Names a deadline; 0 names none.
  struct Handle
  {
    TimePoint when{};
    std::uint64_t id = 0;
  };

  explicit TimerQueue(boost::asio::io_context& aContext);

  Handle Schedule(TimePoint aWhen, std::function<void()> aCallback);
  /// Does nothing when the deadline has fired or was cancelled; clears the
  /// handle.
  void Cancel(Handle& aHandle);

private:
  void ArmTimer();
  void RunDueCallbacks();

  boost::asio::steady_timer mTimer;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> mQueue;
  TimePoint mArmedUntil = TimePoint::max();
  std::uint64_t mNextId = 1;
};

} // namespace bronzedeal::gateway
