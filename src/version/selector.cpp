#include "bronzedeal/version/selector.hpp"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <cctype>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace bronzedeal::version {

namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxPrefixLength = 253;

constexpr bool IsAlphanumeric(char aChar) noexcept
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9');
}

constexpr bool IsNameChar(char aChar) noexcept
{
  return IsAlphanumeric(aChar) || aChar == '-' || aChar == '_' || aChar == '.';
}

bool IsName(std::string_view aText) noexcept
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         IsAlphanumeric(aText.front()) && IsAlphanumeric(aText.back()) &&
         std::all_of(aText.begin(), aText.end(), IsNameChar);
}

bool IsDnsSubdomain(std::string_view aText) noexcept
{
  if (aText.empty() || aText.size() > kMaxPrefixLength) {
    return false;
  }
  while (true) {
    const auto dot = aText.find('.');
    const auto part = aText.substr(0, dot);
    if (!IsName(part) || std::any_of(part.begin(), part.end(), [](char aChar) {
          return aChar == '_' || (aChar >= 'A' && aChar <= 'Z');
        })) {
      return false;
    }
    if (dot == std::string_view::npos) {
      return true;
    }
    aText.remove_prefix(dot + 1);
  }
}

/// Recursive descent over the selector grammar:
///   selector    = [ requirement *( "," requirement ) ]
///   requirement = key [ ("=" / "==" / "!=") value
///                     / ("in" / "notin") "(" value *( "," value ) ")" ]
///               / "!" key
class Parser
{
public:
  explicit Parser(std::string_view aText) noexcept
    : mText(aText)
  {
  }

  bool Run(std::vector<Requirement>& aRequirements)
  {
    SkipSpace();
    if (AtEnd()) {
      return true;
    }
    while (true) {
      Requirement requirement;
      if (!ParseRequirement(requirement)) {
        return false;
      }
      aRequirements.push_back(std::move(requirement));
      SkipSpace();
      if (AtEnd()) {
        return true;
      }
      if (!Take(',')) {
        return Expect("`,` or the end");
      }
    }
  }

  [[nodiscard]] const std::string& Why() const noexcept { return mWhy; }

private:
  [[nodiscard]] bool AtEnd() const noexcept { return mAt == mText.size(); }

  void SkipSpace() noexcept
  {
    while (!AtEnd() && (mText[mAt] == ' ' || mText[mAt] == '\t')) {
      ++mAt;
    }
  }

  /// Takes the character if it is the very next one.
  bool TakeNext(char aChar) noexcept
  {
    if (AtEnd() || mText[mAt] != aChar) {
      return false;
    }
    ++mAt;
    return true;
  }

  bool Take(char aChar) noexcept
  {
    SkipSpace();
    return TakeNext(aChar);
  }

  std::string_view TakeWord() noexcept
  {
    SkipSpace();
    const auto begin = mAt;
    while (!AtEnd() && (IsNameChar(mText[mAt]) || mText[mAt] == '/')) {
      ++mAt;
    }
    return mText.substr(begin, mAt - begin);
  }

  bool Expect(std::string_view aWhat)
  {
    mWhy = fmt::format("at offset {}: {} is expected", mAt, aWhat);
    return false;
  }

  bool ParseKey(std::string& aKey)
  {
    SkipSpace();
    const auto begin = mAt;
    const auto word = TakeWord();
    if (!IsLabelKey(word)) {
      mAt = begin;
      return Expect("a label key");
    }
    aKey = word;
    return true;
  }

  bool ParseValue(std::vector<std::string>& aValues)
  {
    SkipSpace();
    const auto begin = mAt;
    const auto word = TakeWord();
    if (!IsLabelValue(word)) {
      mAt = begin;
      return Expect("a label value");
    }
    aValues.emplace_back(word);
    return true;
  }

  bool ParseValues(std::vector<std::string>& aValues)
  {
    if (!Take('(')) {
      return Expect("`(`");
    }
    do {
      if (!ParseValue(aValues)) {
        return false;
      }
    } while (Take(','));
    if (!Take(')')) {
      return Expect("`,` or `)`");
    }
    std::sort(aValues.begin(), aValues.end());
    aValues.erase(std::unique(aValues.begin(), aValues.end()), aValues.end());
    return true;
  }

  bool ParseRequirement(Requirement& aRequirement)
  {
    if (Take('!')) {
      aRequirement.op = Operator::NotExists;
      return ParseKey(aRequirement.key);
    }
    if (!ParseKey(aRequirement.key)) {
      return false;
    }
    if (Take('=')) {
      TakeNext('=');
      aRequirement.op = Operator::In;
      return ParseValue(aRequirement.values);
    }
    if (Take('!')) {
      aRequirement.op = Operator::NotIn;
      return TakeNext('=') ? ParseValue(aRequirement.values) : Expect("`=`");
    }
    SkipSpace();
    const auto begin = mAt;
    const auto word = TakeWord();
    if (word == "in" || word == "notin") {
      aRequirement.op = word == "in" ? Operator::In : Operator::NotIn;
      return ParseValues(aRequirement.values);
    }
    mAt = begin;
    return word.empty() || Expect("`=`, `!=`, `in`, `notin`, `,` or the end");
  }

  std::string_view mText;
  std::size_t mAt = 0;
  std::string mWhy;
};

const std::string* FindLabel(const Labels& aLabels, const std::string& aKey)
{
  const auto it = aLabels.find(aKey);
  return it == aLabels.end() ? nullptr : &it->second;
}

} // namespace

bool IsLabelKey(std::string_view aKey) noexcept
{
  const auto slash = aKey.find('/');
  return slash == std::string_view::npos
           ? IsName(aKey)
           : IsDnsSubdomain(aKey.substr(0, slash)) &&
               IsName(aKey.substr(slash + 1));
}

bool IsLabelValue(std::string_view aValue) noexcept
{
  return aValue.empty() || IsName(aValue);
}

bool Requirement::Accepts(const std::string* aValue) const noexcept
{
  switch (op) {
    case Operator::Exists:
      return aValue != nullptr;
    case Operator::NotExists:
      return aValue == nullptr;
    case Operator::In:
      return aValue != nullptr &&
             std::binary_search(values.begin(), values.end(), *aValue);
    case Operator::NotIn:
      return aValue == nullptr ||
             !std::binary_search(values.begin(), values.end(), *aValue);
  }
  return false;
}

bool Requirement::Excludes() const noexcept
{
  return op == Operator::NotIn || op == Operator::NotExists;
}

std::string Requirement::Text() const
{
  switch (op) {
    case Operator::Exists:
      return key;
    case Operator::NotExists:
      return "!" + key;
    case Operator::In:
      return values.size() == 1
               ? fmt::format("{}={}", key, values.front())
               : fmt::format("{} in ({})", key, fmt::join(values, ","));
    case Operator::NotIn:
      return values.size() == 1
               ? fmt::format("{}!={}", key, values.front())
               : fmt::format("{} notin ({})", key, fmt::join(values, ","));
  }
  return {};
}

std::optional<Selector> Selector::Parse(std::string_view aText,
                                        std::string& aWhy)
{
  if (aText.size() > kMaxLength) {
    aWhy = fmt::format("at most {} characters are allowed", kMaxLength);
    return std::nullopt;
  }
  Selector result;
  Parser parser(aText);
  if (!parser.Run(result.mRequirements)) {
    aWhy = parser.Why();
    return std::nullopt;
  }
  result.mText = aText;
  return result;
}

Result<Selector> Selector::Parse(std::string_view aText)
{
  std::string why;
  auto result = Parse(aText, why);
  if (!result) {
    return boost::leaf::new_error(
      Error{ ResultCode::InvalidSelector, std::move(why), {} });
  }
  return std::move(*result);
}

bool Selector::Matches(const Labels& aLabels) const noexcept
{
  return std::all_of(
    mRequirements.begin(), mRequirements.end(), [&](const Requirement& aIt) {
      return aIt.Accepts(FindLabel(aLabels, aIt.key));
    });
}

std::optional<std::string> Selector::WhyNot(const Labels& aLabels) const
{
  for (const auto& it : mRequirements) {
    const auto* value = FindLabel(aLabels, it.key);
    if (!it.Accepts(value)) {
      return value == nullptr
               ? fmt::format("`{}` fails: the label is absent", it.Text())
               : fmt::format(
                   "`{}` fails: the label is `{}`", it.Text(), *value);
    }
  }
  return std::nullopt;
}

std::string Selector::NormalText() const
{
  std::string result;
  for (const auto& it : mRequirements) {
    if (!result.empty()) {
      result += ',';
    }
    result += it.Text();
  }
  return result;
}

} // namespace bronzedeal::version
