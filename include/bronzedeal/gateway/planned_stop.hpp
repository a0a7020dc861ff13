#pragma once

#include "bronzedeal/gateway/stop_schedule.hpp"

#include <optional>

namespace bronzedeal::gateway {

class HttpListener;
struct Process;

/// Ends the process as planned: serves what has arrived and what comes until
/// callers know other addresses, answers the rest in time, and stops the event
/// loop. `StopSchedule` decides when.
class PlannedStop
{
public:
  /// The references must outlive the object.
  PlannedStop(Process& aProcess,
              HttpListener& aCallers,
              HttpListener& aInstances);

  /// `aSignalledAt` is the earliest time at which the signal may have been
  /// sent. To be called once.
  void Begin(const StopSchedule& aSchedule,
             TimePoint aSignalledAt,
             TimePoint aNow);

  [[nodiscard]] bool HasBegun() const noexcept { return mSchedule.has_value(); }

private:
  void Poll();

  Process& mProcess;
  HttpListener& mCallers;
  HttpListener& mInstances;
  std::optional<StopSchedule> mSchedule;
  TimePoint mBegunAt{};
  unsigned mQuietPollCount = 0;
};

} // namespace bronzedeal::gateway
