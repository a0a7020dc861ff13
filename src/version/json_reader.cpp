#include "json_reader.hpp"

#include "bronzedeal/version/selector.hpp"

#include <algorithm>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <unordered_set>

namespace bronzedeal::version {

namespace {

constexpr std::size_t kShownSize = 80;
constexpr std::string_view kAbsent = "(absent)";

constexpr std::string_view kLabelKeyAllowed =
  "a label key: an optional DNS prefix with `/`, then 1 to 63 letters, digits, "
  "`-`, `_`, `.`";
constexpr std::string_view kLabelValueAllowed =
  "a label value: a string, empty or 1 to 63 letters, digits, `-`, `_`, `.`, "
  "alphanumeric at both ends";

std::string Shorten(std::string aText)
{
  if (aText.size() <= kShownSize) {
    return aText;
  }
  auto size = kShownSize - 3;
  // Does not cut a UTF-8 sequence, whose further bytes are 10xxxxxx.
  while (size > 0 &&
         (static_cast<unsigned char>(aText[size]) & 0xC0U) == 0x80U) {
    --size;
  }
  aText.resize(size);
  return aText + "...";
}

/// Handler of basic_parser that follows the path and the keys of each object.
class DuplicateFinder
{
public:
  // NOLINTBEGIN(readability-identifier-naming): names given by Boost.JSON.
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);
  // NOLINTEND(readability-identifier-naming)

  explicit DuplicateFinder(std::vector<FieldError>& aErrors) noexcept
    : mErrors(aErrors)
  {
  }

  using Code = boost::json::error_code;
  using Text = boost::json::string_view;

  // NOLINTBEGIN(readability-identifier-naming): names given by Boost.JSON.
  bool on_document_begin(Code&) { return true; }
  bool on_document_end(Code&) { return true; }
  bool on_object_begin(Code&) { return Enter(true); }
  bool on_object_end(std::size_t, Code&) { return Leave(); }
  bool on_array_begin(Code&) { return Enter(false); }
  bool on_array_end(std::size_t, Code&) { return Leave(); }
  bool on_key_part(Text aPart, std::size_t, Code&)
  {
    mPart.append(aPart.data(), aPart.size());
    return true;
  }
  bool on_key(Text aPart, std::size_t, Code&)
  {
    mPart.append(aPart.data(), aPart.size());
    auto& level = mLevels.back();
    level.key = std::exchange(mPart, {});
    if (!level.keys.insert(level.key).second) {
      mErrors.push_back(
        { Path(), "the key again", "each key once in an object" });
    }
    return true;
  }
  bool on_string_part(Text, std::size_t, Code&) { return true; }
  bool on_string(Text, std::size_t, Code&) { return Scalar(); }
  bool on_number_part(Text, Code&) { return true; }
  bool on_int64(std::int64_t, Text, Code&) { return Scalar(); }
  bool on_uint64(std::uint64_t, Text, Code&) { return Scalar(); }
  bool on_double(double, Text, Code&) { return Scalar(); }
  bool on_bool(bool, Code&) { return Scalar(); }
  bool on_null(Code&) { return Scalar(); }
  bool on_comment_part(Text, Code&) { return true; }
  bool on_comment(Text, Code&) { return true; }
  // NOLINTEND(readability-identifier-naming)

private:
  struct Level
  {
    bool object = false;
    std::string key;
    std::size_t index = 0;
    std::unordered_set<std::string> keys;
  };

  bool Enter(bool aObject)
  {
    mLevels.emplace_back().object = aObject;
    return true;
  }

  bool Leave()
  {
    mLevels.pop_back();
    return Scalar();
  }

  /// Ends one value.
  bool Scalar()
  {
    if (!mLevels.empty()) {
      ++mLevels.back().index;
    }
    return true;
  }

  [[nodiscard]] std::string Path() const
  {
    std::string result;
    for (const auto& it : mLevels) {
      result = Pointer(result, it.object ? it.key : std::to_string(it.index));
    }
    return result;
  }

  std::vector<FieldError>& mErrors;
  std::vector<Level> mLevels;
  std::string mPart;
};

} // namespace

std::string Pointer(std::string_view aParent, std::string_view aKey)
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

std::string Shown(const boost::json::value& aValue)
{
  return Shorten(boost::json::serialize(aValue));
}

void FindDuplicateKeys(std::string_view aText, std::vector<FieldError>& aErrors)
{
  boost::json::basic_parser<DuplicateFinder> parser(
    boost::json::parse_options{}, aErrors);
  boost::json::error_code ec;
  parser.write_some(false, aText.data(), aText.size(), ec);
}

bool IsName(std::string_view aText) noexcept
{
  return !aText.empty() && IsLabelValue(aText);
}

ObjectReader::ObjectReader(const boost::json::value& aValue,
                           std::string aPointer,
                           std::vector<FieldError>& aErrors)
  : mObject(aValue.if_object())
  , mPointer(std::move(aPointer))
  , mErrors(aErrors)
{
  if (mObject == nullptr) {
    mErrors.push_back({ mPointer, Shown(aValue), "an object" });
  }
}

std::string ObjectReader::PointerTo(std::string_view aKey) const
{
  return Pointer(mPointer, aKey);
}

void ObjectReader::Fail(std::string_view aKey,
                        std::string aSeen,
                        std::string_view aAllowed)
{
  mErrors.push_back(
    { PointerTo(aKey), std::move(aSeen), std::string(aAllowed) });
}

const boost::json::value* ObjectReader::Take(std::string_view aKey,
                                             bool aRequired,
                                             std::string_view aAllowed)
{
  mKnown.push_back(aKey);
  if (mObject == nullptr) {
    return nullptr;
  }
  const auto* result = mObject->if_contains(aKey);
  if (result == nullptr && aRequired) {
    Fail(aKey, std::string(kAbsent), aAllowed);
  }
  return result;
}

const boost::json::object* ObjectReader::TakeObject(std::string_view aKey,
                                                    bool aRequired)
{
  const auto* value = Take(aKey, aRequired, "an object");
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_object()) {
    Fail(aKey, Shown(*value), "an object");
  }
  return value->if_object();
}

std::string ObjectReader::TakeText(std::string_view aKey,
                                   bool aRequired,
                                   std::size_t aMaxSize)
{
  const auto allowed = fmt::format("a string of at most {} bytes", aMaxSize);
  const auto* value = Take(aKey, aRequired, allowed);
  if (value == nullptr) {
    return {};
  }
  const auto* text = value->if_string();
  if (text == nullptr || text->size() > aMaxSize) {
    Fail(aKey, Shown(*value), allowed);
    return {};
  }
  return std::string(*text);
}

std::string ObjectReader::TakeName(std::string_view aKey)
{
  const auto* value = Take(aKey, true, kNameAllowed);
  if (value == nullptr) {
    return {};
  }
  const auto* text = value->if_string();
  if (text == nullptr || !IsName(*text)) {
    Fail(aKey, Shown(*value), kNameAllowed);
    return {};
  }
  return std::string(*text);
}

bool ObjectReader::ReadInteger(std::string_view aKey,
                               std::uint64_t& aValue,
                               std::uint64_t aMin,
                               std::uint64_t aMax,
                               bool aRequired)
{
  const auto allowed = fmt::format("an integer from {} to {}", aMin, aMax);
  const auto* value = Take(aKey, aRequired, allowed);
  if (value == nullptr) {
    return false;
  }
  boost::json::error_code ec;
  const auto n = value->is_double() ? 0 : value->to_number<std::uint64_t>(ec);
  if (value->is_double() || ec || n < aMin || n > aMax) {
    Fail(aKey, Shown(*value), allowed);
    return false;
  }
  aValue = n;
  return true;
}

void ObjectReader::TakeMilliseconds(std::string_view aKey,
                                    milliseconds& aValue,
                                    std::uint64_t aMin,
                                    std::uint64_t aMax)
{
  auto n = aValue.count();
  TakeInteger(aKey, n, aMin, aMax);
  aValue = milliseconds(n);
}

Labels ObjectReader::TakeLabels(std::string_view aKey, bool aRequired)
{
  Labels result;
  const auto* object = TakeObject(aKey, aRequired);
  if (object == nullptr) {
    return result;
  }
  const auto pointer = PointerTo(aKey);
  for (const auto& it : *object) {
    const std::string_view key = it.key();
    const auto* text = it.value().if_string();
    if (!IsLabelKey(key)) {
      mErrors.push_back({ Pointer(pointer, key),
                          Shown(boost::json::value(key)),
                          std::string(kLabelKeyAllowed) });
    }
    if (text == nullptr || !IsLabelValue(*text)) {
      mErrors.push_back({ Pointer(pointer, key),
                          Shown(it.value()),
                          std::string(kLabelValueAllowed) });
    } else {
      result.emplace(key, *text);
    }
  }
  return result;
}

void ObjectReader::Finish()
{
  if (mObject == nullptr) {
    return;
  }
  for (const auto& it : *mObject) {
    const std::string_view key = it.key();
    if (std::find(mKnown.begin(), mKnown.end(), key) == mKnown.end()) {
      Fail(key,
           Shown(it.value()),
           fmt::format("no such field; known are {}", fmt::join(mKnown, ", ")));
    }
  }
}

} // namespace bronzedeal::version
