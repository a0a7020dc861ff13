#include "bronzedeal/gateway/http_listener.hpp"

#include "http_connection.hpp"

#include "bronzedeal/gateway/error_boundary.hpp"

namespace bronzedeal::gateway {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;
using tcp = asio::ip::tcp;

namespace {

/// Delay before the next accept after a failed one.
constexpr auto kAcceptRetryDelay = milliseconds(20);

} // namespace

void HttpListener::Impl::Accept()
{
  acceptor.async_accept([self = shared_from_this()](const error_code& aError,
                                                    tcp::socket aSocket) {
    if (!aError && !self->acceptor.is_open()) {
      // It was accepted right before the listening socket was closed.
      self->OnAccepted(std::move(aSocket));
      return;
    }
    if (aError == asio::error::operation_aborted || !self->acceptor.is_open()) {
      return;
    }
    if (aError) {
      self->process.log.Write("accept_failed",
                              { { "reason", aError.message() } });
      self->process.timers.Schedule(steady_clock::now() + kAcceptRetryDelay,
                                    [self] { self->Accept(); });
      return;
    }
    RunWithRecovery([&] { self->OnAccepted(std::move(aSocket)); },
                    [&] { self->Accept(); });
    self->Accept();
  });
}

void HttpListener::Impl::AcceptArrived()
{
  error_code ec;
  acceptor.non_blocking(true, ec);
  while (!ec) {
    tcp::socket socket(process.context);
    acceptor.accept(socket, ec);
    if (!ec) {
      OnAccepted(std::move(socket));
    }
  }
}

void HttpListener::Impl::OnAccepted(tcp::socket aSocket)
{
  // While all connections have requests in progress, the socket is closed at
  // once, so that the caller tries another instance.
  if (connections.size() >= maxConnections && !CloseLongestWaiting()) {
    return;
  }
  auto connection =
    std::make_shared<Connection>(shared_from_this(), std::move(aSocket));
  connections.insert(connection);
  connection->Start();
}

bool HttpListener::Impl::CloseLongestWaiting()
{
  const auto& list = awaitingRequest.empty() ? awaitingReader : awaitingRequest;
  if (list.empty()) {
    return false;
  }
  process.metrics.Add(process::Counter::ConnectionsShed);
  list.front()->Close();
  return true;
}

HttpListener::HttpListener(Process& aProcess,
                           const tcp::endpoint& aAddress,
                           RequestHandler aHandler,
                           ListenerRole aRole)
  : mImpl(
      std::make_shared<Impl>(aProcess,
                             std::move(aHandler),
                             LimitsFor(aRole,
                                       aProcess.settings.memoryBytes,
                                       aProcess.settings.maxFileDescriptors)))
{
  mImpl->acceptor.open(aAddress.protocol());
  mImpl->acceptor.set_option(tcp::acceptor::reuse_address(true));
  mImpl->acceptor.bind(aAddress);
  mImpl->acceptor.listen();
  mImpl->Accept();
}

HttpListener::~HttpListener()
{
  error_code ec;
  mImpl->acceptor.close(ec); // Fails only if it is already closed.
}

tcp::endpoint HttpListener::Address() const
{
  return mImpl->acceptor.local_endpoint();
}

void HttpListener::SetLimits(const CallerLimits& aLimits)
{
  mImpl->limits = aLimits;
}

void HttpListener::BeginDrain()
{
  mImpl->draining = true;
}

void HttpListener::StopAccepting()
{
  if (!mImpl->acceptor.is_open()) {
    return;
  }
  mImpl->AcceptArrived();
  error_code ec;
  mImpl->acceptor.close(ec); // Nothing could be done about a failure.
}

void HttpListener::CloseIdleConnections()
{
  const auto connections = mImpl->connections;
  for (const auto& it : connections) {
    it->Isolate([&] { it->CloseIfIdle(); });
  }
}

void HttpListener::ConcludeRequests()
{
  const auto connections = mImpl->connections;
  for (const auto& it : connections) {
    it->Isolate([&] { it->Conclude(); });
  }
}

std::size_t HttpListener::BusyConnectionCount() const noexcept
{
  return mImpl->busyConnections;
}

std::size_t HttpListener::CountRequests()
{
  std::size_t count = 0;
  const auto connections = mImpl->connections;
  for (const auto& it : connections) {
    it->Isolate([&] { it->ReadArrived(); });
    count += it->HasRequest() ? 1 : 0;
  }
  return count;
}

std::size_t HttpListener::ConnectionCount() const noexcept
{
  return mImpl->connections.size();
}

} // namespace bronzedeal::gateway
