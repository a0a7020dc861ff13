#include "bronzedeal/gateway/relay_message.hpp"

#include "bronzedeal/gateway/route_codec.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <fmt/format.h>

namespace bronzedeal::gateway {

namespace json = boost::json;

namespace {

/// Header of a query: topic (0 servers, 1 operators), epoch, sequence number,
/// configuration version and wait in milliseconds, separated by spaces.
constexpr const char* kQueryHeader = "X-Bronzedeal-Metadata-After";

/// A query may wait this long for a change; an instance asks for less.
constexpr milliseconds kMaxWait = std::chrono::seconds(30);

/// Removes a number and the space after it from the start of the text; nothing
/// when the text doesn't begin with a number.
std::optional<std::uint64_t> TakeNumber(std::string_view& aText)
{
  std::uint64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto [at, ec] = std::from_chars(aText.data(), end, value);
  if (ec != std::errc{}) {
    return std::nullopt;
  }
  aText.remove_prefix(static_cast<std::size_t>(at - aText.data()));
  if (!aText.empty() && aText.front() == ' ') {
    aText.remove_prefix(1);
  }
  return value;
}

json::array EncodeServer(const ServerRecord& aServer)
{
  return json::array{ aServer.id,
                      aServer.group,
                      aServer.address.address().to_string(),
                      aServer.address.port(),
                      aServer.failureDomain,
                      aServer.slots,
                      aServer.draining,
                      aServer.remainingColdTime.count(),
                      aServer.startedAtMs,
                      aServer.sequence };
}

/// Throws when a member is missing or has another type.
ServerRecord DecodeServer(const json::array& aFields)
{
  ServerRecord record;
  record.id = aFields.at(0).as_string();
  record.group = aFields.at(1).as_string();
  record.address = { boost::asio::ip::make_address(
                       aFields.at(2).as_string().c_str()),
                     aFields.at(3).to_number<std::uint16_t>() };
  record.failureDomain = aFields.at(4).as_string();
  record.slots = aFields.at(5).to_number<unsigned>();
  record.draining = aFields.at(6).as_bool();
  record.remainingColdTime =
    milliseconds(aFields.at(7).to_number<std::int64_t>());
  record.startedAtMs = aFields.at(8).to_number<std::uint64_t>();
  // Instances of former versions don't send it.
  if (const auto* sequence = aFields.if_contains(9)) {
    record.sequence = sequence->to_number<std::uint64_t>();
  }
  return record;
}

json::array EncodeNames(const std::vector<std::string>& aNames)
{
  json::array names;
  for (const auto& it : aNames) {
    names.emplace_back(it);
  }
  return names;
}

/// Throws when the value is not an array of strings.
std::vector<std::string> DecodeNames(const json::value& aValue)
{
  std::vector<std::string> names;
  for (const auto& it : aValue.as_array()) {
    names.emplace_back(it.as_string());
  }
  return names;
}

} // namespace

std::string EncodeRelayQuery(const RelayQuery& aQuery)
{
  return fmt::format("GET /metadata HTTP/1.1\r\nHost: instance\r\n"
                     "{}: {} {} {} {} {}\r\n\r\n",
                     kQueryHeader,
                     aQuery.topic == MetadataTopic::Servers ? 0 : 1,
                     aQuery.epoch,
                     aQuery.afterSequence,
                     aQuery.configVersion,
                     aQuery.wait.count());
}

std::optional<RelayQuery> DecodeRelayQuery(const RequestMessage& aRequest)
{
  std::string_view text(aRequest[kQueryHeader]);
  const auto topic = TakeNumber(text);
  const auto epoch = TakeNumber(text);
  const auto after = TakeNumber(text);
  const auto version = TakeNumber(text);
  const auto wait = TakeNumber(text);
  if (!topic || *topic > 1 || !epoch || !after || !version || !wait ||
      !text.empty()) {
    return std::nullopt;
  }
  return RelayQuery{ *topic == 0 ? MetadataTopic::Servers
                                 : MetadataTopic::Operators,
                     *epoch,
                     *after,
                     *version,
                     milliseconds(std::min<std::uint64_t>(
                       *wait, static_cast<std::uint64_t>(kMaxWait.count()))) };
}

std::string EncodeRelayReply(const RelayReply& aReply)
{
  json::array servers;
  servers.reserve(aReply.servers.size());
  for (const auto& it : aReply.servers) {
    servers.push_back(EncodeServer(it));
  }
  json::object root{ { "epoch", aReply.epoch },
                     { "sequence", aReply.sequence },
                     { "servers", std::move(servers) },
                     { "removed", EncodeNames(aReply.removedServers) },
                     { "withdrawn", EncodeNames(aReply.withdrawnDomains) },
                     { "restored", EncodeNames(aReply.restoredDomains) } };
  if (aReply.era) {
    root["era"] = *aReply.era;
  }
  if (aReply.config) {
    root["config"] = EncodeRouteConfig(*aReply.config);
  }
  return json::serialize(root);
}

std::optional<RelayReply> DecodeRelayReply(std::string_view aText)
{
  try {
    const auto root = json::parse(aText).as_object();
    RelayReply reply;
    reply.epoch = root.at("epoch").to_number<Incarnation>();
    reply.sequence = root.at("sequence").to_number<std::uint64_t>();
    for (const auto& it : root.at("servers").as_array()) {
      reply.servers.push_back(DecodeServer(it.as_array()));
    }
    reply.removedServers = DecodeNames(root.at("removed"));
    reply.withdrawnDomains = DecodeNames(root.at("withdrawn"));
    reply.restoredDomains = DecodeNames(root.at("restored"));
    if (const auto* era = root.if_contains("era")) {
      reply.era = era->to_number<MetadataEra>();
    }
    if (const auto* config = root.if_contains("config")) {
      reply.config = DecodeRouteConfig(*config);
    }
    return reply;
  } catch (const std::exception&) {
    // The caller logs a reply that can't be decoded.
    return std::nullopt;
  }
}

} // namespace bronzedeal::gateway
