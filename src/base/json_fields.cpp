#include "bronzedeal/json_fields.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace bronzedeal {

namespace {

constexpr std::size_t kMaxSeen = 80;

} // namespace

std::string Shorten(const boost::json::value& aValue)
{
  auto text = boost::json::serialize(aValue);
  if (text.size() > kMaxSeen) {
    text.resize(kMaxSeen - 3);
    text += "...";
  }
  return text;
}

JsonFields::JsonFields(const boost::json::value& aValue,
                       std::string aPointer,
                       std::vector<FieldError>& aErrors)
  : mObject(aValue.if_object())
  , mPointer(std::move(aPointer))
  , mErrors(aErrors)
{
  if (mObject == nullptr) {
    mErrors.push_back({ mPointer, Shorten(aValue), "an object" });
  }
}

const boost::json::value* JsonFields::Optional(std::string_view aKey)
{
  mRead.emplace_back(aKey);
  return mObject == nullptr ? nullptr : mObject->if_contains(aKey);
}

std::string JsonFields::PointerOf(std::string_view aKey) const
{
  std::string buf = mPointer + "/";
  for (const char c : aKey) {
    if (c == '~') {
      buf += "~0";
    } else if (c == '/') {
      buf += "~1";
    } else {
      buf += c;
    }
  }
  return buf;
}

void JsonFields::Report(std::string_view aKey, std::string_view aAllowed)
{
  const auto* value = mObject == nullptr ? nullptr : mObject->if_contains(aKey);
  mErrors.push_back({ PointerOf(aKey),
                      value == nullptr ? "nothing" : Shorten(*value),
                      std::string(aAllowed) });
}

std::string JsonFields::String(std::string_view aKey)
{
  const auto* value = Optional(aKey);
  if (mObject == nullptr) {
    return {};
  }
  if (value == nullptr || !value->is_string() || value->get_string().empty()) {
    Report(aKey, "a string that is not empty");
    return {};
  }
  return std::string(value->get_string());
}

std::string JsonFields::String(std::string_view aKey, std::string_view aDefault)
{
  const auto* value = Optional(aKey);
  if (value == nullptr) {
    return std::string(aDefault);
  }
  if (!value->is_string()) {
    Report(aKey, "a string");
    return std::string(aDefault);
  }
  return std::string(value->get_string());
}

bool JsonFields::Bool(std::string_view aKey, bool aDefault)
{
  const auto* value = Optional(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_bool()) {
    Report(aKey, "true or false");
    return aDefault;
  }
  return value->get_bool();
}

std::int64_t JsonFields::Integer(std::string_view aKey,
                                 std::int64_t aDefault,
                                 std::int64_t aLowest,
                                 std::int64_t aHighest)
{
  const auto* value = Optional(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  boost::system::error_code ec;
  const auto n = value->to_number<std::int64_t>(ec);
  if (ec || !value->is_number() || value->is_double() || n < aLowest ||
      n > aHighest) {
    Report(aKey, fmt::format("an integer from {} to {}", aLowest, aHighest));
    return aDefault;
  }
  return n;
}

double JsonFields::Number(std::string_view aKey,
                          double aDefault,
                          double aLowest,
                          double aHighest)
{
  const auto* value = Optional(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  boost::system::error_code ec;
  const auto n = value->to_number<double>(ec);
  if (ec || n < aLowest || n > aHighest) {
    Report(aKey, fmt::format("a number from {} to {}", aLowest, aHighest));
    return aDefault;
  }
  return n;
}

void JsonFields::Finish()
{
  if (mObject == nullptr) {
    return;
  }
  for (const auto& it : *mObject) {
    if (std::find(mRead.begin(), mRead.end(), it.key()) == mRead.end()) {
      mErrors.push_back(
        { PointerOf(it.key()), Shorten(it.value()), "no such field is known" });
    }
  }
}

} // namespace bronzedeal
