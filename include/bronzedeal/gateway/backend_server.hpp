#pragma once

#include "bronzedeal/gateway/cold_allowance.hpp"
#include "bronzedeal/gateway/replica_cost.hpp"
#include "bronzedeal/gateway/server_connection.hpp"
#include "bronzedeal/gateway/server_record.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

struct Process;

/// A caller's request in the form that servers receive; all its attempts share
/// one.
struct ServerRequest
{
  /// Request line and forwarded headers.
  std::string head;
  std::string body;
  bool isHeadRequest = false;
  /// Bodies of at-most-once requests may not be sent twice.
  std::string requestId;
  /// Until when a server may work on it.
  TimePoint deadline{};
  unsigned priority = 0;
  RequestProfile profile;
};

/// How one attempt at a server ended.
enum class AttemptResult
{
  /// A response of the server that may be passed on.
  Answered,
  /// The server did not run the request and never will.
  NotRun,
  /// It may have run.
  OutcomeUnknown,
};

/// Why an attempt ended without an answer, for the decision log.
enum class AttemptFault
{
  None,
  ConnectFailed,
  Refused,
  OtherServer,
  Broken,
  WrongRequest,
  Expired,
  Retired,
};

[[nodiscard]] std::string_view Name(AttemptFault aFault) noexcept;

/// One attempt of a request at one server.
struct Attempt
{
  using Handler =
    std::function<void(AttemptResult, AttemptFault, ResponseMessage*)>;

  std::shared_ptr<const ServerRequest> request;
  /// Cleared when the result is of no interest any more.
  Handler handler;
  TimePoint queuedAt{};
  TimePoint sentAt{};
  /// True from the moment at which bytes may have reached the server.
  bool sent = false;
  std::shared_ptr<ServerConnection> connection;
  /// How long the connection had been idle before.
  Duration idleTimeBeforeSend{};
  TimerQueue::Handle expiryTimer;
};

/// One backend server as this instance sees it: its connections, the requests
/// that wait for one, and how it has answered lately.
class BackendServer : public std::enable_shared_from_this<BackendServer>
{
public:
  BackendServer(Process& aProcess, ServerRecord aRecord);

  [[nodiscard]] const ServerRecord& Record() const noexcept { return mRecord; }

  /// Takes a newer record of the same start of the server.
  void Update(ServerRecord aRecord, TimePoint aNow);

  /// Connections that this instance may hold.
  void SetMaxConnections(std::size_t aMaxConnections) noexcept;

  /// True when new work may be sent: not leaving, and reachable.
  [[nodiscard]] bool IsUsable(TimePoint aNow) const noexcept;

  /// False for a cold server when this instance's share is used up; takes one
  /// of the share otherwise.
  [[nodiscard]] bool TryAcquireColdAllowance(TimePoint aNow);
  [[nodiscard]] bool IsCold(TimePoint aNow) const noexcept;
  /// How long it stays cold; 0 when it isn't.
  [[nodiscard]] milliseconds RemainingColdTime(TimePoint aNow) const noexcept;

  [[nodiscard]] ReplicaStats Stats(TimePoint aNow) const noexcept;

  /// Requests in progress at the server.
  [[nodiscard]] std::size_t InFlightCount() const noexcept
  {
    return mInFlight.size();
  }

  /// Sends as soon as a connection is free. The handler may be called before
  /// the return.
  std::shared_ptr<Attempt> Send(std::shared_ptr<const ServerRequest> aRequest,
                                Attempt::Handler aHandler);

  /// The result is of no interest any more. An attempt that was not sent is
  /// dropped; a sent one may finish until `aUntil`, so that its connection can
  /// be used again.
  void Detach(const std::shared_ptr<Attempt>& aAttempt, TimePoint aUntil);

  /// Ends the attempts that wait for a connection as not run.
  void DropQueued();

  /// Opens a connection ahead of the first request, unless there is one.
  void Preconnect();

  /// No more work: queued attempts end as not run, idle connections close.
  void Retire();

private:
  void ProcessQueue();
  void Dispatch(const std::shared_ptr<Attempt>& aAttempt,
                const std::shared_ptr<ServerConnection>& aConnection);
  void OpenConnection();
  void OnConnectFailed();
  void OnSendFinished(const std::shared_ptr<Attempt>& aAttempt,
                      SendResult aResult,
                      ResponseMessage* aResponse);
  /// A connection broke that had been idle for so long.
  void LimitReusableIdleTime(Duration aIdleTime, TimePoint aNow);
  void OnExpired(const std::shared_ptr<Attempt>& aAttempt);
  void Finish(const std::shared_ptr<Attempt>& aAttempt,
              AttemptResult aResult,
              AttemptFault aFault,
              ResponseMessage* aResponse);
  void FailQueued(AttemptFault aFault);
  void AddLatencySample(const Attempt& aAttempt, TimePoint aNow);
  void AddOutcomeSample(bool aFailed) noexcept;
  void MarkUnreachable(std::string_view aReason);
  void ScheduleReconnect();
  [[nodiscard]] std::shared_ptr<ServerConnection> TakeIdleConnection(
    TimePoint aNow);

  Process& mProcess;
  ServerRecord mRecord;
  TimePoint mColdUntil{};
  ColdAllowance mAllowance;
  std::size_t mMaxConnections = 1;
  std::deque<std::shared_ptr<Attempt>> mQueue;
  std::vector<std::shared_ptr<ServerConnection>> mIdleConnections;
  std::vector<std::shared_ptr<Attempt>> mInFlight;
  std::size_t mConnectingCount = 0;
  bool mRetired = false;
  bool mReachable = true;
  TimePoint mUnreachableSince{};
  TimePoint mMisdirectedUntil{};
  TimePoint mRefusingUntil{};
  /// Idle connections are used again only below this.
  Duration mMaxReusableIdle = Duration::max();
  TimePoint mMaxReusableIdleUntil{};
  Duration mReconnectDelay{};
  double mRelativeLatency = 1;
  double mFailureRate = 0;
  TimePoint mLastSampleAt{};
};

} // namespace bronzedeal::gateway
