#include "bronzedeal/version/document.hpp"

#include "document_json.hpp"
#include "json_reader.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <boost/json/parser.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <fmt/format.h>
#include <unordered_map>
#include <xxhash.h>

namespace bronzedeal::version {

namespace json = boost::json;

namespace {

// Greatest integer that every JSON reader represents exactly.
constexpr std::uint64_t kMaxVersion = 9'007'199'254'740'991;
constexpr std::size_t kMaxTextSize = 200;

constexpr std::array<std::string_view, 5> kBuiltInLabels = { "failure_domain",
                                                             "region",
                                                             "server",
                                                             "service",
                                                             "shard" };

/// True for the canonical text of an IP address and a port, such as
/// `127.0.0.1:9001` or `[::1]:9001`. Only one spelling of an address is
/// accepted, so that comparing texts finds duplicates.
bool IsAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const auto port = aText.substr(colon + 1);
  unsigned number = 0;
  const auto [end, ec] =
    std::from_chars(port.data(), port.data() + port.size(), number);
  if (ec != std::errc{} || end != port.data() + port.size() || number == 0 ||
      number > 65535 || port.front() == '0') {
    return false;
  }
  std::string host(aText.substr(0, colon));
  const bool v6 = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (v6) {
    host = host.substr(1, host.size() - 2);
  }
  const int family = v6 ? AF_INET6 : AF_INET;
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  std::array<char, INET6_ADDRSTRLEN> buf{};
  return inet_pton(family, host.c_str(), binary.data()) == 1 &&
         inet_ntop(family, binary.data(), buf.data(), buf.size()) != nullptr &&
         host == buf.data();
}

std::optional<IndexVersion> ParseIndexVersion(std::string_view aText)
{
  IndexVersion result = 0;
  const auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), result);
  if (ec != std::errc{} || end != aText.data() + aText.size() ||
      aText.front() == '0' || result > kMaxVersion) {
    return std::nullopt;
  }
  return result;
}

/// Reads a document and collects all errors.
class DocumentReader
{
public:
  explicit DocumentReader(std::vector<FieldError>& aErrors) noexcept
    : mErrors(aErrors)
  {
  }

  Document Read(const json::value& aValue)
  {
    JsonFields reader(aValue, "", mErrors);
    reader.ReadInteger("version", mDocument.version, 1, kMaxVersion, true);
    mDocument.changedBy = reader.ReadString("changed_by", false, kMaxTextSize);
    mDocument.changedAt = reader.ReadString("changed_at", false, kMaxTextSize);
    ForEach(reader, "failure_domains", true, [&](auto&&... aArgs) {
      ReadDomain(aArgs...);
    });
    ForEach(reader, "services", true, [&](auto&&... aArgs) {
      ReadService(aArgs...);
    });
    if (const auto* it = reader.Read("index", true, "an object")) {
      ReadIndex(*it);
    }
    ReadSelectors(reader);
    if (const auto* it = reader.Read("ownership")) {
      JsonFields ownership(*it, "/ownership", mErrors);
      ownership.ReadInteger(
        "slices_per_domain", mDocument.slicesPerDomain, 1, 64);
      ownership.ReportUnknownFields();
    }
    if (const auto* it = reader.Read("limits")) {
      ReadLimits(*it);
    }
    reader.ReportUnknownFields();
    return std::move(mDocument);
  }

private:
  /// Calls `aFunction(name, value, pointer)` for each member of an object whose
  /// keys are names.
  template<typename F>
  void ForEach(JsonFields& aReader,
               std::string_view aKey,
               bool aRequired,
               F aFunction)
  {
    const auto* object = aReader.ReadObject(aKey, aRequired);
    if (object == nullptr) {
      return;
    }
    const auto pointer = aReader.PointerTo(aKey);
    for (const auto& it : *object) {
      const std::string_view name = it.key();
      auto member = JsonPointer(pointer, name);
      if (!IsName(name)) {
        mErrors.push_back({ member,
                            ToShortJson(json::value(name)),
                            fmt::format("as a key, {}", kNameAllowed) });
      }
      aFunction(std::string(name), it.value(), std::move(member));
    }
  }

  /// Labels of the document itself; the built-in keys are reserved.
  Labels ReadLabels(JsonFields& aReader)
  {
    auto result = TakeLabels(aReader, "labels");
    const auto pointer = aReader.PointerTo("labels");
    for (const auto& key : kBuiltInLabels) {
      if (const auto it = result.find(key); it != result.end()) {
        mErrors.push_back({ JsonPointer(pointer, key),
                            ToShortJson(json::value(it->second)),
                            "another label key; this one is built in" });
      }
    }
    return result;
  }

  void ReadDomain(std::string aName,
                  const json::value& aValue,
                  std::string aPointer)
  {
    JsonFields reader(aValue, std::move(aPointer), mErrors);
    DomainSpec domain;
    domain.region = TakeName(reader, "region");
    domain.labels = ReadLabels(reader);
    reader.ReportUnknownFields();
    mDocument.failureDomains.emplace(std::move(aName), std::move(domain));
  }

  void ReadService(std::string aName,
                   const json::value& aValue,
                   std::string aPointer)
  {
    JsonFields reader(aValue, std::move(aPointer), mErrors);
    ServiceSpec service;
    service.labels = ReadLabels(reader);
    if (const auto* it = reader.Read("limits")) {
      ReadServiceLimits(*it, reader.PointerTo("limits"), service.limits);
    }
    ForEach(reader,
            "servers",
            true,
            [&](std::string aId, const json::value& aIt, std::string aAt) {
              ReadServer(std::move(aId), aIt, std::move(aAt), service.servers);
            });
    reader.ReportUnknownFields();
    mDocument.services.emplace(std::move(aName), std::move(service));
  }

  void ReadServiceLimits(const json::value& aValue,
                         std::string aPointer,
                         ServiceLimits& aLimits)
  {
    JsonFields reader(aValue, std::move(aPointer), mErrors);
    reader.ReadInteger("slots", aLimits.slots, 1, 1024);
    reader.ReadInteger("connections", aLimits.connections, 1, 1024);
    reader.ReadMilliseconds("connect_ms", aLimits.connectTime, 1, 10000);
    reader.ReadInteger("cold_allowance", aLimits.coldAllowance, 1, 1024);
    reader.ReadInteger("warm_completions", aLimits.warmCompletions, 1, 1000);
    reader.ReportUnknownFields();
    if (aLimits.coldAllowance > aLimits.slots) {
      reader.AddError("cold_allowance",
                      std::to_string(aLimits.coldAllowance),
                      fmt::format("at most slots, which is {}", aLimits.slots));
    }
    if (aLimits.connections < aLimits.slots) {
      reader.AddError(
        "connections",
        std::to_string(aLimits.connections),
        fmt::format("at least slots, which is {}", aLimits.slots));
    }
  }

  void ReadServer(std::string aId,
                  const json::value& aValue,
                  std::string aPointer,
                  std::map<ServerId, ServerSpec, std::less<>>& aServers)
  {
    JsonFields reader(aValue, aPointer, mErrors);
    ServerSpec server;
    ReadAddress(reader, server.address);
    server.failureDomain = TakeName(reader, "failure_domain");
    if (!server.failureDomain.empty() &&
        !mDocument.failureDomains.contains(server.failureDomain)) {
      reader.AddError("failure_domain",
                      ToShortJson(json::value(server.failureDomain)),
                      "a key of /failure_domains");
    }
    server.labels = ReadLabels(reader);
    reader.ReportUnknownFields();
    const auto [it, inserted] = mServerPointers.emplace(aId, aPointer);
    if (!inserted) {
      mErrors.push_back({ std::move(aPointer),
                          ToShortJson(json::value(aId)),
                          fmt::format("a server id that is unique in the "
                                      "document; it is also at {}",
                                      it->second) });
    }
    aServers.emplace(std::move(aId), std::move(server));
  }

  void ReadAddress(JsonFields& aReader, std::string& aAddress)
  {
    constexpr std::string_view kAllowed =
      "an IP address and a port from 1 to 65535, such as 127.0.0.1:9001 or "
      "[::1]:9001";
    const auto* value = aReader.Read("address", true, kAllowed);
    if (value == nullptr) {
      return;
    }
    const auto* text = value->if_string();
    if (text == nullptr || !IsAddress(*text)) {
      aReader.AddError("address", ToShortJson(*value), kAllowed);
      return;
    }
    aAddress = *text;
    const auto [it, inserted] =
      mAddressPointers.emplace(aAddress, aReader.PointerTo("address"));
    if (!inserted) {
      aReader.AddError(
        "address",
        ToShortJson(*value),
        fmt::format("an address that is unique in the document; it "
                    "is also at {}",
                    it->second));
    }
  }

  void ReadIndex(const json::value& aValue)
  {
    JsonFields reader(aValue, "/index", mErrors);
    auto& index = mDocument.index;
    reader.ReadInteger("serving", index.serving, 1, kMaxVersion, true);
    if (const auto* object = reader.ReadObject("versions", true)) {
      for (const auto& it : *object) {
        const std::string_view key = it.key();
        const auto pointer = JsonPointer("/index/versions", key);
        const auto version = ParseIndexVersion(key);
        if (!version) {
          mErrors.push_back({ pointer,
                              ToShortJson(json::value(key)),
                              fmt::format("as a key, an integer from 1 to {} "
                                          "without leading zeros",
                                          kMaxVersion) });
        }
        ReadShards(it.value(), pointer, index.versions[version.value_or(0)]);
      }
      if (index.serving != 0 && !index.versions.contains(index.serving)) {
        reader.AddError(
          "serving", std::to_string(index.serving), "a key of /index/versions");
      }
    }
    reader.ReportUnknownFields();
  }

  void ReadShards(const json::value& aValue,
                  const std::string& aPointer,
                  ShardMap& aShards)
  {
    JsonFields reader(aValue, aPointer, mErrors);
    ForEach(reader,
            "shards",
            true,
            [&](std::string aId, const json::value& aIt, std::string aAt) {
              JsonFields shardReader(aIt, std::move(aAt), mErrors);
              ShardSpec shard;
              shard.service = TakeName(shardReader, "service");
              if (!shard.service.empty() &&
                  !mDocument.services.contains(shard.service)) {
                shardReader.AddError("service",
                                     ToShortJson(json::value(shard.service)),
                                     "a key of /services");
              }
              shard.labels = ReadLabels(shardReader);
              shardReader.ReportUnknownFields();
              aShards.emplace(std::move(aId), std::move(shard));
            });
    reader.ReportUnknownFields();
  }

  void ReadSelectors(JsonFields& aReader)
  {
    const auto* value = aReader.Read("selectors", true, "an array");
    if (value == nullptr) {
      return;
    }
    const auto* array = value->if_array();
    if (array == nullptr) {
      aReader.AddError("selectors", ToShortJson(*value), "an array");
      return;
    }
    std::unordered_map<std::string, std::string> names;
    for (std::size_t n = 0; n < array->size(); ++n) {
      const auto pointer = JsonPointer("/selectors", std::to_string(n));
      JsonFields reader((*array)[n], pointer, mErrors);
      SelectorSpec selector;
      selector.name = TakeName(reader, "name");
      ReadSelector(reader, "callers", selector.callers);
      ReadSelector(reader, "requests", selector.requests);
      ReadSelector(reader, "targets", selector.targets);
      reader.ReportUnknownFields();
      const auto [it, inserted] = names.emplace(selector.name, pointer);
      if (!inserted && !selector.name.empty()) {
        reader.AddError(
          "name",
          ToShortJson(json::value(selector.name)),
          fmt::format("a unique name; it is also at {}", it->second));
      }
      mDocument.selectors.push_back(std::move(selector));
    }
  }

  static void ReadSelector(JsonFields& aReader,
                           std::string_view aKey,
                           Selector& aSelector)
  {
    constexpr std::string_view kAllowed =
      "a selector such as `a=b,c!=d,e in (f,g),h notin (i),j,!k`";
    const auto* value = aReader.Read(aKey, true, kAllowed);
    if (value == nullptr) {
      return;
    }
    const auto* text = value->if_string();
    if (text == nullptr) {
      aReader.AddError(aKey, ToShortJson(*value), kAllowed);
      return;
    }
    std::string why;
    if (auto selector = Selector::Parse(*text, why)) {
      aSelector = std::move(*selector);
    } else {
      aReader.AddError(
        aKey, ToShortJson(*value), fmt::format("{}; {}", kAllowed, why));
    }
  }

  void ReadLimits(const json::value& aValue)
  {
    JsonFields reader(aValue, "/limits", mErrors);
    auto& limits = mDocument.limits;
    reader.ReadMilliseconds(
      "max_subrequest_ms", limits.maxSubrequest, 1, 10000);
    reader.ReadInteger("hedge_percent", limits.hedgePercent, 0, 100);
    reader.ReadInteger("queue_per_server", limits.queuePerServer, 1, 4096);
    reader.ReadInteger(
      "queries_in_progress", limits.queriesInProgress, 1, 65536);
    reader.ReportUnknownFields();
  }

  std::vector<FieldError>& mErrors;
  Document mDocument;
  std::unordered_map<std::string, std::string> mServerPointers;
  std::unordered_map<std::string, std::string> mAddressPointers;
};

/// Adds a field unless it has its default.
template<typename T>
void Put(json::object& aObject,
         std::string_view aKey,
         const T& aValue,
         const T& aDefault)
{
  if (aValue == aDefault) {
    return;
  }
  if constexpr (std::is_same_v<T, milliseconds>) {
    aObject.emplace(aKey, aValue.count());
  } else {
    aObject.emplace(aKey, aValue);
  }
}

void PutLabels(json::object& aObject, const Labels& aLabels)
{
  if (aLabels.empty()) {
    return;
  }
  json::object labels;
  labels.reserve(aLabels.size());
  for (const auto& [key, value] : aLabels) {
    labels.emplace(key, value);
  }
  aObject.emplace("labels", std::move(labels));
}

void PutUnlessEmpty(json::object& aObject,
                    std::string_view aKey,
                    json::object aValue)
{
  if (!aValue.empty()) {
    aObject.emplace(aKey, std::move(aValue));
  }
}

/// An object with one member per element of a map.
template<typename Map, typename F>
json::object MapToJson(const Map& aMap, F aFunction)
{
  json::object result;
  result.reserve(aMap.size());
  for (const auto& [key, value] : aMap) {
    result.emplace(fmt::format("{}", key), aFunction(value));
  }
  return result;
}

json::object DomainToJson(const DomainSpec& aDomain)
{
  json::object result;
  PutLabels(result, aDomain.labels);
  result.emplace("region", aDomain.region);
  return result;
}

json::object ServerToJson(const ServerSpec& aServer)
{
  json::object result;
  result.emplace("address", aServer.address);
  result.emplace("failure_domain", aServer.failureDomain);
  PutLabels(result, aServer.labels);
  return result;
}

json::object ServiceToJson(const ServiceSpec& aService)
{
  const ServiceLimits def;
  const auto& is = aService.limits;
  json::object limits;
  Put(limits, "cold_allowance", is.coldAllowance, def.coldAllowance);
  Put(limits, "connect_ms", is.connectTime, def.connectTime);
  Put(limits, "connections", is.connections, def.connections);
  Put(limits, "slots", is.slots, def.slots);
  Put(limits, "warm_completions", is.warmCompletions, def.warmCompletions);
  json::object result;
  PutLabels(result, aService.labels);
  PutUnlessEmpty(result, "limits", std::move(limits));
  result.emplace("servers", MapToJson(aService.servers, ServerToJson));
  return result;
}

json::object ShardToJson(const ShardSpec& aShard)
{
  json::object result;
  PutLabels(result, aShard.labels);
  result.emplace("service", aShard.service);
  return result;
}

json::object ShardMapToJson(const ShardMap& aShards)
{
  return { { "shards", MapToJson(aShards, ShardToJson) } };
}

json::object SelectorToJson(const SelectorSpec& aSelector)
{
  return { { "callers", aSelector.callers.Text() },
           { "name", aSelector.name },
           { "requests", aSelector.requests.Text() },
           { "targets", aSelector.targets.Text() } };
}

json::object LimitsToJson(const LimitsSpec& aLimits)
{
  const LimitsSpec def;
  json::object result;
  Put(result, "hedge_percent", aLimits.hedgePercent, def.hedgePercent);
  Put(result, "max_subrequest_ms", aLimits.maxSubrequest, def.maxSubrequest);
  Put(result,
      "queries_in_progress",
      aLimits.queriesInProgress,
      def.queriesInProgress);
  Put(result, "queue_per_server", aLimits.queuePerServer, def.queuePerServer);
  return result;
}

} // namespace

json::value ToJson(const Document& aDocument)
{
  const Document def;
  json::array selectors;
  for (const auto& it : aDocument.selectors) {
    selectors.push_back(SelectorToJson(it));
  }
  json::object ownership;
  Put(ownership,
      "slices_per_domain",
      aDocument.slicesPerDomain,
      def.slicesPerDomain);
  json::object result;
  Put(result, "changed_at", aDocument.changedAt, def.changedAt);
  Put(result, "changed_by", aDocument.changedBy, def.changedBy);
  result.emplace("failure_domains",
                 MapToJson(aDocument.failureDomains, DomainToJson));
  result.emplace(
    "index",
    json::object{
      { "serving", aDocument.index.serving },
      { "versions", MapToJson(aDocument.index.versions, ShardMapToJson) } });
  PutUnlessEmpty(result, "limits", LimitsToJson(aDocument.limits));
  PutUnlessEmpty(result, "ownership", std::move(ownership));
  result.emplace("selectors", std::move(selectors));
  result.emplace("services", MapToJson(aDocument.services, ServiceToJson));
  result.emplace("version", aDocument.version);
  return result;
}

std::optional<Document> FromJson(const json::value& aValue, Error& aError)
{
  auto result = DocumentReader(aError.fields).Read(aValue);
  if (aError.fields.empty()) {
    return result;
  }
  aError.code = ResultCode::InvalidConfiguration;
  aError.message = fmt::format("the configuration document has {} error{}",
                               aError.fields.size(),
                               aError.fields.size() == 1 ? "" : "s");
  return std::nullopt;
}

std::optional<Document> ParseDocument(std::string_view aText, Error& aError)
{
  aError = { ResultCode::InvalidConfiguration, {}, {} };
  if (aText.size() > kMaxDocumentBytes) {
    aError.message = fmt::format("the document has {} bytes; at most {} are "
                                 "allowed",
                                 aText.size(),
                                 kMaxDocumentBytes);
    aError.fields.push_back(
      { "",
        fmt::format("{} bytes", aText.size()),
        fmt::format("at most {} bytes", kMaxDocumentBytes) });
    return std::nullopt;
  }
  json::error_code ec;
  json::parser parser;
  const auto read = parser.write_some(aText.data(), aText.size(), ec);
  if (!ec && read < aText.size()) {
    ec = json::error::extra_data;
  }
  if (ec) {
    const auto seen = fmt::format("{} at byte {}", ec.message(), read);
    aError.message = "the document is not valid JSON: " + seen;
    aError.fields.push_back({ "", seen, "a JSON text in UTF-8" });
    return std::nullopt;
  }
  const auto value = parser.release();
  FindDuplicateKeys(aText, aError.fields);
  return FromJson(value, aError);
}

Result<Document> ParseDocument(std::string_view aText)
{
  Error error;
  auto result = ParseDocument(aText, error);
  if (!result) {
    return boost::leaf::new_error(std::move(error));
  }
  return std::move(*result);
}

std::string CanonicalText(const Document& aDocument)
{
  return json::serialize(ToJson(aDocument));
}

DocumentHash HashOfText(std::string_view aCanonicalText) noexcept
{
  const auto hash = XXH3_128bits(aCanonicalText.data(), aCanonicalText.size());
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  DocumentHash result;
  std::copy_n(std::begin(canonical.digest), result.size(), result.begin());
  return result;
}

DocumentHash HashOf(const Document& aDocument)
{
  return HashOfText(CanonicalText(aDocument));
}

std::string ToString(const DocumentHash& aHash)
{
  std::string result;
  for (const auto it : aHash) {
    result += fmt::format("{:02x}", it);
  }
  return result;
}

} // namespace bronzedeal::version
