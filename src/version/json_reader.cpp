#include "json_reader.hpp"

#include "bronzedeal/version/selector.hpp"

#include <boost/json/basic_parser_impl.hpp>
#include <unordered_set>

namespace bronzedeal::version {

namespace {

constexpr std::string_view kLabelKeyAllowed =
  "a label key: an optional DNS prefix with `/`, then 1 to 63 letters, digits, "
  "`-`, `_`, `.`";
constexpr std::string_view kLabelValueAllowed =
  "a label value: a string, empty or 1 to 63 letters, digits, `-`, `_`, `.`, "
  "alphanumeric at both ends";

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
      result =
        JsonPointer(result, it.object ? it.key : std::to_string(it.index));
    }
    return result;
  }

  std::vector<FieldError>& mErrors;
  std::vector<Level> mLevels;
  std::string mPart;
};

} // namespace

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

std::string TakeName(JsonFields& aFields, std::string_view aKey)
{
  const auto* value = aFields.Read(aKey, true, kNameAllowed);
  if (value == nullptr) {
    return {};
  }
  const auto* text = value->if_string();
  if (text == nullptr || !IsName(*text)) {
    aFields.AddError(aKey, kNameAllowed);
    return {};
  }
  return std::string(*text);
}

Labels TakeLabels(JsonFields& aFields, std::string_view aKey, bool aRequired)
{
  Labels result;
  const auto* object = aFields.ReadObject(aKey, aRequired);
  if (object == nullptr) {
    return result;
  }
  const auto pointer = aFields.PointerTo(aKey);
  auto& errors = aFields.Errors();
  for (const auto& it : *object) {
    const std::string_view key = it.key();
    const auto* text = it.value().if_string();
    if (!IsLabelKey(key)) {
      errors.push_back({ JsonPointer(pointer, key),
                         ToShortJson(boost::json::value(key)),
                         std::string(kLabelKeyAllowed) });
    }
    if (text == nullptr || !IsLabelValue(*text)) {
      errors.push_back({ JsonPointer(pointer, key),
                         ToShortJson(it.value()),
                         std::string(kLabelValueAllowed) });
    } else {
      result.emplace(key, *text);
    }
  }
  return result;
}

} // namespace bronzedeal::version
