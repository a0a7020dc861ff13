#include "bronzedeal/version/explain.hpp"
#include "bronzedeal/version/snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

/// Parses any text. An invalid document must name at least one error; a valid
/// one must survive its canonical text and be routable.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  using namespace bronzedeal;
  using namespace bronzedeal::version;
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  Error error;
  const auto document = ParseDocument(text, error);
  if (!document) {
    if (error.fields.empty() || error.message.empty()) {
      std::abort();
    }
    return 0;
  }
  const auto canonical = CanonicalText(*document);
  const auto again = ParseDocument(canonical, error);
  if (!again || !(*again == *document) || canonical.size() > aSize) {
    std::abort();
  }
  const Snapshot snapshot(*document);
  const Labels caller{ { "customer", "gaonsan" } };
  const Labels request{ { "kind", "search" } };
  const auto plan = snapshot.Plan(caller, request);
  if (Explain(snapshot, caller, request).shards.size() != plan.shards.size()) {
    std::abort();
  }
  return 0;
}
