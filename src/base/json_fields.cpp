#include "bronzedeal/json_fields.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace bronzedeal {

namespace {

constexpr std::size_t kMaxShownBytes = 80;
constexpr std::string_view kAbsent = "(absent)";

std::string ShortenToLimit(std::string aText)
{
  if (aText.size() <= kMaxShownBytes) {
    return aText;
  }
  auto size = kMaxShownBytes - 3;
  // Cuts before a UTF-8 sequence, not within it; continuation bytes are
  // 10xxxxxx.
  while (size > 0 &&
         (static_cast<unsigned char>(aText[size]) & 0xC0U) == 0x80U) {
    --size;
  }
  aText.resize(size);
  return aText + "...";
}

} // namespace

std::string JsonPointer(std::string_view aParent, std::string_view aKey)
{
  std::string result(aParent);
  result += '/';
  for (const char it : aKey) {
    if (it == '~') {
      result += "~0";
    } else if (it == '/') {
      result += "~1";
    } else {
      result += it;
    }
  }
  return result;
}

std::string ToShortJson(const boost::json::value& aValue)
{
  return ShortenToLimit(boost::json::serialize(aValue));
}

JsonFields::JsonFields(const boost::json::value& aValue,
                       std::string aPointer,
                       std::vector<FieldError>& aErrors)
  : mObject(aValue.if_object())
  , mPointer(std::move(aPointer))
  , mErrors(aErrors)
{
  if (mObject == nullptr) {
    mErrors.push_back({ mPointer, ToShortJson(aValue), "an object" });
  }
}

std::string JsonFields::PointerTo(std::string_view aKey) const
{
  return JsonPointer(mPointer, aKey);
}

void JsonFields::AddError(std::string_view aKey,
                          std::string aSeen,
                          std::string_view aAllowed)
{
  mErrors.push_back(
    { PointerTo(aKey), std::move(aSeen), std::string(aAllowed) });
}

void JsonFields::AddError(std::string_view aKey, std::string_view aAllowed)
{
  const auto* value = mObject == nullptr ? nullptr : mObject->if_contains(aKey);
  AddError(aKey,
           value == nullptr ? std::string(kAbsent) : ToShortJson(*value),
           aAllowed);
}

const boost::json::value* JsonFields::Read(std::string_view aKey,
                                           bool aRequired,
                                           std::string_view aAllowed)
{
  mReadKeys.push_back(aKey);
  if (mObject == nullptr) {
    return nullptr;
  }
  const auto* result = mObject->if_contains(aKey);
  if (result == nullptr && aRequired) {
    AddError(aKey, std::string(kAbsent), aAllowed);
  }
  return result;
}

const boost::json::object* JsonFields::ReadObject(std::string_view aKey,
                                                  bool aRequired)
{
  const auto* value = Read(aKey, aRequired, "an object");
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_object()) {
    AddError(aKey, ToShortJson(*value), "an object");
  }
  return value->if_object();
}

std::string JsonFields::ReadString(std::string_view aKey,
                                   bool aRequired,
                                   std::size_t aMaxSize)
{
  const auto allowed = fmt::format("a string of at most {} bytes", aMaxSize);
  const auto* value = Read(aKey, aRequired, allowed);
  if (value == nullptr) {
    return {};
  }
  const auto* text = value->if_string();
  if (text == nullptr || text->size() > aMaxSize) {
    AddError(aKey, ToShortJson(*value), allowed);
    return {};
  }
  return std::string(*text);
}

std::string JsonFields::ReadNonEmptyString(std::string_view aKey)
{
  constexpr std::string_view kAllowed = "a string that is not empty";
  const auto* value = Read(aKey, true, kAllowed);
  if (value == nullptr) {
    return {};
  }
  const auto* text = value->if_string();
  if (text == nullptr || text->empty()) {
    AddError(aKey, kAllowed);
    return {};
  }
  return std::string(*text);
}

bool JsonFields::ReadUint64(std::string_view aKey,
                            std::uint64_t& aValue,
                            std::uint64_t aMin,
                            std::uint64_t aMax,
                            bool aRequired)
{
  const auto allowed = fmt::format("an integer from {} to {}", aMin, aMax);
  const auto* value = Read(aKey, aRequired, allowed);
  if (value == nullptr) {
    return false;
  }
  boost::json::error_code ec;
  const auto n = value->is_double() ? 0 : value->to_number<std::uint64_t>(ec);
  if (value->is_double() || ec || n < aMin || n > aMax) {
    AddError(aKey, ToShortJson(*value), allowed);
    return false;
  }
  aValue = n;
  return true;
}

void JsonFields::ReadMilliseconds(std::string_view aKey,
                                  milliseconds& aValue,
                                  std::uint64_t aMin,
                                  std::uint64_t aMax)
{
  auto n = aValue.count();
  ReadInteger(aKey, n, aMin, aMax);
  aValue = milliseconds(n);
}

void JsonFields::ReadNumber(std::string_view aKey,
                            double& aValue,
                            double aMin,
                            double aMax)
{
  const auto* value = Read(aKey);
  if (value == nullptr) {
    return;
  }
  boost::json::error_code ec;
  const auto n = value->to_number<double>(ec);
  if (ec || !(n >= aMin && n <= aMax)) {
    AddError(aKey, fmt::format("a number from {} to {}", aMin, aMax));
    return;
  }
  aValue = n;
}

void JsonFields::ReadBool(std::string_view aKey, bool& aValue)
{
  const auto* value = Read(aKey);
  if (value == nullptr) {
    return;
  }
  if (!value->is_bool()) {
    AddError(aKey, "true or false");
    return;
  }
  aValue = value->get_bool();
}

void JsonFields::ReportUnknownFields()
{
  if (mObject == nullptr) {
    return;
  }
  for (const auto& it : *mObject) {
    const std::string_view key = it.key();
    if (std::find(mReadKeys.begin(), mReadKeys.end(), key) == mReadKeys.end()) {
      AddError(
        key,
        ToShortJson(it.value()),
        fmt::format("no such field; known are {}", fmt::join(mReadKeys, ", ")));
    }
  }
}

} // namespace bronzedeal
