#pragma once

#include "bronzedeal/error.hpp"
#include "bronzedeal/version/document.hpp"

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

namespace bronzedeal::version {

/// RFC 7386, section 2.
[[nodiscard]] boost::json::value ApplyMergePatch(
  boost::json::value aTarget,
  const boost::json::value& aPatch);

/// The smallest patch that turns `aFrom` into `aTo`, which must not contain
/// `null` in objects: a merge patch can't express it.
[[nodiscard]] boost::json::value MakeMergePatch(const boost::json::value& aFrom,
                                                const boost::json::value& aTo);

/// The patch from one document to another as JSON text.
[[nodiscard]] std::string MakeMergePatch(const Document& aFrom,
                                         const Document& aTo);

/// Applies a patch and validates the result. Fails with `InvalidJson` or
/// `InvalidConfiguration`.
[[nodiscard]] Result<Document> ApplyMergePatch(const Document& aFrom,
                                               std::string_view aPatch);

} // namespace bronzedeal::version
