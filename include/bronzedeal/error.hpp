#pragma once

#include "bronzedeal/result_code.hpp"

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace bronzedeal {

/// One finding about a field of a JSON document.
struct FieldError
{
  /// JSON pointer (RFC 6901) of the field, such as `/services/svc-00`.
  std::string pointer;
  /// The value seen, shortened to 80 characters.
  std::string seen;
  /// What is allowed there.
  std::string allowed;
};

/// The error object that travels through `boost::leaf::result`.
struct Error
{
  ResultCode code = ResultCode::Internal;
  std::string message;
  std::vector<FieldError> fields;
};

template<typename T>
using Result = boost::leaf::result<T>;

} // namespace bronzedeal
