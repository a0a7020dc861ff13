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
  bool headOnly = false;
  /// Bodies of at-most-once requests may not be sent twice.
  std::string requestId;
  /// Until when a server may work on it.
  TimePoint deadline{};
  unsigned priority = 0;
  RequestView view;
};

/// How one attempt at a server ended.
enum class AttemptResult
{
  /// A response of the server that may be passed on.
  Answered,
  /// The server did not run the request and never will.
  NotRun,
  /// It may have run.
  Lost,
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
  Duration rested{};
  TimerQueue::Handle expiry;
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
  void SetConnectionShare(std::size_t aConnections) noexcept;

  /// True when new work may be sent: not leaving, and reachable.
  [[nodiscard]] bool Usable(TimePoint aNow) const noexcept;

  /// False for a cold server when this instance's share is used up; takes one
  /// of the share otherwise.
  [[nodiscard]] bool TakeAllowance(TimePoint aNow);
  [[nodiscard]] bool Cold(TimePoint aNow) const noexcept;
  /// How long it stays cold; 0 when it isn't.
  [[nodiscard]] milliseconds ColdLeft(TimePoint aNow) const noexcept;

  [[nodiscard]] ReplicaView View(TimePoint aNow) const noexcept;

  /// Requests in progress at the server.
  [[nodiscard]] std::size_t InFlight() const noexcept
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
  void Release(const std::shared_ptr<Attempt>& aAttempt, TimePoint aUntil);

  /// Ends the attempts that wait for a connection as not run.
  void DropQueued();

  /// Opens a connection ahead of the first request, unless there is one.
  void Warm();

  /// No more work: queued attempts end as not run, idle connections close.
  void Retire();

private:
  void Pump();
  void Dispatch(const std::shared_ptr<Attempt>& aAttempt,
                const std::shared_ptr<ServerConnection>& aConnection);
  void OpenConnection();
  void OnConnectFailed();
  void OnSendEnd(const std::shared_ptr<Attempt>& aAttempt,
                 SendResult aResult,
                 ResponseMessage* aResponse);
  /// A connection broke that had been idle for so long.
  void NoteForgotten(Duration aRested, TimePoint aNow);
  void OnExpired(const std::shared_ptr<Attempt>& aAttempt);
  void Finish(const std::shared_ptr<Attempt>& aAttempt,
              AttemptResult aResult,
              AttemptFault aFault,
              ResponseMessage* aResponse);
  void FailQueued(AttemptFault aFault);
  void CountLatency(const Attempt& aAttempt, TimePoint aNow);
  void CountOutcome(bool aFailed) noexcept;
  void MarkUnreachable(std::string_view aReason);
  void ScheduleReconnect();
  [[nodiscard]] std::shared_ptr<ServerConnection> TakeIdle(TimePoint aNow);

  Process& mProcess;
  ServerRecord mRecord;
  TimePoint mColdUntil{};
  ColdAllowance mAllowance;
  std::size_t mConnectionShare = 1;
  std::deque<std::shared_ptr<Attempt>> mQueue;
  std::vector<std::shared_ptr<ServerConnection>> mIdle;
  std::vector<std::shared_ptr<Attempt>> mInFlight;
  std::size_t mConnecting = 0;
  bool mRetired = false;
  bool mReachable = true;
  TimePoint mUnreachableSince{};
  TimePoint mMisdirectedUntil{};
  TimePoint mFullUntil{};
  /// Idle connections are used again only below this.
  Duration mMaxRest = Duration::max();
  TimePoint mMaxRestUntil{};
  Duration mBackoff{};
  double mSlowness = 1;
  double mFailureRate = 0;
  TimePoint mLastSample{};
};

} // namespace bronzedeal::gateway
