#pragma once

#include "bronzedeal/error.hpp"

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal {

/// Reads the members of one JSON object and collects every error in one pass.
/// Members that no call has read are reported by `Finish`.
class JsonFields
{
public:
  /// Reports an error and reads nothing when `aValue` is not an object.
  JsonFields(const boost::json::value& aValue,
             std::string aPointer,
             std::vector<FieldError>& aErrors);

  [[nodiscard]] std::string String(std::string_view aKey);
  [[nodiscard]] std::string String(std::string_view aKey,
                                   std::string_view aDefault);
  [[nodiscard]] bool Bool(std::string_view aKey, bool aDefault);
  [[nodiscard]] std::int64_t Integer(std::string_view aKey,
                                     std::int64_t aDefault,
                                     std::int64_t aLowest,
                                     std::int64_t aHighest);
  [[nodiscard]] double Number(std::string_view aKey,
                              double aDefault,
                              double aLowest,
                              double aHighest);
  /// The member, or `nullptr` when it is absent.
  [[nodiscard]] const boost::json::value* Optional(std::string_view aKey);

  /// The pointer of a member, with `~` and `/` escaped.
  [[nodiscard]] std::string PointerOf(std::string_view aKey) const;
  void Report(std::string_view aKey, std::string_view aAllowed);
  /// Reports each member that was not read as unknown.
  void Finish();

private:
  const boost::json::object* mObject = nullptr;
  std::string mPointer;
  std::vector<FieldError>& mErrors;
  std::vector<std::string> mRead;
};

/// A short rendering of a value for error messages, at most 80 characters.
[[nodiscard]] std::string Shorten(const boost::json::value& aValue);

} // namespace bronzedeal
