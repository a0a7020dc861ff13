#include "json_text.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <map>

namespace bronzedeal::request {

namespace json = boost::json;

namespace {

/// Walks over the text of valid JSON. Invalid text gives a wrong result but no
/// access beyond its end.
class Walker
{
public:
  explicit Walker(std::string_view aText) noexcept
    : mText(aText)
  {
  }

  /// The next character that is not white space; 0 at the end.
  char Peek() noexcept
  {
    mAt = std::min(mText.find_first_not_of(" \t\r\n", mAt), mText.size());
    return mAt < mText.size() ? mText[mAt] : '\0';
  }

  bool Accept(char aChar) noexcept
  {
    const bool found = Peek() == aChar;
    mAt += found ? 1 : 0;
    return found;
  }

  /// The text of a string, number or literal.
  std::string_view Scalar() noexcept
  {
    Peek();
    const auto start = mAt;
    if (Accept('"')) {
      while (mAt < mText.size() && mText[mAt] != '"') {
        mAt += mText[mAt] == '\\' ? 2 : 1;
      }
      mAt = std::min(mAt + 1, mText.size());
    } else {
      mAt = std::min(mText.find_first_of(",]} \t\r\n", mAt), mText.size());
    }
    return mText.substr(start, mAt - start);
  }

  /// Passes over any value and returns its text.
  std::string_view Skip() noexcept
  {
    Peek();
    const auto start = mAt;
    std::size_t depth = 0;
    do {
      if (Accept('{') || Accept('[')) {
        ++depth;
      } else if (Accept('}') || Accept(']')) {
        --depth;
      } else if (!Accept(',') && !Accept(':')) {
        Scalar();
      }
    } while (depth > 0 && Peek() != '\0');
    return mText.substr(start, mAt - start);
  }

  /// Appends the canonical text of the next value. Recursion is bounded by the
  /// nesting limit of the parser that has accepted the text.
  void AppendCanonical(std::string& aOut)
  {
    if (Accept('{')) {
      std::map<std::string, std::string> members;
      while (!Accept('}') && Peek() != '\0') {
        auto key = CanonicalScalar(Scalar());
        Accept(':');
        std::string value;
        AppendCanonical(value);
        members.insert_or_assign(std::move(key), std::move(value));
        Accept(',');
      }
      char separator = '{';
      for (const auto& [key, value] : members) {
        aOut += separator;
        aOut += key;
        aOut += ':';
        aOut += value;
        separator = ',';
      }
      aOut += members.empty() ? "{}" : "}";
    } else if (Accept('[')) {
      aOut += '[';
      while (!Accept(']') && Peek() != '\0') {
        AppendCanonical(aOut);
        if (Accept(',')) {
          aOut += ',';
        }
      }
      aOut += ']';
    } else {
      aOut += CanonicalScalar(Scalar());
    }
  }

  /// Strings are written with the fewest escapes; others keep their text.
  static std::string CanonicalScalar(std::string_view aText)
  {
    if (aText.starts_with('"') &&
        aText.find_first_of("\\\x7F") != std::string_view::npos) {
      json::error_code ec;
      const auto value =
        json::parse(json::string_view(aText.data(), aText.size()), ec);
      if (!ec) {
        return json::serialize(value);
      }
    }
    return std::string(aText);
  }

private:
  std::string_view mText;
  std::size_t mAt = 0;
};

} // namespace

std::string_view MemberText(std::string_view aObject, std::string_view aName)
{
  const auto name = Walker::CanonicalScalar(
    json::serialize(json::string_view(aName.data(), aName.size())));
  std::string_view found;
  Walker walker(aObject);
  if (walker.Accept('{')) {
    while (!walker.Accept('}') && walker.Peek() != '\0') {
      const auto key = Walker::CanonicalScalar(walker.Scalar());
      walker.Accept(':');
      const auto value = walker.Skip();
      if (key == name) {
        found = value;
      }
      walker.Accept(',');
    }
  }
  return found;
}

std::string CanonicalText(std::string_view aValue)
{
  std::string text;
  text.reserve(aValue.size());
  Walker(aValue).AppendCanonical(text);
  return text;
}

} // namespace bronzedeal::request
