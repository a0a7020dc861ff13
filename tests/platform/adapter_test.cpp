#include "../../platform/adapter.hpp"
#include "../../platform/entries.hpp"
#include "../../platform/node_settings.hpp"
#include "../../platform/store_client.hpp"

#include <absl/strings/escaping.h>
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bronzedeal::platform {

namespace {

using namespace gateway; // NOLINT: the decoded types

constexpr const char* kSettingsJson = R"({
  "node": "front-a-1", "ip": "10.1.0.9", "zone": "a", "region": "r",
  "bind-addresses": {"front": "10.1.0.9:8104", "ready": "10.1.0.9:8108",
                     "control": "10.1.0.9:8106",
                     "directory": "10.1.0.9:8100"},
  "internal-port-range": [7380, 7395],
  "seeds": ["10.2.0.21:8106"],
  "limits": {"cpu-share": 0.25, "cores": 2, "max-fds": 4100},
  "bounds": {"drain-ms": 5000, "contact-ms": 6000,
             "config-apply-ms": 4500, "grace-s": 6, "retry-budget-ratio": 0.3,
             "retry-window-s": 10, "retry-slack": 52, "warmup-overshoot": 2,
             "warmup-slack": 7, "ttl_max_s": 1},
  "platform": {"address": "10.200.1.7:8102"},
  "something-new": {"x": 1}
})";

std::string Base64(const std::string& aText)
{
  std::string out;
  absl::Base64Escape(aText, &out);
  return out;
}

/// The error of decoding invalid settings; a default error when they decode.
Error ErrorOf(const std::string& aText)
{
  return boost::leaf::try_handle_all(
    [&]() -> Result<Error> {
      BOOST_LEAF_CHECK(DecodeSettings(aText));
      return Error{};
    },
    [](const Error& aError) { return aError; },
    [] { return Error{}; });
}

const ServerRecord* ServerOf(const MetadataChange& aChange)
{
  const auto* changed = std::get_if<ServerChanged>(&aChange);
  return changed != nullptr ? &changed->record : nullptr;
}

const std::string kServerJson =
  R"({"service":"g","address":"10.128.0.9:8080","zone":"a","version":"v1",)"
  R"("slots":2,"state":"draining","warmup-left-ms":250,"sequence":4,)"
  R"("born":1700000000000})";

} // namespace

// Guards against limits of the platform that are misread and so exceeded.
TEST(NodeSettings, DecodesTheSettings)
{
  boost::leaf::try_handle_all(
    []() -> Result<void> {
      BOOST_LEAF_AUTO(settings, DecodeSettings(kSettingsJson));
      EXPECT_EQ(settings.instance, "front-a-1");
      EXPECT_EQ(settings.callerEndpoint.port(), 8104);
      EXPECT_EQ(settings.gossipEndpoint.port(), 7380);
      EXPECT_EQ(settings.seeds.size(), 1U);
      EXPECT_DOUBLE_EQ(settings.cores, 0.5);
      EXPECT_DOUBLE_EQ(settings.retryLimits.ratio, 0.3);
      EXPECT_DOUBLE_EQ(settings.coldServerLimits.slackRequests, 7);
      EXPECT_EQ(settings.maxDrainTime, milliseconds(5000));
      EXPECT_EQ(settings.contactTime, milliseconds(6000));
      EXPECT_EQ(settings.configActivationTime, milliseconds(4500));
      EXPECT_EQ(settings.addressTtl, milliseconds(1000));
      EXPECT_EQ(settings.headerNames.requestId, "Request-Id");
      return {};
    },
    [](const Error& aError) { FAIL() << aError.message; },
    [] { FAIL(); });
}

// Guards against settings that are applied in part, and against reporting only
// one error per start.
TEST(NodeSettings, ReportsEveryErrorInOnePass)
{
  EXPECT_EQ(ErrorOf("{").code, ResultCode::InvalidJson);
  std::string text = kSettingsJson;
  text.replace(text.find("front-a-1"), 9, "");
  text.replace(text.find("10.1.0.9:8104"), 13, "somewhere");
  const auto error = ErrorOf(text);
  ASSERT_EQ(error.fields.size(), 2U);
  EXPECT_EQ(error.fields[0].pointer, "/node");
  EXPECT_EQ(error.fields[1].pointer, "/bind-addresses/front");
}

// Guards against a reload that replaces valid settings by invalid ones, and
// against reporting the same error again.
TEST(Adapter, ReportsChangedSettingsOnceAndRejectsInvalidOnes)
{
  const auto path = testing::TempDir() + "bronzedeal-settings.json";
  std::ofstream(path) << kSettingsJson;
  Adapter adapter(path);
  EXPECT_TRUE(adapter.LoadSettings());
  EXPECT_FALSE(adapter.ReloadSettings().settings);
  std::ofstream(path) << kSettingsJson << " ";
  EXPECT_TRUE(adapter.ReloadSettings().settings);
  std::ofstream(path) << "{\"node\":";
  const auto invalidReload = adapter.ReloadSettings();
  EXPECT_FALSE(invalidReload.settings);
  EXPECT_FALSE(invalidReload.error.empty());
  EXPECT_TRUE(adapter.ReloadSettings().error.empty());
  std::remove(path.c_str());
}

// Guards against readiness probes and address requests that aren't recognized,
// and against a malformed address reply.
TEST(Adapter, RecognizesTargetsAndEncodesAddresses)
{
  const Adapter adapter("");
  EXPECT_TRUE(adapter.IsReadinessTarget("/api/readiness"));
  EXPECT_TRUE(adapter.IsAddressTarget("/api/resolution?name=h&zone=a"));
  EXPECT_FALSE(adapter.IsAddressTarget("/api/resolutions"));
  const auto reply =
    adapter.EncodeAddresses({ "10.1.0.9:8104" }, milliseconds(1500));
  const auto body = boost::json::parse(reply.body).as_object();
  EXPECT_EQ(body.at("addrs").as_array().size(), 1U);
  EXPECT_DOUBLE_EQ(body.at("ttl_s").as_double(), 1.5);
}

// Guards against misreading a server's state, start or cold time.
TEST(Entries, DecodesAServer)
{
  const auto change = DecodeEntry("servers/i-1", kServerJson);
  const auto* record = ServerOf(change);
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->id, "i-1");
  EXPECT_EQ(record->group, "g");
  EXPECT_TRUE(record->draining);
  EXPECT_EQ(record->remainingColdTime, milliseconds(250));
  EXPECT_EQ(record->startedAtMs, 1'700'000'000'000U);
}

// Guards against malformed entries of another writer that are used as servers
// or end the process.
TEST(Entries, RejectsMalformedServerEntries)
{
  const auto withReplacement = [](const std::string& aFrom,
                                  const std::string& aTo) {
    auto text = kServerJson;
    text.replace(text.find(aFrom), aFrom.size(), aTo);
    return text;
  };
  for (const auto& it :
       { std::string("\xff\x00", 2),
         std::string("[]"),
         std::string("{}"),
         withReplacement("\"draining\"", "\"tired\""),
         withReplacement("\"draining\"", "7"),
         withReplacement("10.128.0.9:8080", "10.128.0.9"),
         withReplacement("10.128.0.9:8080", "10.128.0.9:0"),
         withReplacement("\"slots\":2", "\"slots\":\"2\""),
         withReplacement("\"sequence\":4", "\"sequence\":[]"),
         withReplacement("\"born\":1700000000000", "\"born\":\"x\"") }) {
    const auto change = DecodeEntry("servers/i-1", it);
    const auto* invalid = std::get_if<InvalidEntry>(&change);
    ASSERT_NE(invalid, nullptr) << it;
    EXPECT_EQ(invalid->server, "i-1");
  }
}

// Guards against misreading the targets or limits of routes.
TEST(Entries, DecodesAConfiguration)
{
  const auto change = DecodeEntry("op/config", R"({"version":7,"routes":[
    {"name":"r1","host":"h","prefix":"/a/","route-type":"safe",
     "timeout-ms":1000,"target-latency-ms":60,"priority":2,
     "fanout-services":["s1","s2"],"max-attempts":2,"top-k":5,
     "min-success-share":0.75},
    {"name":"r2","host":"h","prefix":"/b/","route-type":"unsafe",
     "timeout-ms":8000,"weighted-targets":[{"service":"s1","weight":3},
     {"service":"s2","weight":1}]},
    {"name":"r3","host":"h","prefix":"/c/","route-type":"safe",
     "timeout-ms":8000,"service":"s1"}],
    "services":[{"name":"s1","max-connections":25,"warmup-per-s":0.5}],
    "limits":{"max-header-bytes":100,"idle-timeout-ms":9000}})");
  const auto* published = std::get_if<ConfigPublished>(&change);
  ASSERT_NE(published, nullptr);
  const auto& config = published->config;
  EXPECT_EQ(config.version, 7U);
  ASSERT_EQ(config.routes.size(), 3U);
  EXPECT_EQ(config.routes[0].shards.size(), 2U);
  EXPECT_EQ(config.routes[0].topRecords, 5U);
  EXPECT_DOUBLE_EQ(config.routes[0].minCoverage, 0.75);
  EXPECT_EQ(config.routes[1].repeatability, Repeatability::AtMostOnce);
  EXPECT_DOUBLE_EQ(config.routes[1].targets[0].weight, 3);
  EXPECT_EQ(config.routes[2].targets[0].group, "s1");
  EXPECT_EQ(config.groups[0].maxConnections, 25U);
  EXPECT_EQ(config.limits.headerBytes, 100U);
  EXPECT_EQ(config.limits.idleTimeout, milliseconds(9000));
}

// Guards against a configuration that is applied in part because one route is
// invalid.
TEST(Entries, RejectsAConfigurationWithOneInvalidRoute)
{
  const auto change = DecodeEntry(
    "op/config",
    R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
    R"("route-type":"safe","timeout-ms":"soon","service":"s"}]})");
  EXPECT_NE(std::get_if<InvalidEntry>(&change), nullptr);
}

// Guards against a failure domain that isn't withdrawn, or stays withdrawn
// after the operators' entry is deleted.
TEST(Entries, DecodesWithdrawals)
{
  const auto set = DecodeEntry("op/evacuate/zone-a", "{}");
  ASSERT_NE(std::get_if<DomainWithdrawalChanged>(&set), nullptr);
  EXPECT_TRUE(std::get<DomainWithdrawalChanged>(set).withdrawn);
  const auto restored = DecodeDeletion("op/evacuate/zone-a");
  EXPECT_EQ(std::get<DomainWithdrawalChanged>(restored).domain, "zone-a");
  EXPECT_FALSE(std::get<DomainWithdrawalChanged>(restored).withdrawn);
}

// Guards against the loss of pages or events of the store.
TEST(StoreClient, DecodesListsAndWatches)
{
  const auto list = DecodeReply(
    200,
    "",
    R"({"items":[{"key":"servers/i-1","value":")" + Base64(kServerJson) +
      R"(","revision":5,"created":5,"lease":0}],"has-more":true,)"
      R"("store-revision":9})");
  EXPECT_EQ(list.status, MetadataStatus::Ok);
  EXPECT_EQ(list.revision, 9U);
  EXPECT_EQ(list.nextPageToken, "servers/i-1");
  ASSERT_EQ(list.changes.size(), 1U);
  EXPECT_NE(ServerOf(list.changes[0].change), nullptr);
  const auto watch =
    DecodeReply(200,
                "",
                R"({"events":[{"key":"servers/i-2","revision":10,)"
                R"("deleted":true}],"store-revision":10})");
  ASSERT_EQ(watch.changes.size(), 1U);
  EXPECT_NE(std::get_if<ServerRemoved>(&watch.changes[0].change), nullptr);
  EXPECT_TRUE(watch.nextPageToken.empty());
}

// Guards against an error or a malformed response of the store that is read as
// an empty list.
TEST(StoreClient, ReportsErrorsAndMalformedResponsesAsUnavailable)
{
  EXPECT_EQ(DecodeReply(410, "", "").status, MetadataStatus::HistoryCompacted);
  EXPECT_EQ(DecodeReply(410, "3", "").era, MetadataEra{ 3 });
  EXPECT_EQ(DecodeReply(503, "4", "").era, MetadataEra{ 4 });
  for (const auto* it : { "", "x", "-1", "3 ", "99999999999999999999" }) {
    EXPECT_FALSE(DecodeReply(503, it, "").era.has_value()) << it;
  }
  for (const unsigned status : { 429U, 503U, 500U }) {
    EXPECT_EQ(DecodeReply(status, "", "{}").status,
              MetadataStatus::Unavailable);
  }
  for (const auto* body : { "",
                            "{}",
                            "[]",
                            R"({"items":[{}]})",
                            R"({"items":7,"store-revision":1})" }) {
    EXPECT_EQ(DecodeReply(200, "", body).status, MetadataStatus::Unavailable)
      << body;
  }
}

// Guards against an entry or answer of the store that ends a process.
RC_GTEST_PROP(MalformedStoreAnswers, AreDecodedOrRejected, ())
{
  const std::string config =
    R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
    R"("route-type":"safe","timeout-ms":800,"target-latency-ms":100,)"
    R"("priority":1,"max-attempts":2,"fanout-services":["g0","g1"],)"
    R"("top-k":5,"min-success-share":0.9}],"services":[{"name":"g0",)"
    R"("max-connections":30,"warmup-per-s":1}],"limits":)"
    R"({"max-header-bytes":8192,"max-body-bytes":65536}})";
  const auto mutate = [](std::string aText) {
    const auto changes = *rc::gen::inRange(1, 5);
    for (int n = 0; n < changes && !aText.empty(); ++n) {
      const auto at = *rc::gen::inRange<std::size_t>(0, aText.size());
      if (*rc::gen::arbitrary<bool>()) {
        aText[at] = *rc::gen::arbitrary<char>();
      } else {
        aText.insert(at,
                     *rc::gen::element<std::string>(
                       "[", "-1", "1e999", "{}", "null", ",", "\""));
      }
    }
    return aText;
  };
  const auto change = DecodeEntry("op/config", mutate(config));
  RC_ASSERT(std::holds_alternative<ConfigPublished>(change) ||
            std::holds_alternative<InvalidEntry>(change));
  const auto reply = DecodeReply(
    200,
    "",
    mutate(R"({"items":[{"key":"op/config","value":")" + Base64(config) +
           R"(","revision":7,"created":7,"lease":0}],"has-more":true,)"
           R"("store-revision":9})"));
  RC_ASSERT(reply.changes.size() <= 1U);
}

// Guards against entries of another writer that end the process, put wrong
// numbers into calculations, or write lines of their own into requests.
TEST(Entries, RejectsServersWithOddValues)
{
  const auto replaced = [](const std::string& aFrom, const std::string& aTo) {
    auto text = kServerJson;
    text.replace(text.find(aFrom), aFrom.size(), aTo);
    return text;
  };
  const std::string deep =
    std::string(100'000, '[') + std::string(100'000, ']');
  for (const auto& text :
       { replaced("\"slots\":2", "\"slots\":1e300"),
         replaced("\"slots\":2", "\"slots\":4294967297"),
         replaced("\"slots\":2", "\"slots\":1e999"),
         replaced("\"slots\":2", "\"slots\":" + std::string(5000, '9')),
         replaced("\"slots\":2", "\"slots\":-3"),
         replaced("250", "1e300"),
         replaced("250", "9223372036854775807"),
         replaced("\"sequence\":4", "\"sequence\":1e300"),
         replaced("1700000000000", "18446744073709551616"),
         replaced("8080", "0"),
         replaced("8080", "70000"),
         replaced("8080", "-1"),
         replaced("10.128.0.9", "10.128.0.999"),
         replaced("\"v1\"", deep),
         deep }) {
    EXPECT_EQ(ServerOf(DecodeEntry("servers/i-1", text)), nullptr)
      << text.substr(0, 200);
  }
  for (const std::string id :
       { "", "a b", "a\r\nX: y", "a=b", "a|b", "\xff\xfe", "a\t" }) {
    EXPECT_EQ(ServerOf(DecodeEntry("servers/" + id, kServerJson)), nullptr)
      << id;
  }
  EXPECT_EQ(
    ServerOf(DecodeEntry("servers/" + std::string(300, 'a'), kServerJson)),
    nullptr);
  EXPECT_NE(ServerOf(DecodeEntry("servers/i-1", kServerJson)), nullptr);
}

} // namespace bronzedeal::platform
