#pragma once

#include "bronzedeal/error.hpp"
#include "bronzedeal/types.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal {

/// The JSON pointer of a member: `aParent` and the escaped key.
[[nodiscard]] std::string JsonPointer(std::string_view aParent,
                                      std::string_view aKey);

/// The value as JSON, shortened to 80 characters.
[[nodiscard]] std::string ToShortJson(const boost::json::value& aValue);

/// Reads the fields of one JSON object and collects every error in one pass.
/// `ReportUnknownFields` reports the fields that were not read.
///
///     JsonFields fields(value, "/limits", errors);
///     fields.ReadInteger("slots", limits.slots, 1, 1024);
///     fields.ReportUnknownFields();
class JsonFields
{
public:
  /// A value that is no object is reported; all fields then read as absent
  /// without further errors.
  JsonFields(const boost::json::value& aValue,
             std::string aPointer,
             std::vector<FieldError>& aErrors);

  /// The field, or `nullptr` when it is absent; a required one is then
  /// reported.
  const boost::json::value* Read(std::string_view aKey,
                                 bool aRequired = false,
                                 std::string_view aAllowed = {});

  /// The field as an object, with the same rules.
  const boost::json::object* ReadObject(std::string_view aKey, bool aRequired);

  /// A string of at most `aMaxSize` bytes.
  std::string ReadString(std::string_view aKey,
                         bool aRequired,
                         std::size_t aMaxSize);

  /// A required string that is not empty.
  std::string ReadNonEmptyString(std::string_view aKey);

  // An absent or invalid field leaves the value as it is.

  template<typename T>
  void ReadInteger(std::string_view aKey,
                   T& aValue,
                   std::uint64_t aMin,
                   std::uint64_t aMax,
                   bool aRequired = false)
  {
    auto value = static_cast<std::uint64_t>(aValue);
    if (ReadUint64(aKey, value, aMin, aMax, aRequired)) {
      aValue = static_cast<T>(value);
    }
  }

  void ReadMilliseconds(std::string_view aKey,
                        milliseconds& aValue,
                        std::uint64_t aMin,
                        std::uint64_t aMax);
  void ReadNumber(std::string_view aKey,
                  double& aValue,
                  double aMin,
                  double aMax);
  void ReadBool(std::string_view aKey, bool& aValue);

  void ReportUnknownFields();

  void AddError(std::string_view aKey,
                std::string aSeen,
                std::string_view aAllowed);
  /// The same for the field as it is in the object.
  void AddError(std::string_view aKey, std::string_view aAllowed);
  [[nodiscard]] std::string PointerTo(std::string_view aKey) const;
  /// Where errors go that concern no field of this object.
  [[nodiscard]] std::vector<FieldError>& Errors() noexcept { return mErrors; }

private:
  bool ReadUint64(std::string_view aKey,
                  std::uint64_t& aValue,
                  std::uint64_t aMin,
                  std::uint64_t aMax,
                  bool aRequired);

  const boost::json::object* mObject;
  std::string mPointer;
  std::vector<FieldError>& mErrors;
  std::vector<std::string_view> mReadKeys;
};

} // namespace bronzedeal
