#include "bronzedeal/http_framing.hpp"

#include <boost/beast/core/string.hpp>
#include <iterator>

namespace bronzedeal {

namespace http = boost::beast::http;

bool HasKnownFraming(const http::fields& aHeaders)
{
  const auto [first, last] =
    aHeaders.equal_range(http::field::transfer_encoding);
  return first == last || (std::next(first) == last &&
                           boost::beast::iequals(first->value(), "chunked"));
}

} // namespace bronzedeal
