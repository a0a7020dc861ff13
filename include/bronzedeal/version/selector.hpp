#pragma once

#include "bronzedeal/error.hpp"
#include "bronzedeal/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::version {

/// True for a label key: an optional DNS prefix with `/`, then a name of up to
/// 63 letters, digits, `-`, `_` and `.` that begins and ends alphanumerically.
[[nodiscard]] bool IsLabelKey(std::string_view aKey) noexcept;

/// True for a label value: empty, or the same form as the name of a key.
[[nodiscard]] bool IsLabelValue(std::string_view aValue) noexcept;

enum class Operator : std::uint8_t
{
  In,        ///< `a=b`, `a==b`, `a in (b,c)`
  NotIn,     ///< `a!=b`, `a notin (b,c)`; also true when the key is absent
  Exists,    ///< `a`
  NotExists, ///< `!a`
};

/// One condition on one label.
struct Requirement
{
  std::string key;
  Operator op = Operator::Exists;
  /// Sorted and without duplicates; empty for `Exists` and `NotExists`.
  std::vector<std::string> values;

  /// Decides on the label's value; `nullptr` when the key is absent.
  [[nodiscard]] bool Accepts(const std::string* aValue) const noexcept;
  /// `!=`, `notin` and `!key`, which exclude instead of choose.
  [[nodiscard]] bool Excludes() const noexcept;
  /// The requirement in selector syntax.
  [[nodiscard]] std::string Text() const;

  bool operator==(const Requirement&) const = default;
};

/// A label selector with the syntax and meaning of Kubernetes: requirements
/// joined by commas, all of which must hold. The empty selector matches all.
///
///     auto it = Selector::Parse("customer in (gaonsan,office),tier!=trial");
class Selector
{
public:
  static constexpr std::size_t kMaxLength = 4096;

  Selector() = default;

  /// Fails with `InvalidSelector`; the message names the offset and what is
  /// expected there.
  [[nodiscard]] static Result<Selector> Parse(std::string_view aText);
  /// The same without LEAF; on failure `aWhy` holds the message.
  [[nodiscard]] static std::optional<Selector> Parse(std::string_view aText,
                                                     std::string& aWhy);

  [[nodiscard]] bool Matches(const Labels& aLabels) const noexcept;

  /// The first requirement that does not hold, in words; `std::nullopt` when
  /// the selector matches.
  [[nodiscard]] std::optional<std::string> WhyNot(const Labels& aLabels) const;

  /// The text as it was written.
  [[nodiscard]] const std::string& Text() const noexcept { return mText; }
  /// One spelling for all selectors with the same requirements in that order.
  [[nodiscard]] std::string NormalText() const;

  [[nodiscard]] const std::vector<Requirement>& Requirements() const noexcept
  {
    return mRequirements;
  }

  bool operator==(const Selector&) const = default;

private:
  std::string mText;
  std::vector<Requirement> mRequirements;
};

} // namespace bronzedeal::version
