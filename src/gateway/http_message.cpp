#include "bronzedeal/gateway/http_message.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <fmt/format.h>

namespace bronzedeal::gateway {

namespace http = boost::beast::http;
using boost::beast::iequals;

namespace {

/// Hop-by-hop headers (RFC 9110, 7.6.1), and Content-Length, which is written
/// anew.
constexpr std::array<std::string_view, 9> kConnectionHeaders{
  "connection", "keep-alive", "proxy-connection", "transfer-encoding",
  "te",         "trailer",    "upgrade",          "content-length",
  "expect",
};

bool IsConnectionHeader(boost::beast::string_view aName)
{
  return std::any_of(kConnectionHeaders.begin(),
                     kConnectionHeaders.end(),
                     [&](auto aIt) { return iequals(aName, aIt); });
}

/// Appends all header lines except hop-by-hop headers, those that Connection
/// lists, and `aExcluded`.
template<typename Fields>
void AppendForwarded(const Fields& aFields,
                     std::initializer_list<std::string_view> aExcluded,
                     std::string& aOut)
{
  http::token_list listedInConnection(aFields[http::field::connection]);
  for (const auto& it : aFields) {
    const auto name = it.name_string();
    const bool skip =
      IsConnectionHeader(name) || listedInConnection.exists(name) ||
      std::any_of(aExcluded.begin(), aExcluded.end(), [&](auto aName) {
        return iequals(name, aName);
      });
    if (!skip) {
      aOut.append(name).append(": ").append(it.value()).append("\r\n");
    }
  }
}

} // namespace

CallerReply TextReply(unsigned aStatus, std::string_view aReason)
{
  CallerReply reply;
  reply.status = aStatus;
  reply.reason =
    std::string(http::obsolete_reason(http::int_to_status(aStatus)));
  reply.headers = "Content-Type: text/plain\r\n";
  reply.body = fmt::format("{}\n", aReason);
  return reply;
}

void StateRequestId(CallerReply& aReply,
                    std::string_view aHeaderName,
                    std::string_view aRequestId)
{
  const auto field = fmt::format("{}: {}\r\n", aHeaderName, aRequestId);
  if (!boost::algorithm::icontains(aReply.headers, field)) {
    aReply.headers += field;
  }
}

CallerReply RefusedReply(std::string_view aReason, Duration aRetryAfter)
{
  auto reply = TextReply(503, aReason);
  reply.headers +=
    fmt::format("Retry-After: {:.3f}\r\n",
                std::chrono::duration<double>(aRetryAfter).count());
  return reply;
}

CallerReply ForwardedReply(const ResponseMessage& aResponse)
{
  CallerReply reply;
  reply.status = aResponse.result_int();
  reply.reason = std::string(aResponse.reason());
  AppendForwarded(aResponse.base(), {}, reply.headers);
  reply.body = aResponse.body();
  return reply;
}

std::string ForwardedHeaders(const RequestMessage& aRequest,
                             const HeaderNames& aNames)
{
  std::string out;
  AppendForwarded(
    aRequest.base(), { aNames.timeLeft, aNames.expectedServer }, out);
  return out;
}

std::string Serialize(const CallerReply& aReply,
                      bool aCloseConnection,
                      bool aIsHeadRequest)
{
  auto out = fmt::format(
    "HTTP/1.1 {} {}\r\n{}", aReply.status, aReply.reason, aReply.headers);
  // 1xx, 204 and 304 have no body and no length (RFC 9110, 6.4.1).
  const bool hasNoBody = aReply.status == 204 || aReply.status == 304;
  if (!hasNoBody) {
    out += fmt::format("Content-Length: {}\r\n", aReply.body.size());
  }
  out += aCloseConnection ? "Connection: close\r\n\r\n" : "\r\n";
  if (!aIsHeadRequest && !hasNoBody) {
    out += aReply.body;
  }
  return out;
}

bool ProvesRun(const ResponseMessage& aResponse, const HeaderNames& aNames)
{
  const auto status = aResponse.result_int();
  if (status >= 500 || status == 408 || status == 421 || status == 429) {
    return false;
  }
  const auto missing = aResponse[aNames.missingShards];
  return !aResponse[aNames.signature].empty() ||
         (!aResponse[aNames.partSignatures].empty() &&
          (missing.empty() || missing == "0"));
}

} // namespace bronzedeal::gateway
