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

/// A caller's request, read whole.
struct CallerRequest
{
  RequestMessage message;
  std::string requestId;
  /// When the first byte was read.
  TimePoint receivedAt{};
  /// Until when the caller waits, where it said so.
  std::optional<TimePoint> callerDeadline;
};

/// Answer to a caller. `headers` holds whole lines with their ends.
struct CallerReply
{
  unsigned status = 200;
  std::string reason = "OK";
  std::string headers;
  std::string body;
};

/// A short answer of the gateway's own, with a reason in the body.
[[nodiscard]] CallerReply TextReply(unsigned aStatus, std::string_view aReason);

/// A refusal: the request has not run. The caller may come back after
/// `aRetryAfter`.
[[nodiscard]] CallerReply RefusedReply(std::string_view aReason,
                                       Duration aRetryAfter);

/// The server's answer, unchanged but for the headers of its connection.
[[nodiscard]] CallerReply ForwardedReply(const ResponseMessage& aResponse);

/// Header lines to forward: all but those of one connection, `aTimeLeft` and
/// `aExpectedServer`, which the gateway sets for each send.
[[nodiscard]] std::string ForwardedHeaders(const RequestMessage& aRequest,
                                           const HeaderNames& aNames);

/// The bytes of an answer.
[[nodiscard]] std::string Serialize(const CallerReply& aReply,
                                    bool aCloseConnection,
                                    bool aIsHeadRequest);

} // namespace bronzedeal::gateway
