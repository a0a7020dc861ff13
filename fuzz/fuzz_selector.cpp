#include "bronzedeal/version/selector.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

/// Parses any text. A selector that parses must agree with its normal text and
/// with its own reason.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  using bronzedeal::version::Selector;
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  std::string why;
  const auto selector = Selector::Parse(text, why);
  if (!selector) {
    if (why.empty()) {
      std::abort();
    }
    return 0;
  }
  const auto again = Selector::Parse(selector->NormalText(), why);
  if (!again || again->Requirements() != selector->Requirements()) {
    std::abort();
  }
  const bronzedeal::Labels labels{ { "a", "b" }, { "in", "" } };
  if (selector->Matches(labels) == selector->WhyNot(labels).has_value()) {
    std::abort();
  }
  return 0;
}
