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

/// The JSON pointer (RFC 6901) of a member: `aParent` followed by the escaped
/// key.
[[nodiscard]] std::string JsonPointer(std::string_view aParent,
                                      std::string_view aKey);

/// The value as JSON text, cut to 80 bytes.
[[nodiscard]] std::string ToShortJson(const boost::json::value& aValue);

/// Reads the fields of one JSON object and collects all errors in one pass. An
/// absent or invalid field leaves the output argument as it is.
///
///     JsonFields fields(value, "/limits", errors);
///     fields.ReadInteger("slots", limits.slots, 1, 1024);
///     fields.ReportUnknownFields();
class JsonFields
{
public:
  /// Reports a value that is not an object; all its fields are then absent and
  /// cause no further errors. `aPointer` is the JSON pointer of the value. The
  /// value and `aErrors` must outlive this object.
  JsonFields(const boost::json::value& aValue,
             std::string aPointer,
             std::vector<FieldError>& aErrors);

  /// The field, or null when it is absent, which is an error for a required
  /// field. `aAllowed` is the error's description of allowed values. The key
  /// must outlive this object.
  const boost::json::value* Read(std::string_view aKey,
                                 bool aRequired = false,
                                 std::string_view aAllowed = {});

  /// The field as an object, or null when it is absent or not an object. Errors
  /// are reported as by `Read`; a value that is not an object is an error.
  const boost::json::object* ReadObject(std::string_view aKey, bool aRequired);

  /// A string of at most `aMaxSize` bytes; empty when it is absent or invalid.
  std::string ReadString(std::string_view aKey,
                         bool aRequired,
                         std::size_t aMaxSize);

  /// A required string of at least one byte; empty when it is absent or
  /// invalid.
  std::string ReadNonEmptyString(std::string_view aKey);

  /// An integer from `aMin` to `aMax`.
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

  /// Adds an error for each field of the object that was not read.
  void ReportUnknownFields();

  /// Adds an error about a field: the value that was seen and what is allowed.
  void AddError(std::string_view aKey,
                std::string aSeen,
                std::string_view aAllowed);
  /// Adds an error that shows the field's value in the object, or `(absent)`.
  void AddError(std::string_view aKey, std::string_view aAllowed);
  /// The JSON pointer of a field.
  [[nodiscard]] std::string PointerTo(std::string_view aKey) const;
  /// All errors so far; callers add those that concern no field of this object.
  [[nodiscard]] std::vector<FieldError>& Errors() noexcept { return mErrors; }

private:
  bool ReadUint64(std::string_view aKey,
                  std::uint64_t& aValue,
                  std::uint64_t aMin,
                  std::uint64_t aMax,
                  bool aRequired);

  /// Null when the value is not an object.
  const boost::json::object* mObject;
  std::string mPointer;
  std::vector<FieldError>& mErrors;
  std::vector<std::string_view> mReadKeys;
};

} // namespace bronzedeal
