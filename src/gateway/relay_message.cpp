#include "bronzedeal/gateway/relay_message.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <fmt/format.h>

namespace bronzedeal::gateway {

namespace json = boost::json;

namespace {

/// Header between instances: epoch, sequence and wait in milliseconds.
constexpr const char* kAfter = "X-Bronzedeal-Servers-After";

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
                      aServer.coldLeft.count(),
                      aServer.startedAtMs };
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
  record.coldLeft = milliseconds(aFields.at(7).to_number<std::int64_t>());
  record.startedAtMs = aFields.at(8).to_number<std::uint64_t>();
  return record;
}

} // namespace

std::string EncodeRelayQuery(const RelayQuery& aQuery)
{
  return fmt::format("GET /servers HTTP/1.1\r\nHost: instance\r\n"
                     "{}: {} {} {}\r\n\r\n",
                     kAfter,
                     aQuery.epoch,
                     aQuery.after,
                     aQuery.wait.count());
}

std::optional<RelayQuery> DecodeRelayQuery(const RequestMessage& aRequest)
{
  std::string_view text(aRequest[kAfter]);
  const auto epoch = TakeNumber(text);
  const auto after = TakeNumber(text);
  const auto wait = TakeNumber(text);
  if (!epoch || !after || !wait || !text.empty()) {
    return std::nullopt;
  }
  return RelayQuery{ *epoch, *after, milliseconds(*wait) };
}

std::string EncodeRelayReply(const RelayReply& aReply)
{
  json::array servers;
  servers.reserve(aReply.servers.size());
  for (const auto& it : aReply.servers) {
    servers.push_back(EncodeServer(it));
  }
  return json::serialize(json::object{
    { "epoch", aReply.epoch },
    { "sequence", aReply.sequence },
    { "servers", std::move(servers) },
    { "removed", json::array(aReply.removed.begin(), aReply.removed.end()) } });
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
    for (const auto& it : root.at("removed").as_array()) {
      reply.removed.emplace_back(it.as_string());
    }
    return reply;
  } catch (const std::exception&) {
    // The caller logs an answer that can't be read.
    return std::nullopt;
  }
}

} // namespace bronzedeal::gateway
