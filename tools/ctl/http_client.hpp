#pragma once

#include "bronzedeal/types.hpp"

#include <string>
#include <vector>

namespace bronzedeal::ctl {

struct HttpCall
{
  /// `HOST:PORT`; an IPv6 address is in brackets.
  std::string address;
  /// Empty for GET, else the JSON body of a POST.
  std::string body;
  std::string target;
};

struct HttpAnswer
{
  unsigned status = 0;
  std::string body;
  /// Why there is no answer; empty when there is one.
  std::string failure;
};

/// Makes all calls at once, at most 64 at a time, and waits for them. Each
/// takes at most `aTimeout`, the resolution of host names excepted. The answers
/// are in the order of the calls.
[[nodiscard]] std::vector<HttpAnswer> CallAll(
  const std::vector<HttpCall>& aCalls,
  milliseconds aTimeout);

} // namespace bronzedeal::ctl
