#pragma once

#include "bronzedeal/error.hpp"
#include "bronzedeal/types.hpp"
#include "bronzedeal/version/selector.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::version {

/// Values of the configuration service are limited to 1 MB.
inline constexpr std::size_t kMaxDocumentBytes = 1'048'576;

/// The schema, with units, defaults and ranges, is in docs/configuration.md.
struct DomainSpec
{
  std::string region;
  Labels labels;

  bool operator==(const DomainSpec&) const = default;
};

/// Limits of each server of a service.
struct ServiceLimits
{
  std::uint32_t slots = 2;
  std::uint32_t connections = 25;
  milliseconds connectTime{ 6 };
  std::uint32_t coldAllowance = 1;
  std::uint32_t warmCompletions = 8;

  bool operator==(const ServiceLimits&) const = default;
};

struct ServerSpec
{
  /// `IP:port`, unique in the document.
  std::string address;
  FailureDomain failureDomain;
  Labels labels;

  bool operator==(const ServerSpec&) const = default;
};

struct ServiceSpec
{
  Labels labels;
  ServiceLimits limits;
  /// Ids are unique in the whole document.
  std::map<ServerId, ServerSpec, std::less<>> servers;

  bool operator==(const ServiceSpec&) const = default;
};

struct ShardSpec
{
  ServiceId service;
  Labels labels;

  bool operator==(const ShardSpec&) const = default;
};

using ShardMap = std::map<ShardId, ShardSpec, std::less<>>;

struct IndexSpec
{
  IndexVersion serving = 0;
  std::map<IndexVersion, ShardMap> versions;

  bool operator==(const IndexSpec&) const = default;
};

/// Permits requests that match `requests`, of callers that match `callers`, on
/// servers that match `targets`.
struct SelectorSpec
{
  std::string name;
  Selector callers;
  Selector requests;
  Selector targets;

  bool operator==(const SelectorSpec&) const = default;
};

struct LimitsSpec
{
  /// Upper bound of the deadline of a sub-request.
  milliseconds maxSubrequest{ 1000 };
  /// Hedges and retries, in percent of sub-requests.
  std::uint32_t hedgePercent = 5;
  std::uint32_t queuePerServer = 64;
  std::uint32_t queriesInProgress = 256;

  bool operator==(const LimitsSpec&) const = default;
};

/// A valid configuration document.
struct Document
{
  ConfigVersion version = 0;
  std::string changedBy;
  std::string changedAt;
  std::map<FailureDomain, DomainSpec, std::less<>> failureDomains;
  std::map<ServiceId, ServiceSpec, std::less<>> services;
  IndexSpec index;
  std::vector<SelectorSpec> selectors;
  std::uint32_t slicesPerDomain = 6;
  LimitsSpec limits;

  bool operator==(const Document&) const = default;
};

using DocumentHash = std::array<std::uint8_t, 16>;

/// Parses and validates the whole document. Fails with `InvalidConfiguration`;
/// `Error::fields` lists every error of the document.
[[nodiscard]] Result<Document> ParseDocument(std::string_view aText);

/// The same without LEAF; on failure `aError` holds the error.
[[nodiscard]] std::optional<Document> ParseDocument(std::string_view aText,
                                                    Error& aError);

/// The document as JSON with sorted keys (index versions by number) and without
/// white space. Fields at their default are left out, so that the text is never
/// longer than the limit on documents. `ParseDocument(CanonicalText(d))` gives
/// `d`.
[[nodiscard]] std::string CanonicalText(const Document& aDocument);

/// xxhash128 of the canonical text, most significant byte first.
[[nodiscard]] DocumentHash HashOf(const Document& aDocument);
[[nodiscard]] DocumentHash HashOfText(std::string_view aCanonicalText) noexcept;

/// 32 hexadecimal digits.
[[nodiscard]] std::string ToString(const DocumentHash& aHash);

} // namespace bronzedeal::version
