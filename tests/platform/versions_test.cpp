#include "bronzedeal/gateway/crash_notice.hpp"
#include "bronzedeal/gateway/partial_query.hpp"
#include "bronzedeal/gateway/peer_table.hpp"
#include "bronzedeal/gateway/relay_message.hpp"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/json/parse.hpp>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <set>

// Messages between instances as bench/record_messages.py recorded them from the
// versions that may run beside this one. What such a version sends must be read
// here, and what is sent to it must be what it sends itself, or more.
namespace bronzedeal::gateway::test {

namespace {

namespace fs = std::filesystem;
namespace http = boost::beast::http;
namespace json = boost::json;

std::vector<fs::path> RecordedVersions()
{
  std::vector<fs::path> folders;
  const auto root =
    fs::path(BRONZEDEAL_SOURCE_DIR) / "tests" / "platform" / "recorded";
  for (const auto& it : fs::directory_iterator(root)) {
    folders.push_back(it.path());
  }
  std::sort(folders.begin(), folders.end());
  return folders;
}

std::string Read(const fs::path& aFile)
{
  std::ifstream file(aFile, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), {} };
}

/// The message of a file that holds one request or response.
template<bool IsRequest>
auto ParseMessage(const std::string& aText)
{
  http::parser<IsRequest, http::string_body> parser;
  parser.eager(true);
  boost::system::error_code ec;
  parser.put(boost::asio::buffer(aText), ec);
  EXPECT_FALSE(ec) << ec.message();
  EXPECT_TRUE(parser.is_done());
  return parser.release();
}

/// True if `aNow` has what `aFormer` has, and perhaps more members and
/// elements.
bool Extends(const json::value& aNow, const json::value& aFormer)
{
  if (const auto* former = aFormer.if_object()) {
    const auto* now = aNow.if_object();
    return now != nullptr &&
           std::all_of(former->begin(), former->end(), [&](const auto& aIt) {
             const auto* value = now->if_contains(aIt.key());
             return value != nullptr && Extends(*value, aIt.value());
           });
  }
  if (const auto* former = aFormer.if_array()) {
    const auto* now = aNow.if_array();
    return now != nullptr && now->size() >= former->size() &&
           std::equal(former->begin(),
                      former->end(),
                      now->begin(),
                      [](const auto& aOld, const auto& aNew) {
                        return Extends(aNew, aOld);
                      });
  }
  return aNow == aFormer;
}

/// Versions that have no crash notices, or whose notices weren't recorded
/// (de4dcf5).
const std::set<std::string> kWithoutCrashNotices{ "405930d",
                                                  "6c8d19d",
                                                  "ae2591f",
                                                  "de4dcf5" };

/// The list of a datagram that a decoded notice comes from.
std::string_view ListOf(const CrashNotice& aNotice)
{
  if (aNotice.trialTime) {
    return "trials";
  }
  return aNotice.unprovenRuns.empty() ? "crashes" : "unproven";
}

/// Runs a check for each version that has been recorded.
class Versions : public testing::TestWithParam<fs::path>
{
protected:
  [[nodiscard]] static std::string Message(std::string_view aName)
  {
    auto text = Read(GetParam() / aName);
    EXPECT_FALSE(text.empty()) << aName;
    return text;
  }
};

} // namespace

// Guards against instances that don't hear those of another version.
TEST_P(Versions, SpeakTheSameGossip)
{
  const auto text = Message("gossip.json");
  std::vector<PeerState> states;
  ASSERT_TRUE(DecodePeers(text, states));
  ASSERT_GE(states.size(), 2U);
  for (const auto& it : states) {
    EXPECT_TRUE(it.ready && it.serving && it.metadataReachable);
  }
  EXPECT_TRUE(Extends(json::parse(EncodePeers(states)), json::parse(text)));
}

// Guards against crashes that instances of another version don't hear of.
TEST_P(Versions, TellTheSameCrashes)
{
  if (kWithoutCrashNotices.contains(GetParam().filename().string())) {
    return;
  }
  const auto text = Message("crash-notices.json");
  const auto notices = DecodeCrashNotices(text);
  ASSERT_TRUE(notices);
  EXPECT_TRUE(std::any_of(notices->begin(),
                          notices->end(),
                          [](const auto& aIt) { return !aIt.runs.empty(); }));
  // Former versions read each list by itself, so a content may have a notice
  // for each.
  for (const auto* list : { "crashes", "unproven", "trials" }) {
    std::vector<CrashNotice> ofList;
    std::copy_if(notices->begin(),
                 notices->end(),
                 std::back_inserter(ofList),
                 [&](const auto& aIt) { return ListOf(aIt) == list; });
    const auto former = json::parse(text);
    if (const auto* rows = former.as_object().if_contains(list)) {
      EXPECT_TRUE(
        Extends(json::parse(EncodeCrashNotices(ofList)).at(list), *rows));
    }
  }
}

// Guards against parts of queries that an instance of another version refuses.
TEST_P(Versions, AskForTheSamePartsOfQueries)
{
  const auto text = Message("partial-query.http");
  const auto query = DecodePartialQuery(ParseMessage<true>(text));
  ASSERT_TRUE(query);
  ASSERT_EQ(query->shards.size(), 2U);
  EXPECT_EQ(query->shards.front().servers.size(), 1U);
  EXPECT_GT(query->topRecords, 0U);
  EXPECT_GT(query->answerTimeout.count(), 0);
  EXPECT_NE(text.find(EncodePartialQuery(*query)), std::string::npos);
}

// Guards against parts of answers that are lost between versions.
TEST_P(Versions, AnswerPartsOfQueriesAlike)
{
  const auto text = Message("partial-reply.http");
  const auto results = DecodeShardResults(ParseMessage<false>(text));
  ASSERT_TRUE(results);
  ASSERT_EQ(results->size(), 2U);
  for (const auto& it : *results) {
    EXPECT_FALSE(it.signature.empty()) << it.group;
  }
  EXPECT_NE(text.find(EncodeShardResults(*results)), std::string::npos);
}

// Guards against instances that can't read the servers through one of another
// version.
TEST_P(Versions, RelayTheSameServers)
{
  const auto body = ParseMessage<false>(Message("relay-servers.http")).body();
  const auto reply = DecodeRelayReply(body);
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->servers.size(), 7U);
  EXPECT_TRUE(
    Extends(json::parse(EncodeRelayReply(*reply)), json::parse(body)));
}

// Guards against a configuration that is lost or changed between versions.
TEST_P(Versions, RelayTheSameConfiguration)
{
  const auto body = ParseMessage<false>(Message("relay-operators.http")).body();
  const auto reply = DecodeRelayReply(body);
  ASSERT_TRUE(reply);
  ASSERT_TRUE(reply->config);
  EXPECT_EQ(reply->config->routes.size(), 3U);
  EXPECT_TRUE(
    Extends(json::parse(EncodeRelayReply(*reply)), json::parse(body)));
}

INSTANTIATE_TEST_SUITE_P(Recorded,
                         Versions,
                         testing::ValuesIn(RecordedVersions()),
                         [](const auto& aInfo) {
                           return "Version" + aInfo.param.filename().string();
                         });

} // namespace bronzedeal::gateway::test
