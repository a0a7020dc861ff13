#pragma once

#include "bronzedeal/result_code.hpp"

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace bronzedeal {

/// An invalid field of a JSON document.
struct FieldError
{
  /// JSON pointer (RFC 6901) of the field, such as `/services/svc-00`.
  std::string pointer;
  /// The value of the field, cut to 80 bytes; `(absent)` when it has none.
  std::string seen;
  /// Description of the allowed values.
  std::string allowed;
};

/// The error object of `Result`, loaded into `boost::leaf`.
struct Error
{
  ResultCode code = ResultCode::Internal;
  std::string message;
  std::vector<FieldError> fields;
};

template<typename T>
using Result = boost::leaf::result<T>;

} // namespace bronzedeal
