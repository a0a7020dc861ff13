#include "bronzedeal/gateway/partial_query.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace bronzedeal::gateway {

namespace {

// Headers between instances. Ids and signatures contain none of the separators
// space, `=` and `|`.
constexpr const char* kShardsHeader = "X-Bronzedeal-Shards";
constexpr const char* kOptionsHeader = "X-Bronzedeal-Partial";
constexpr const char* kPartsHeader = "X-Bronzedeal-Parts";
constexpr const char* kWithheldHeader = "X-Bronzedeal-Withheld";
/// Longest time for which one answer withholds requests from a server.
constexpr auto kMaxWithheldTime = milliseconds(2000);
/// Number of values in the options header.
constexpr std::size_t kOptionCount = 5;

std::vector<std::string_view> Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string_view> parts;
  while (!aText.empty()) {
    const auto at = aText.find(aSeparator);
    parts.push_back(aText.substr(0, at));
    aText =
      at == std::string_view::npos ? std::string_view() : aText.substr(at + 1);
  }
  return parts;
}

std::optional<std::int64_t> ParseNonNegative(std::string_view aText)
{
  std::int64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto [at, ec] = std::from_chars(aText.data(), end, value);
  if (ec != std::errc{} || at != end || value < 0) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::string EncodePartialQuery(const PartialQuery& aQuery)
{
  std::string shards;
  for (const auto& it : aQuery.shards) {
    shards += shards.empty() ? "" : " ";
    shards += it.group + '=';
    for (std::size_t n = 0; n < it.servers.size(); ++n) {
      shards += (n > 0 ? "|" : "") + it.servers[n];
    }
  }
  return fmt::format("{}: {}\r\n{}: {} {} {} {} {}\r\n",
                     kShardsHeader,
                     shards,
                     kOptionsHeader,
                     aQuery.topRecords,
                     aQuery.priority,
                     aQuery.answerTimeout.count(),
                     aQuery.objective.count(),
                     aQuery.isHedge ? 1 : 0);
}

std::optional<PartialQuery> DecodePartialQuery(const RequestMessage& aRequest)
{
  const std::string_view options(aRequest[kOptionsHeader]);
  std::vector<std::int64_t> numbers;
  for (const auto it : Split(options, ' ')) {
    const auto number = ParseNonNegative(it);
    if (!number) {
      return std::nullopt;
    }
    numbers.push_back(*number);
  }
  if (numbers.size() != kOptionCount) {
    return std::nullopt;
  }
  PartialQuery query;
  query.topRecords = static_cast<std::size_t>(numbers[0]);
  query.priority = static_cast<unsigned>(numbers[1]);
  query.answerTimeout = std::min(milliseconds(numbers[2]), kMaxPartialTime);
  query.objective = std::min(milliseconds(numbers[3]), kMaxPartialTime);
  query.isHedge = numbers[4] != 0;
  for (const auto it : Split(aRequest[kShardsHeader], ' ')) {
    const auto fields = Split(it, '=');
    if (fields.size() != 2) {
      return std::nullopt;
    }
    PartialShard shard;
    shard.group = std::string(fields[0]);
    for (const auto id : Split(fields[1], '|')) {
      shard.servers.emplace_back(id);
    }
    query.shards.push_back(std::move(shard));
  }
  if (query.shards.empty()) {
    return std::nullopt;
  }
  return query;
}

void RemovePartialQueryHeaders(RequestMessage& aRequest)
{
  aRequest.erase(kShardsHeader);
  aRequest.erase(kOptionsHeader);
}

std::string EncodeShardResults(const std::vector<ShardResult>& aResults)
{
  std::string text;
  for (const auto& it : aResults) {
    text += text.empty() ? "" : " ";
    text += it.group + '=' + it.signature;
  }
  return fmt::format("{}: {}\r\n", kPartsHeader, text);
}

std::string EncodeWithheldServers(const std::vector<WithheldServer>& aServers)
{
  std::string text;
  for (const auto& it : aServers) {
    text += fmt::format(
      "{}{}={}", text.empty() ? "" : " ", it.server, it.wait.count());
  }
  return text.empty() ? text : fmt::format("{}: {}\r\n", kWithheldHeader, text);
}

std::vector<WithheldServer> DecodeWithheldServers(
  const ResponseMessage& aResponse)
{
  std::vector<WithheldServer> servers;
  for (const auto it : Split(aResponse[kWithheldHeader], ' ')) {
    const auto at = it.rfind('=');
    if (at == std::string_view::npos) {
      continue;
    }
    if (const auto wait = ParseNonNegative(it.substr(at + 1))) {
      servers.push_back({ std::string(it.substr(0, at)),
                          std::min(milliseconds(*wait), kMaxWithheldTime) });
    }
  }
  return servers;
}

std::optional<std::vector<ShardResult>> DecodeShardResults(
  const ResponseMessage& aResponse)
{
  if (aResponse.result_int() != 200 ||
      aResponse.find(kPartsHeader) == aResponse.end()) {
    return std::nullopt;
  }
  std::vector<ShardResult> parts;
  for (const auto it : Split(aResponse[kPartsHeader], ' ')) {
    const auto at = it.find('=');
    if (at == std::string_view::npos) {
      return std::nullopt;
    }
    parts.push_back(
      { std::string(it.substr(0, at)), std::string(it.substr(at + 1)) });
  }
  return parts;
}

} // namespace bronzedeal::gateway
