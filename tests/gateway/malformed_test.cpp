#include "bronzedeal/gateway/partial_query.hpp"
#include "bronzedeal/gateway/peer_table.hpp"
#include "bronzedeal/gateway/relay_message.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bronzedeal::gateway {

namespace {

/// Overwrites, removes and inserts random bytes, and cuts the text.
std::string Mutate(std::string aText)
{
  const auto changes = *rc::gen::inRange(1, 6);
  for (int n = 0; n < changes && !aText.empty(); ++n) {
    const auto at = *rc::gen::inRange<std::size_t>(0, aText.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        aText[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        aText.erase(at, *rc::gen::inRange<std::size_t>(1, 8));
        break;
      case 2:
        aText.insert(at,
                     *rc::gen::element<std::string>("[",
                                                    "-1",
                                                    "1e999",
                                                    "{}",
                                                    "null",
                                                    "99999999999999999999",
                                                    "\"",
                                                    ","));
        break;
      default:
        aText.resize(at);
    }
  }
  return aText;
}

} // namespace

// Guards against a datagram that ends a process.
RC_GTEST_PROP(MalformedMessages, DatagramsAreDecodedOrRejected, ())
{
  PeerState state;
  state.address = boost::asio::ip::make_address("10.1.0.9");
  state.instance = "gw-0";
  state.failureDomain = "fd-a";
  state.incarnation = 1'784'912'767'116;
  std::vector<PeerState> states;
  const bool isDecoded =
    DecodePeers(Mutate(EncodePeers({ state, state, state })), states);
  RC_ASSERT(isDecoded || states.size() <= 3);
}

// Guards against a reply between instances that ends a process.
RC_GTEST_PROP(MalformedMessages, RelayRepliesAreDecodedOrRejected, ())
{
  RelayReply reply;
  reply.epoch = 7;
  reply.sequence = 9;
  ServerRecord record;
  record.id = "s-0";
  record.group = "g0";
  record.address = { boost::asio::ip::make_address("10.1.0.9"), 80 };
  reply.servers = { record, record };
  reply.removedServers = { "s-1" };
  reply.config = RouteConfig{};
  reply.config->version = 3;
  reply.config->routes.emplace_back();
  reply.withdrawnDomains = { "fd-a" };
  const auto decoded = DecodeRelayReply(Mutate(EncodeRelayReply(reply)));
  RC_ASSERT(!decoded || decoded->servers.size() <= 2);
}

// Guards against headers between instances that end a process.
RC_GTEST_PROP(MalformedMessages,
              HeadersBetweenInstancesAreDecodedOrRejected,
              ())
{
  PartialQuery query;
  query.shards = { { "g1", { "s-1", "s-2" } }, { "g2", { "s-3" } } };
  query.topRecords = 5;
  const auto value = [](const std::string& aLines, const std::string& aName) {
    const auto at = aLines.find(aName + ": ") + aName.size() + 2;
    return aLines.substr(at, aLines.find("\r\n", at) - at);
  };
  const auto lines = EncodePartialQuery(query);
  RequestMessage request;
  request.set("X-Bronzedeal-Shards",
              Mutate(value(lines, "X-Bronzedeal-Shards")));
  request.set("X-Bronzedeal-Partial",
              Mutate(value(lines, "X-Bronzedeal-Partial")));
  const auto decoded = DecodePartialQuery(request);
  RC_ASSERT(!decoded || !decoded->shards.empty());
  ResponseMessage response;
  response.result(200);
  const auto parts = EncodeShardResults({ { "g1", "p1" }, { "g2", "p2" } });
  response.set("X-Bronzedeal-Parts",
               Mutate(value(parts, "X-Bronzedeal-Parts")));
  const auto results = DecodeShardResults(response);
  RC_ASSERT(!results || results->size() <= 10);
}

} // namespace bronzedeal::gateway
