#pragma once

#include <boost/beast/http/fields.hpp>

namespace bronzedeal {

/// True if the length of the body follows from the headers alone: there is no
/// transfer coding, or just `chunked`. Beast takes a message with another
/// coding for one without a body or without an end, and would read what follows
/// as the next message.
[[nodiscard]] bool HasKnownFraming(const boost::beast::http::fields& aHeaders);

/// False for a status that no response has (RFC 9110, 15). Beast accepts any
/// three digits.
[[nodiscard]] constexpr bool IsResponseStatus(unsigned aStatus) noexcept
{
  constexpr unsigned kMinStatus = 100;
  constexpr unsigned kMaxStatus = 599;
  return aStatus >= kMinStatus && aStatus <= kMaxStatus;
}

} // namespace bronzedeal
