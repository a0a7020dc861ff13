#pragma once

#include "bronzedeal/gateway/answer_record.hpp"
#include "bronzedeal/gateway/cold_allowance.hpp"
#include "bronzedeal/gateway/content_id.hpp"
#include "bronzedeal/gateway/crash_quarantine.hpp"
#include "bronzedeal/gateway/cut_runs.hpp"
#include "bronzedeal/gateway/rate_limit.hpp"
#include "bronzedeal/gateway/replica_cost.hpp"
#include "bronzedeal/gateway/server_announcements.hpp"
#include "bronzedeal/gateway/server_connection.hpp"
#include "bronzedeal/gateway/server_record.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bronzedeal::gateway {

struct Process;

/// A caller's request in the form sent to servers; shared by all its attempts.
struct ServerRequest
{
  /// Request line and forwarded header lines, each with its line end.
  std::string head;
  /// Null if there is none.
  std::shared_ptr<const std::string> body;
  bool isHeadRequest = false;
  /// Servers echo it; a response with another id or none is not accepted.
  std::string requestId;
  /// Nothing for a request to another instance.
  std::optional<ContentId> content;
  /// Time until which a server may work on the request.
  TimePoint deadline{};
  /// 0 is the most urgent.
  unsigned priority = 0;
  RequestProfile profile;
};

/// What may be sent for the request's content; `Free` if it has none.
[[nodiscard]] ContentVerdict VerdictOf(const Process& aProcess,
                                       const ServerRequest& aRequest,
                                       TimePoint aNow);

/// Outcome of one attempt at a server.
enum class AttemptResult
{
  /// The server sent a response of any status; it may be passed on.
  Answered,
  /// The server has not run the request and never will.
  NotRun,
  /// The server may have run the request, but there is no usable response.
  OutcomeUnknown,
};

/// Why an attempt ended without an answer. `Name` gives the text that the
/// decision log contains.
enum class AttemptFault
{
  None,
  /// No connection could be opened.
  ConnectFailed,
  /// The server stated that it did not run the request.
  Refused,
  /// 421: another server now listens on the address.
  OtherServer,
  /// The connection failed after the send.
  Broken,
  /// The response didn't carry the id of the request.
  WrongRequest,
  /// The deadline passed before a connection was free.
  Expired,
  /// The server was removed, drains or was withdrawn before the send.
  Retired,
  /// The server accepts no further request now, by the limit that it states or
  /// because it is cold.
  RateLimited,
  /// The content crashes servers, as became known before the send.
  Quarantined,
};

[[nodiscard]] std::string_view Name(AttemptFault aFault) noexcept;

/// One attempt of a request at one server.
struct Attempt
{
  /// The response is non-null for `Answered` and for the fault `Refused`; it
  /// may be moved from.
  using Handler =
    std::function<void(AttemptResult, AttemptFault, ResponseMessage*)>;

  std::shared_ptr<const ServerRequest> request;
  /// Empty once the result is no longer needed.
  Handler handler;
  TimePoint queuedAt{};
  TimePoint sentAt{};
  /// True from the moment when bytes may have reached the server.
  bool sent = false;
  std::shared_ptr<ServerConnection> connection;
  /// `ServerConnection::Number` of the connection that it was sent on; 0
  /// before.
  std::uint64_t connectionNumber = 0;
  /// How long the connection had been idle when the request was sent.
  Duration idleTimeBeforeSend{};
  TimerQueue::Handle expiryTimer;
  /// This instance closes the connection itself.
  bool abandoned = false;
  /// True once the attempt is known as one without an answer.
  bool unanswered = false;
};

/// The values `connection` and `sent_ms` of log entries about an attempt: the
/// number of its connection and the time since it was sent. 0 if it was not
/// sent, or if it is null because it ended during the call that began it.
[[nodiscard]] std::int64_t ConnectionNumberOf(
  const std::shared_ptr<Attempt>& aAttempt) noexcept;
[[nodiscard]] double SentForMs(
  const std::shared_ptr<Attempt>& aAttempt) noexcept;

/// What is known of the run of a server that is no longer used.
enum class RemovedRun
{
  MayGoOn,
  HasEnded,
};

/// One backend server as seen by this instance: its connection pool, the queue
/// of attempts that wait for a connection, and recent latency and failures.
class BackendServer : public std::enable_shared_from_this<BackendServer>
{
public:
  BackendServer(Process& aProcess, ServerRecord aRecord);
  ~BackendServer();
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;

  [[nodiscard]] const ServerRecord& Record() const noexcept { return mRecord; }

  /// Applies a newer record of the same run of the server. Drops the queued
  /// attempts if the server now drains.
  void Update(ServerRecord aRecord, TimePoint aNow);

  /// Sets the number of connections that this instance may open; at least 1.
  void SetMaxConnections(std::size_t aMaxConnections) noexcept;

  /// True if the server can take requests: it is reachable, neither draining,
  /// leaving nor retired, not paused after a refusal or a 421, and the queue
  /// has room.
  [[nodiscard]] bool IsAvailable(TimePoint aNow) const noexcept;

  /// False from when no connection is open and none could be opened, until one
  /// is open again.
  [[nodiscard]] bool IsReachable() const noexcept;

  /// Records a sent attempt whose request ends without an answer.
  void OnUnanswered(Attempt& aAttempt, TimePoint aNow);

  /// Tells the runs of servers apart; a restarted server may have the same id.
  [[nodiscard]] std::uint32_t RunHash() const noexcept;

  /// Whether the server answers; it doesn't if it isn't reachable.
  [[nodiscard]] gateway::AnswerState AnswerState(TimePoint aNow) const noexcept;

  /// True if a request may be sent now: the server is available, and what it
  /// states in its answers allows one more.
  [[nodiscard]] bool IsUsable(TimePoint aNow) const;

  /// Time until what the server states in its answers allows a request of this
  /// instance; 0 if it allows one now.
  [[nodiscard]] Duration TimeUntilSend(TimePoint aNow) const;

  /// Requests per second that this instance may send by the limit that the
  /// server states; nothing if it states none.
  [[nodiscard]] std::optional<double> AllowedRate() const;

  /// Stops sending for this time: by its limit, the instance that gathers for
  /// this one may send the server nothing.
  void WithholdFor(Duration aTime, TimePoint aNow) noexcept;

  /// True if this instance's share of what a cold server may receive allows a
  /// request besides `aPending` others. Always true for a warm server.
  [[nodiscard]] bool HasColdAllowance(TimePoint aNow,
                                      std::size_t aPending) const;
  /// True while the server warms up after its start and gets limited traffic.
  [[nodiscard]] bool IsCold(TimePoint aNow) const noexcept;
  /// Time until the server counts as warm; 0 if it already does.
  [[nodiscard]] milliseconds RemainingColdTime(TimePoint aNow) const noexcept;

  /// Load, latency and failures as input for `ReplicaCost`.
  [[nodiscard]] ReplicaStats Stats(TimePoint aNow) const noexcept;

  /// Records that another instance has waited in vain for an answer of the
  /// server to a partial query of this one.
  void OnUnansweredPartial(const RequestProfile& aRequest,
                           Duration aWaited,
                           TimePoint aNow);

  /// Number of this instance's requests that wait for a connection.
  [[nodiscard]] std::size_t QueuedCount() const noexcept
  {
    return mQueue.size();
  }

  /// Number of this instance's requests in progress at the server.
  [[nodiscard]] std::size_t InFlightCount() const noexcept
  {
    return mInFlight.size();
  }

  /// Sends the request as soon as a connection is free. The handler is called
  /// at most once, possibly before the function returns.
  std::shared_ptr<Attempt> Send(std::shared_ptr<const ServerRequest> aRequest,
                                Attempt::Handler aHandler);

  /// Clears the handler of an attempt whose result is no longer needed. An
  /// unsent attempt is dropped. A sent one may finish until `aUntil`, so that
  /// its connection stays reusable; after that the connection is closed.
  void Detach(const std::shared_ptr<Attempt>& aAttempt, TimePoint aUntil);

  /// Ends all attempts that wait for a connection as `NotRun`.
  void DropQueued();

  /// Opens a connection before the first request, unless there is one already
  /// or the server takes no requests. Returns true if it does.
  bool Preconnect();

  /// Stops using the server: queued attempts end as `NotRun` and idle
  /// connections close. Requests in progress continue. If the run has ended,
  /// this counts against the contents whose requests were cut before.
  void Retire(RemovedRun aRun);

private:
  /// Sends queued attempts on idle connections and opens more as needed.
  void ProcessQueue();
  /// True if the limits of the server allow one more request now.
  [[nodiscard]] bool MaySendNow(TimePoint aNow) const;
  /// This instance's share of the limit that the server states.
  [[nodiscard]] double RateShare() const;
  void Dispatch(const std::shared_ptr<Attempt>& aAttempt,
                const std::shared_ptr<ServerConnection>& aConnection);
  void OpenConnection();
  void OnConnectFailed(TimePoint aBegunAt);
  /// True if a connection is open or being opened.
  [[nodiscard]] bool HasConnection() const noexcept;
  /// True if the limit and earlier failures permit one more connection.
  [[nodiscard]] bool MayOpenConnection(TimePoint aNow) const noexcept;
  /// After connections broke off, opens one unless there is one: it shows
  /// whether the server has ended.
  void ProbeAfterCut();
  /// Decides whether a connection that failed shows that the server has ended:
  /// it does if links to other servers worked shortly before and after it.
  /// Tries again once links work.
  void OnRefusedAfterCut(TimePoint aBegunAt);
  /// Tries to connect now that links of this instance work; a refusal shows
  /// that the server has ended.
  static void ProbeWithLinks(const std::weak_ptr<BackendServer>& aServer);
  /// Records that the server has answered an attempt.
  void OnAnswer(const Attempt& aAttempt, TimePoint aNow);
  /// Records an answer that proves that this run of the server goes on.
  void OnProvenRun(const Attempt& aAttempt,
                   const ServerConnection& aConnection,
                   TimePoint aNow);
  /// Records that the server has left an attempt without an answer, because the
  /// connection broke off or for too long.
  void AddCutRun(const Attempt& aAttempt, bool aBrokeOff, TimePoint aNow);
  /// Records that the server has ended and which contents it was running.
  void OnEnded(TimePoint aNow);
  void OnSendFinished(const std::shared_ptr<Attempt>& aAttempt,
                      SendResult aResult,
                      ResponseMessage* aResponse);
  /// True if the response states that it answers the attempt's request.
  [[nodiscard]] bool IsOfRequest(const ResponseMessage& aResponse,
                                 const Attempt& aAttempt) const;
  /// Called when a connection failed that had been idle for `aIdleTime`: the
  /// server likely dropped its state. Stops reuse of connections with a similar
  /// idle time for a while.
  void LimitReusableIdleTime(Duration aIdleTime, TimePoint aNow);
  /// Applies what an answer announces, also one that isn't the final answer or
  /// that nobody waits for.
  void ApplyAnnouncements(const ResponseMessage& aResponse,
                          std::string_view aRequestId,
                          TimePoint aSentAt,
                          TimePoint aNow);
  /// `aText` is the value as it came, `aTime` its meaning if it has one.
  void LogAnnouncement(std::string_view aKind,
                       std::string_view aRequestId,
                       std::optional<Duration> aTime,
                       std::string_view aText);
  /// Does nothing if there is no `aSince`, the time of the announcement.
  void LogAnnouncementEnd(std::string_view aKind,
                          std::optional<TimePoint> aSince,
                          TimePoint aNow);
  /// Applies the rate that the server states in an answer, or that it states
  /// none.
  void ApplyStatedRate(const ResponseMessage& aResponse,
                       TimePoint aSentAt,
                       TimePoint aNow);
  /// Logs the limit and the own sends when it begins or ends, and at intervals.
  void LogRateLimit(std::optional<double> aFormer, TimePoint aNow);
  void OnExpired(const std::shared_ptr<Attempt>& aAttempt);
  void Finish(const std::shared_ptr<Attempt>& aAttempt,
              AttemptResult aResult,
              AttemptFault aFault,
              ResponseMessage* aResponse);
  void FailQueued(AttemptFault aFault);
  void AddLatencySample(const RequestProfile& aRequest,
                        Duration aLatency,
                        TimePoint aNow);
  void AddOutcomeSample(bool aFailed, TimePoint aNow) noexcept;
  /// Makes `aNow` the time of the last sample: the moving averages take the
  /// values to which they have decayed.
  void DecayStats(TimePoint aNow) noexcept;
  void MarkUnreachable(std::string_view aReason);
  /// Also counts the servers that can't be reached.
  void SetReachable(bool aReachable);
  void ScheduleReconnect();
  /// Takes an idle connection that may carry the request: one that hasn't
  /// carried it before. Null if there is none. Closes those that must not carry
  /// any.
  [[nodiscard]] std::shared_ptr<ServerConnection> TakeIdleConnection(
    const ServerRequest& aRequest,
    TimePoint aNow);
  /// True if the connection may carry further requests.
  [[nodiscard]] bool IsReusable(const ServerConnection& aConnection,
                                TimePoint aNow) const;
  /// Why an attempt that still waits must not be sent any more; `None` if it
  /// may be.
  [[nodiscard]] AttemptFault FaultBeforeSend(const Attempt& aAttempt,
                                             TimePoint aNow) const;
  /// Ends the attempts that wait and that none of the open connections may
  /// carry.
  void FailUncarriedQueued();
  /// Opens connections for the attempts that wait. At the limit, idle ones make
  /// room: they have carried the requests that wait.
  void OpenConnectionsForQueue(TimePoint aNow);

  Process& mProcess;
  ServerRecord mRecord;
  TimePoint mColdUntil{};
  ColdAllowance mAllowance;
  RateLimit mRateLimit;
  TimePoint mRateLimitLoggedAt{};
  TimePoint mWithheldUntil{};
  ServerAnnouncements mAnnouncements;
  std::size_t mMaxConnections = 1;
  std::deque<std::shared_ptr<Attempt>> mQueue;
  std::vector<std::shared_ptr<ServerConnection>> mIdleConnections;
  std::vector<std::shared_ptr<Attempt>> mInFlight;
  std::size_t mConnectingCount = 0;
  CutRuns mCutRuns;
  AnswerRecord mAnswers{ AnswerRecord::Options{} };
  bool mRetired = false;
  bool mReachable = true;
  TimePoint mUnreachableSince{};
  TimePoint mMisdirectedUntil{};
  TimePoint mRefusingUntil{};
  /// Until `mMaxReusableIdleUntil`, only connections idle for less than this
  /// are reused.
  Duration mMaxReusableIdle = Duration::max();
  TimePoint mMaxReusableIdleUntil{};
  Duration mReconnectDelay{};
  /// After a connection failed beside open ones, no other is opened before.
  TimePoint mNextConnectAt{};
  double mRelativeLatency = 1;
  double mFailureRate = 0;
  TimePoint mLastSampleAt{};
};

} // namespace bronzedeal::gateway
