#include "bronzedeal/gateway/planned_stop.hpp"

#include "bronzedeal/gateway/http_listener.hpp"
#include "bronzedeal/gateway/process.hpp"

#include <algorithm>

namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

constexpr auto kPollInterval = milliseconds(50);
/// The stop ends after so many polls in a row without requests.
constexpr unsigned kMinQuietPolls = 2;

} // namespace

PlannedStop::PlannedStop(Process& aProcess,
                         HttpListener& aCallers,
                         HttpListener& aInstances)
  : mProcess(aProcess)
  , mCallers(aCallers)
  , mInstances(aInstances)
{
}

void PlannedStop::Begin(const StopSchedule& aSchedule,
                        TimePoint aSignalledAt,
                        TimePoint aNow)
{
  mSchedule = aSchedule;
  mBegunAt = aNow;
  mProcess.log.Write(
    "stop_begins",
    { { "connections", static_cast<std::int64_t>(mCallers.ConnectionCount()) },
      { "requests", static_cast<std::int64_t>(mCallers.BusyConnectionCount()) },
      { "held_up_ms", Milliseconds(aNow - aSignalledAt) } });
  mCallers.BeginDrain();
  Poll();
}

void PlannedStop::Poll()
{
  const auto now = steady_clock::now();
  // The next poll is due whatever happens in this one.
  mProcess.timers.Schedule(
    std::min(now + kPollInterval, std::max(now, mSchedule->ExitAt())),
    [this] { Poll(); });
  if (now >= mSchedule->AcceptUntil()) {
    mCallers.StopAccepting();
    mCallers.CloseIdleConnections();
  }
  if (now >= mSchedule->ConcludeAt()) {
    mInstances.StopAccepting();
    mCallers.ConcludeRequests();
    mInstances.ConcludeRequests();
  }
  const auto requestCount =
    mCallers.CountRequests() + mInstances.CountRequests();
  // What the event loop has accepted or read shows by the next poll.
  mQuietPollCount = requestCount == 0 ? mQuietPollCount + 1 : 0;
  const bool isQuiet = now >= mSchedule->AcceptUntil() + kPollInterval &&
                       mQuietPollCount >= kMinQuietPolls;
  if (isQuiet || now >= mSchedule->ExitAt()) {
    mProcess.log.Write(
      "stop_ends",
      { { "requests", static_cast<std::int64_t>(requestCount) },
        { "took_ms", Milliseconds(now - mBegunAt) } });
    mProcess.context.stop();
  }
}

} // namespace bronzedeal::gateway
