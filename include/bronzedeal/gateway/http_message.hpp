#pragma once

#include "bronzedeal/gateway/header_names.hpp"
#include "bronzedeal/types.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

namespace bronzedeal::gateway {

using RequestMessage =
  boost::beast::http::request<boost::beast::http::string_body>;
using ResponseMessage =
  boost::beast::http::response<boost::beast::http::string_body>;

/// A complete request of a caller.
struct CallerRequest
{
  RequestMessage message;
  std::string requestId;
  /// Time when the first bytes were read.
  TimePoint receivedAt{};
  /// Upper estimate of what the caller's own measurement adds to the time
  /// between `receivedAt` and the reply: the network in both directions, the
  /// connect in the case of the first request on a connection, and the lookup
  /// of addresses that the caller may have made before.
  Duration networkDelay{};
  /// Time until which the caller waits, if the request states it.
  std::optional<TimePoint> callerDeadline;
};

/// Reply to a caller. `headers` holds complete lines, each with its line end.
struct CallerReply
{
  unsigned status = 200;
  std::string reason = "OK";
  std::string headers;
  std::string body;
};

/// Creates a plain text reply of the gateway itself, with the reason as body.
[[nodiscard]] CallerReply TextReply(unsigned aStatus, std::string_view aReason);

/// Adds a header field with the id of the request, unless the reply has it.
void StateRequestId(CallerReply& aReply,
                    std::string_view aHeaderName,
                    std::string_view aRequestId);

/// Creates a 503 reply with Retry-After. It promises that the request has not
/// run.
[[nodiscard]] CallerReply RefusedReply(std::string_view aReason,
                                       Duration aRetryAfter);

/// Creates a reply with the server's status, body and headers, except the
/// hop-by-hop headers.
[[nodiscard]] CallerReply ForwardedReply(const ResponseMessage& aResponse);

/// Returns the header lines to forward to a server: all except hop-by-hop
/// headers and `timeLeft` and `expectedServer`, which are set for each send.
[[nodiscard]] std::string ForwardedHeaders(const RequestMessage& aRequest,
                                           const HeaderNames& aNames);

/// Returns the bytes of the HTTP response. Leaves out the body in reply to a
/// HEAD request.
[[nodiscard]] std::string Serialize(const CallerReply& aReply,
                                    bool aCloseConnection,
                                    bool aIsHeadRequest);

/// True if a response proves that a server, or for a query one server of each
/// shard, has run the request. Errors don't: a server may fail requests that it
/// hasn't begun to run.
[[nodiscard]] bool ProvesRun(const ResponseMessage& aResponse,
                             const HeaderNames& aNames);

} // namespace bronzedeal::gateway
