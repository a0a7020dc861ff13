#include "json_text.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <map>

namespace bronzedeal::request {

namespace json = boost::json;

namespace {

/// Scans valid JSON text. Invalid text gives a wrong result, but no access
/// beyond its end.
class Scanner
{
public:
  explicit Scanner(std::string_view aText) noexcept
    : mText(aText)
  {
  }

  /// Returns the next character that is not white space; 0 at the end.
  char Peek() noexcept
  {
    mPosition =
      std::min(mText.find_first_not_of(" \t\r\n", mPosition), mText.size());
    return mPosition < mText.size() ? mText[mPosition] : '\0';
  }

  bool Accept(char aChar) noexcept
  {
    const bool found = Peek() == aChar;
    mPosition += found ? 1 : 0;
    return found;
  }

  /// Consumes a string, number or literal and returns its text.
  std::string_view Scalar() noexcept
  {
    Peek();
    const auto start = mPosition;
    if (Accept('"')) {
      while (mPosition < mText.size() && mText[mPosition] != '"') {
        mPosition += mText[mPosition] == '\\' ? 2 : 1;
      }
      mPosition = std::min(mPosition + 1, mText.size());
    } else {
      mPosition =
        std::min(mText.find_first_of(",]} \t\r\n", mPosition), mText.size());
    }
    return mText.substr(start, mPosition - start);
  }

  /// Consumes any value and returns its text.
  std::string_view Skip() noexcept
  {
    Peek();
    const auto start = mPosition;
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
    return mText.substr(start, mPosition - start);
  }

  /// Consumes a value and appends its canonical text. The recursion is bounded
  /// by the nesting limit of the parser that has accepted the text.
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

  /// Returns strings with the fewest escapes, and other scalars unchanged.
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
  std::size_t mPosition = 0;
};

} // namespace

std::string_view MemberText(std::string_view aObject, std::string_view aName)
{
  const auto name = Scanner::CanonicalScalar(
    json::serialize(json::string_view(aName.data(), aName.size())));
  std::string_view found;
  Scanner scanner(aObject);
  if (scanner.Accept('{')) {
    while (!scanner.Accept('}') && scanner.Peek() != '\0') {
      const auto key = Scanner::CanonicalScalar(scanner.Scalar());
      scanner.Accept(':');
      const auto value = scanner.Skip();
      if (key == name) {
        found = value;
      }
      scanner.Accept(',');
    }
  }
  return found;
}

std::string CanonicalText(std::string_view aValue)
{
  std::string text;
  text.reserve(aValue.size());
  Scanner(aValue).AppendCanonical(text);
  return text;
}

} // namespace bronzedeal::request
