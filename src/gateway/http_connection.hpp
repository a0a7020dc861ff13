#pragma once

#include "bronzedeal/gateway/http_listener.hpp"

#include "bronzedeal/gateway/process.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bronzedeal::gateway {

struct HttpListener::Impl : std::enable_shared_from_this<Impl>
{
  Impl(Process& aProcess,
       RequestHandler aHandler,
       const ListenerLimits& aListenerLimits)
    : process(aProcess)
    , acceptor(aProcess.context)
    , handler(std::move(aHandler))
    , memory(aListenerLimits.memory)
    , maxConnections(aListenerLimits.maxConnections)
  {
  }

  void Accept();
  /// Accepts the connections that wait in the kernel.
  void AcceptArrived();
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);
  /// Closes the connection whose client has kept it waiting for longest; false
  /// if there is none.
  bool CloseLongestWaiting();

  Process& process;
  boost::asio::ip::tcp::acceptor acceptor;
  RequestHandler handler;
  MemoryBudget memory;
  std::size_t maxConnections;
  CallerLimits limits;
  std::set<std::shared_ptr<Connection>> connections;
  /// Connections without a whole request, and those with a reply that the
  /// client has not taken, by when they began to wait.
  std::list<Connection*> awaitingRequest;
  std::list<Connection*> awaitingReader;
  std::size_t busyConnections = 0;
  bool draining = false;
};

/// One accepted connection.
class HttpListener::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(std::shared_ptr<Impl> aListener,
             boost::asio::ip::tcp::socket aSocket);

  void Start();

  /// Answers the request in progress and those that have arrived behind it.
  void Conclude();

  void CloseIfIdle();

  /// Begins the request that has arrived, if none is in progress.
  void ReadArrived();

  /// Runs `aAction`. An error ends this connection only.
  template<typename Action>
  void Isolate(Action&& aAction)
  {
    try {
      std::forward<Action>(aAction)();
    } catch (const std::exception& e) {
      OnInternalError(e);
    }
  }

  /// True if a request is in progress or has arrived in part.
  [[nodiscard]] bool HasRequest() const noexcept { return mRequestStarted; }

  void Close();

private:
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  void OnInternalError(const std::exception& aError);
  /// Waits for the next request. Its limits are those in force when it begins.
  void BeginRequest();
  void ResetParser();
  void RestartTimer(milliseconds aWait);
  void RestartTimer(TimePoint aWhen);
  void OnTimeout();
  void WaitReadable();
  /// True if bytes of a further request were read together with the last one.
  [[nodiscard]] bool HasNextRequest() const noexcept
  {
    return !mRequestStarted && !mReadBuffer.empty();
  }
  /// Reads what has arrived; returns whether there was anything.
  bool Read();
  /// Reads what has arrived; true if the connection no longer waits for its
  /// client as before, because a request has begun or become whole or the
  /// connection has been closed.
  bool ReadAwaitedRequest();
  void OnReadable();
  void OnCallerDisconnected();
  void Parse();
  void Dispatch();
  void OnReply(const CallerReply& aReply);
  /// Counts the bytes that the connection holds; false if they are too many.
  [[nodiscard]] bool UpdateCharge();
  void RejectUnreadable(unsigned aStatus);
  /// Frees what the connection holds of the request, once it has ended or will
  /// not be run.
  void ForgetRequest();
  /// Refuses a request for which the memory of the port has no room.
  void Shed();
  /// Replies to a request that was not read whole, then closes the connection.
  void Reject(const CallerReply& aReply);
  void Write(std::size_t aFrom);
  void OnWritten();
  void EndRequest();
  /// Moves to the end of a list of connections that wait for their clients.
  void EnterWaitList(std::list<Connection*>& aList);
  void LeaveWaitList();
  [[nodiscard]] bool IsAwaitingReader() const noexcept
  {
    return mWaitList == &mListener->awaitingReader;
  }

  std::shared_ptr<Impl> mListener;
  boost::asio::ip::tcp::socket mSocket;
  std::optional<Parser> mParser;
  std::shared_ptr<Exchange> mExchange;
  MemoryBudget::Charge mCharge;
  /// The list that holds this connection, or null.
  std::list<Connection*>* mWaitList = nullptr;
  std::list<Connection*>::iterator mWaitPosition;
  TimerQueue::Handle mTimer;
  /// Limit of the bytes that the parser can't take yet.
  std::size_t mMaxUnparsedBytes = 0;
  /// Memory of the request that is being read or in progress, and of its
  /// fields.
  std::size_t mRequestBytes = 0;
  std::size_t mFieldBytes = 0;
  /// Bytes of the reply while the caller has not taken it.
  std::size_t mReplyBytes = 0;
  std::string mReadBuffer;
  std::string mWriteBuffer;
  TimePoint mReceivedAt{};
  /// Time until which the caller may take its reply.
  TimePoint mReplyDeadline{};
  TimePoint mIdleSince{};
  bool mIsHeaderCounted = false;
  bool mIsOpen = true;
  bool mIsWaitingReadable = false;
  bool mIsFirstRequest = true;
  bool mRequestStarted = false;
  bool mRequestInProgress = false;
  bool mReplyStarted = false;
  bool mCloseAfterReply = false;
  bool mIsHeadRequest = false;
};

} // namespace bronzedeal::gateway
