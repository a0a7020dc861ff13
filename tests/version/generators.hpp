#pragma once

#include "bronzedeal/version/document.hpp"

#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <rapidcheck.h>
#include <sstream>

namespace bronzedeal::version {

// Properties run from a fixed seed, so that CI gives the same verdict each
// time.
inline const int kSeeded = setenv("RC_PARAMS", "seed=7 max_success=1000", 0);

/// The example of docs/configuration.md.
inline std::string ExampleText()
{
  const std::ifstream file(BRONZEDEAL_SOURCE_DIR "/examples/config.json");
  std::stringstream buf;
  buf << file.rdbuf();
  return buf.str();
}

inline Document ParseValid(std::string_view aText)
{
  Error error;
  auto result = ParseDocument(aText, error);
  for (const auto& it : error.fields) {
    ADD_FAILURE() << it.pointer << ": " << it.seen << "; " << it.allowed;
  }
  return result.value_or(Document{});
}

inline Document Example()
{
  return ParseValid(ExampleText());
}

// The pools are small, so that labels, selectors and ids often meet.
inline std::string AnyOf(std::vector<std::string> aPool)
{
  return *rc::gen::elementOf(std::move(aPool));
}

inline std::string AnyKey()
{
  return AnyOf({ "state", "group", "tier", "example.com/rack" });
}

inline std::string AnyValue()
{
  return AnyOf({ "", "in", "out", "a" });
}

inline Labels AnyLabels()
{
  Labels result;
  const auto n = *rc::gen::inRange(0, 3);
  for (int it = 0; it < n; ++it) {
    result[AnyKey()] = AnyValue();
  }
  return result;
}

inline std::string AnySelectorText()
{
  std::string result;
  const auto n = *rc::gen::inRange(0, 4);
  for (int it = 0; it < n; ++it) {
    const auto key =
      *rc::gen::inRange(0, 5) == 0
        ? AnyOf({ "failure_domain", "server", "shard", "region" })
        : AnyKey();
    const auto value = AnyValue();
    const auto form = AnyOf({ "{0}={1}",
                              "{0} == {1}",
                              "{0}!={1}",
                              "{0} in ({1}, fd-0,sh-0)",
                              "{0} notin ( {1},srv-0 )",
                              "{0}",
                              "!{0}" });
    result +=
      (it == 0 ? "" : ",") + fmt::format(fmt::runtime(form), key, value);
  }
  return result;
}

inline Selector AnySelector()
{
  std::string why;
  const auto text = AnySelectorText();
  auto result = Selector::Parse(text, why);
  RC_ASSERT(result.has_value());
  return *result;
}

inline Document AnyDocument()
{
  const auto upTo = [](int aMax) { return *rc::gen::inRange(1, aMax + 1); };
  Document result;
  result.version = static_cast<ConfigVersion>(upTo(100));
  result.changedBy = *rc::gen::element<std::string>("", "sam \"x\" \xC3\xA9");
  result.slicesPerDomain = static_cast<std::uint32_t>(upTo(8));
  result.limits.hedgePercent = static_cast<std::uint32_t>(upTo(5));
  const int domains = upTo(3);
  for (int n = 0; n < domains; ++n) {
    result.failureDomains[fmt::format("fd-{}", n)] = { "r1", AnyLabels() };
  }
  const int services = upTo(4);
  int server = 0;
  for (int n = 0; n < services; ++n) {
    ServiceSpec service;
    service.labels = AnyLabels();
    service.limits.slots = static_cast<std::uint32_t>(upTo(4));
    for (int it = *rc::gen::inRange(0, 3); it > 0; --it, ++server) {
      service.servers[fmt::format("srv-{}", server)] = {
        fmt::format("10.0.0.1:{}", 9000 + server),
        fmt::format("fd-{}", *rc::gen::inRange(0, domains)),
        AnyLabels()
      };
    }
    result.services[fmt::format("svc-{}", n)] = std::move(service);
  }
  for (IndexVersion version = 9; version <= 10; ++version) {
    auto& shards = result.index.versions[version];
    for (int n = *rc::gen::inRange(0, 5); n > 0; --n) {
      shards[fmt::format("sh-{}", n)] = {
        fmt::format("svc-{}", *rc::gen::inRange(0, services)), AnyLabels()
      };
    }
  }
  result.index.serving = *rc::gen::element<IndexVersion>(9, 10);
  for (int n = *rc::gen::inRange(0, 5); n > 0; --n) {
    result.selectors.push_back({ fmt::format("sel-{}", n),
                                 AnySelector(),
                                 AnySelector(),
                                 AnySelector() });
  }
  return result;
}

} // namespace bronzedeal::version
