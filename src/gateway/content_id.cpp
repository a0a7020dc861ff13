#include "bronzedeal/gateway/content_id.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <xxhash.h>

namespace bronzedeal::gateway {

ContentId ContentIdOf(std::string_view aMethod,
                      std::string_view aHost,
                      std::string_view aTarget,
                      std::string_view aBody) noexcept
{
  // A seed from the hash of the parts before keeps their limits apart.
  auto seed = XXH3_64bits(aMethod.data(), aMethod.size());
  seed = XXH3_64bits_withSeed(aHost.data(), aHost.size(), seed);
  seed = XXH3_64bits_withSeed(aTarget.data(), aTarget.size(), seed);
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(
    &canonical, XXH3_128bits_withSeed(aBody.data(), aBody.size(), seed));
  ContentId content{};
  std::copy(
    std::begin(canonical.digest), std::end(canonical.digest), content.begin());
  return content;
}

std::string ToHex(const ContentId& aContent)
{
  return fmt::format("{:02x}", fmt::join(aContent, ""));
}

std::optional<ContentId> ContentIdFromHex(std::string_view aText)
{
  ContentId content{};
  if (aText.size() != 2 * content.size()) {
    return std::nullopt;
  }
  for (std::size_t n = 0; n < content.size(); ++n) {
    const auto* first = aText.data() + 2 * n;
    const auto [end, ec] = std::from_chars(first, first + 2, content.at(n), 16);
    if (ec != std::errc{} || end != first + 2) {
      return std::nullopt;
    }
  }
  return content;
}

} // namespace bronzedeal::gateway
