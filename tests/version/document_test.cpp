#include <gtest/gtest.h>

#include "bronzedeal/version/changes.hpp"
#include "bronzedeal/version/merge_patch.hpp"
#include "generators.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace bronzedeal::version {
namespace {

namespace json = boost::json;

Error ErrorOf(std::string_view aText)
{
  Error error;
  EXPECT_FALSE(ParseDocument(aText, error));
  EXPECT_EQ(error.code, ResultCode::InvalidConfiguration);
  return error;
}

/// The pointers of all errors, sorted.
std::vector<std::string> PointersOf(const json::value& aValue)
{
  std::vector<std::string> result;
  for (const auto& it : ErrorOf(json::serialize(aValue)).fields) {
    EXPECT_FALSE(it.seen.empty()) << it.pointer;
    EXPECT_LE(it.seen.size(), 80U) << it.pointer;
    EXPECT_FALSE(it.allowed.empty()) << it.pointer;
    result.push_back(it.pointer);
  }
  std::sort(result.begin(), result.end());
  return result;
}

// Guards against an example that the daemon would refuse.
TEST(Document, ExampleIsValid)
{
  const auto document = Example();
  EXPECT_EQ(document.version, 12U);
  EXPECT_EQ(document.services.at("orders-00").limits.coldAllowance, 2U);
  EXPECT_EQ(document.services.at("orders-00").limits.warmCompletions, 8U);
  EXPECT_EQ(document.limits.maxSubrequest, milliseconds(1000));
}

// Guards against validation that stops at the first error, which would cost
// operators one attempt per error.
TEST(Document, ReportsAllErrorsInOnePass)
{
  auto value = json::parse(ExampleText());
  value.at("version") = -3;
  value.at("changed_by") = std::string(300, 'x');
  value.as_object()["colour"] = "red";
  value.at_pointer("/failure_domains/fd-a").as_object().erase("region");
  value.at_pointer("/failure_domains/fd-b/labels").as_object()["-"] = 1;
  auto& lots = value.at_pointer("/services/lots-00").as_object();
  lots["labels"].as_object()["region"] = "r9";
  lots["limits"].as_object()["slots"] = 0.5;
  lots["limits"].as_object()["cold_allowance"] = 30;
  lots["servers"].at("lots-00-b").at("address") = "127.0.0.1:9001";
  lots["servers"].at("lots-00-a").at("failure_domain") = "fd-z";
  lots["servers"].as_object()["a/b"] = nullptr;
  auto& others = value.at_pointer("/services/lots-01/servers").as_object();
  others["lots-00-a"] = { { "address", "localhost:1" },
                          { "failure_domain", "fd-a" } };
  value.at_pointer("/index/serving") = 7;
  value.at_pointer("/index/versions").as_object()["007"] = {
    { "shards", { { "s", { { "service", "none" } } } } }
  };
  value.at_pointer("/selectors/0/targets") = "group==lots=";
  value.at_pointer("/selectors/1/name") = "gaonsan-search";
  value.at_pointer("/ownership") = 6;
  value.at_pointer("/limits/hedge_percent") = "5";

  const std::vector<std::string> expected = {
    "/changed_by",
    "/colour",
    "/failure_domains/fd-a/region",
    "/failure_domains/fd-b/labels/-",
    "/failure_domains/fd-b/labels/-",
    "/index/serving",
    "/index/versions/007",
    "/index/versions/007/shards/s/service",
    "/limits/hedge_percent",
    "/ownership",
    "/selectors/0/targets",
    "/selectors/1/name",
    "/services/lots-00/labels/region",
    "/services/lots-00/limits/cold_allowance",
    "/services/lots-00/limits/slots",
    "/services/lots-00/servers/a~1b",
    "/services/lots-00/servers/a~1b",
    "/services/lots-00/servers/lots-00-a/failure_domain",
    "/services/lots-00/servers/lots-00-b/address",
    "/services/lots-01/servers/lots-00-a",
    "/services/lots-01/servers/lots-00-a/address",
    "/version",
  };
  EXPECT_EQ(PointersOf(value), expected);
}

// Guards against required fields that are silently given a default.
TEST(Document, NamesEveryMissingField)
{
  const std::vector<std::string> expected = {
    "/failure_domains", "/index", "/selectors", "/services", "/version"
  };
  EXPECT_EQ(PointersOf(json::object{}), expected);
  EXPECT_EQ(PointersOf(json::array{}), std::vector<std::string>{ "" });
}

// Guards against the loss of one of two entries under the same key, which JSON
// parsers drop silently.
TEST(Document, RefusesDuplicateKeys)
{
  auto text = ExampleText();
  const std::string first = "\"name\": \"gaonsan-orders\",";
  text.insert(text.find(first), first);
  const auto error = ErrorOf(text);
  ASSERT_EQ(error.fields.size(), 1U);
  EXPECT_EQ(error.fields[0].pointer, "/selectors/1/name");
}

// Guards against crashes or silent acceptance of text that is no document.
TEST(Document, RefusesTextThatIsNoJson)
{
  EXPECT_NE(ErrorOf("{\"version\": 1,}").message.find("at byte"),
            std::string::npos);
  EXPECT_EQ(ErrorOf("").fields.size(), 1U);
  EXPECT_EQ(ErrorOf("{} {}").fields.size(), 1U);
  EXPECT_EQ(ErrorOf(std::string(100, '[')).fields.size(), 1U);
  EXPECT_EQ(ErrorOf(std::string(kMaxDocumentBytes + 1, ' ')).fields.size(), 1U);
}

// Guards against two spellings of one address, which would hide that two
// servers share it.
TEST(Document, AcceptsOneSpellingPerAddress)
{
  const auto accepts = [](const char* aAddress) {
    auto value = json::parse(ExampleText());
    value.at_pointer("/services/orders-00/servers/orders-00-c/address") =
      aAddress;
    Error error;
    return ParseDocument(json::serialize(value), error).has_value();
  };
  for (const auto* it : { "10.0.0.1:65535", "[::1]:80", "[fe80::1:2]:9001" }) {
    EXPECT_TRUE(accepts(it)) << it;
  }
  for (const auto* it : { "",
                          ":1",
                          "10.0.0.1",
                          "10.0.0.1:",
                          "10.0.0.1:0",
                          "10.0.0.1:080",
                          "10.0.0.1:65536",
                          "10.0.0.1:+1",
                          "10.0.0.01:80",
                          "::1:80",
                          "[0::1]:80",
                          "[::1]",
                          "[10.0.0.1]:80",
                          "host:80",
                          "10.0.0.1:9\n" }) {
    EXPECT_FALSE(accepts(it)) << it;
  }
}

// Guards against a canonical text that loses a field, which would give
// different documents one hash, or that depends on the order of input.
TEST(Document, CanonicalTextKeepsTheDocument)
{
  EXPECT_TRUE(rc::check("canonical text", [] {
    const auto document = AnyDocument();
    const auto text = CanonicalText(document);
    Error error;
    const auto again = ParseDocument(text, error);
    RC_ASSERT(again.has_value());
    RC_ASSERT(*again == document);
    RC_ASSERT(CanonicalText(*again) == text);
  }));
  auto value = json::parse(ExampleText());
  value.as_object().erase("limits");
  value.as_object()["limits"] = json::object{};
  EXPECT_EQ(HashOf(ParseValid(json::serialize(value))), HashOf(Example()));
}

// Guards against a change of the hash, which instances of different builds
// would report as a conflict of versions.
TEST(Document, HashIsFixed)
{
  EXPECT_EQ(ToString(HashOfText("")), "99aa06d3014798d86001c324468d497f");
}

// Guards against the loss of the error on its way through LEAF.
TEST(Document, ErrorTravelsThroughLeaf)
{
  const auto fields = boost::leaf::try_handle_all(
    [&]() -> Result<std::size_t> {
      BOOST_LEAF_AUTO(document, ParseDocument("{}"));
      return document.version;
    },
    [](const Error& aError) { return aError.fields.size(); },
    [] { return std::size_t{ 0 }; });
  EXPECT_EQ(fields, 5U);
}

// Guards against deviations from RFC 7386; the cases are its appendix A.
TEST(MergePatch, FollowsTheRfc)
{
  const std::vector<std::array<const char*, 3>> cases = {
    { R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})" },
    { R"({"a":"b"})", R"({"b":"c"})", R"({"a":"b","b":"c"})" },
    { R"({"a":"b"})", R"({"a":null})", R"({})" },
    { R"({"a":"b","b":"c"})", R"({"a":null})", R"({"b":"c"})" },
    { R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})" },
    { R"({"a":"c"})", R"({"a":["b"]})", R"({"a":["b"]})" },
    { R"({"a":{"b":"c"}})",
      R"({"a":{"b":"d","c":null}})",
      R"({"a":{"b":"d"}})" },
    { R"({"a":[{"b":"c"}]})", R"({"a":[1]})", R"({"a":[1]})" },
    { R"(["a","b"])", R"(["c","d"])", R"(["c","d"])" },
    { R"({"a":"b"})", R"(["c"])", R"(["c"])" },
    { R"({"a":"foo"})", "null", "null" },
    { R"({"a":"foo"})", R"("bar")", R"("bar")" },
    { R"({"e":null})", R"({"a":1})", R"({"e":null,"a":1})" },
    { "[1,2]", R"({"a":"b","c":null})", R"({"a":"b"})" },
    { "{}", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})" },
  };
  for (const auto& [target, patch, expected] : cases) {
    EXPECT_EQ(ApplyMergePatch(json::parse(target), json::parse(patch)),
              json::parse(expected))
      << target << " " << patch;
  }
}

// Guards against a patch that leads a peer to another document than the one in
// force, and against changes that the audit trail does not mention.
TEST(MergePatch, LeadsFromAnyDocumentToAnyOther)
{
  EXPECT_TRUE(rc::check("merge patch", [] {
    const auto from = AnyDocument();
    const auto to = AnyDocument();
    const auto patch = MakeMergePatch(from, to);
    const auto reached = boost::leaf::try_handle_all(
      [&] { return ApplyMergePatch(from, patch); }, [] { return Document{}; });
    RC_ASSERT(reached == to);
    RC_ASSERT(MakeMergePatch(to, to) == "{}");
    auto same = to;
    same.version = from.version;
    same.changedBy = from.changedBy;
    RC_ASSERT(DescribeChanges(from, same).empty() == (from == same));
  }));
}

// Guards against a patch that makes a document invalid and is applied.
TEST(MergePatch, ResultIsValidated)
{
  const auto codeOf = [](const char* aPatch) {
    return boost::leaf::try_handle_all(
      [&]() -> Result<ResultCode> {
        BOOST_LEAF_CHECK(ApplyMergePatch(Example(), aPatch));
        return ResultCode::Ok;
      },
      [](const Error& aError) { return aError.code; },
      [] { return ResultCode::Internal; });
  };
  EXPECT_EQ(codeOf("{}"), ResultCode::Ok);
  EXPECT_EQ(codeOf("{"), ResultCode::InvalidJson);
  EXPECT_EQ(codeOf("null"), ResultCode::InvalidConfiguration);
  EXPECT_EQ(codeOf(R"({"version":null})"), ResultCode::InvalidConfiguration);
}

// Guards against audit events that name a change wrongly.
TEST(DescribeChanges, SaysWhatChanged)
{
  const auto from = Example();
  auto to = from;
  to.failureDomains["fd-a"].labels["state"] = "out";
  to.services["lots-00"].labels["tier"] = "gold";
  to.services["lots-01"].servers["lots-01-c"].labels.clear();
  to.services["lots-01"].servers["lots-01-b"].failureDomain = "fd-a";
  std::string why;
  to.selectors[0].targets = *Selector::Parse("group=lots", why);
  to.selectors.push_back({ "new", {}, {}, {} });
  std::swap(to.selectors[0], to.selectors[1]);
  to.limits.maxSubrequest = milliseconds(500);
  const std::vector<std::string> expected = {
    "label state of failure domain fd-a changed from in to out",
    "label tier of service lots-00 added as gold",
    std::string("failure domain of server lots-01-b changed from fd-b to ") +
      "fd-a; a moved server needs a new id",
    "label state of server lots-01-c removed; it was out",
    std::string("targets of selector gaonsan-search changed from ") +
      "group=lots,state!=out to group=lots",
    "selector new added",
    "order of selectors changed",
    "max_subrequest_ms changed from 1000 ms to 500 ms",
  };
  EXPECT_EQ(DescribeChanges(from, to), expected);
}

} // namespace
} // namespace bronzedeal::version
