#pragma once

#include "bronzedeal/error.hpp"
#include "bronzedeal/types.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::version {

/// The JSON pointer of a member: `aParent` and the escaped key.
[[nodiscard]] std::string Pointer(std::string_view aParent,
                                  std::string_view aKey);

/// The value as JSON, shortened to 80 characters.
[[nodiscard]] std::string Shown(const boost::json::value& aValue);

/// Reports each key that occurs twice in one object of the JSON text, which
/// Boost.JSON accepts silently. `aText` must be valid JSON.
void FindDuplicateKeys(std::string_view aText,
                       std::vector<FieldError>& aErrors);

/// Reads the fields of one JSON object and collects every error. `Finish`
/// reports the fields that were not read.
class ObjectReader
{
public:
  /// A value that is no object is reported; all fields then read as absent
  /// without further errors.
  ObjectReader(const boost::json::value& aValue,
               std::string aPointer,
               std::vector<FieldError>& aErrors);

  /// The field, or `nullptr` when it is absent; a required one is then
  /// reported.
  const boost::json::value* Take(std::string_view aKey,
                                 bool aRequired,
                                 std::string_view aAllowed);

  /// The field as an object, with the same rules.
  const boost::json::object* TakeObject(std::string_view aKey, bool aRequired);

  /// A string of at most `aMaxSize` bytes.
  std::string TakeText(std::string_view aKey,
                       bool aRequired,
                       std::size_t aMaxSize);

  /// A name as in `IsName`.
  std::string TakeName(std::string_view aKey);

  template<typename T>
  void TakeInteger(std::string_view aKey,
                   T& aValue,
                   std::uint64_t aMin,
                   std::uint64_t aMax,
                   bool aRequired = false)
  {
    auto value = static_cast<std::uint64_t>(aValue);
    if (ReadInteger(aKey, value, aMin, aMax, aRequired)) {
      aValue = static_cast<T>(value);
    }
  }

  void TakeMilliseconds(std::string_view aKey,
                        milliseconds& aValue,
                        std::uint64_t aMin,
                        std::uint64_t aMax);

  Labels TakeLabels(std::string_view aKey, bool aRequired = false);

  void Finish();

  void Fail(std::string_view aKey,
            std::string aSeen,
            std::string_view aAllowed);
  [[nodiscard]] std::string PointerTo(std::string_view aKey) const;

private:
  bool ReadInteger(std::string_view aKey,
                   std::uint64_t& aValue,
                   std::uint64_t aMin,
                   std::uint64_t aMax,
                   bool aRequired);

  const boost::json::object* mObject;
  std::string mPointer;
  std::vector<FieldError>& mErrors;
  std::vector<std::string_view> mKnown;
};

/// True for 1 to 63 letters, digits, `-`, `_` and `.` with an alphanumeric
/// begin and end. Such ids are also valid label values.
[[nodiscard]] bool IsName(std::string_view aText) noexcept;

inline constexpr std::string_view kNameAllowed =
  "1 to 63 letters, digits, `-`, `_`, `.`; alphanumeric at both ends";

} // namespace bronzedeal::version
