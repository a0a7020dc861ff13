#include "bronzedeal/request/caller_request.hpp"

#include "support.hpp"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>

namespace bronzedeal::request {
namespace {

using enum ResultCode;

/// The error of a call; `Ok` when there is none.
template<typename F>
Error ErrorOf(F aCall)
{
  return boost::leaf::try_handle_all(
    [&]() -> Result<Error> {
      BOOST_LEAF_CHECK(aCall());
      return Error{ Ok, {}, {} };
    },
    [](const Error& aError) { return aError; },
    [] { return Error{}; });
}

template<typename T>
T Value(Result<T> aResult)
{
  EXPECT_TRUE(aResult);
  return aResult ? std::move(aResult.value()) : T{};
}

constexpr auto kQuery = R"({"caller":{"customer":"gaonsan"},
  "request":{"kind":"search","tier":""},"query":{"b":[1,2.5,"ü"],"a":null},
  "deadline_ms":250,"min_coverage":0.9})";

TEST(ParseQuery, ReadsAllFields)
{
  const auto query = Value(ParseQuery(kQuery));
  EXPECT_EQ(query.caller.at("customer"), "gaonsan");
  EXPECT_EQ(query.request.at("kind"), "search");
  EXPECT_EQ(query.query, R"({"a":null,"b":[1,2.5,"ü"]})");
  EXPECT_EQ(query.deadline, milliseconds(250));
  EXPECT_EQ(query.minCoverage, 0.9);
  const auto plain =
    Value(ParseQuery(R"({"caller":{},"request":{"kind":"k"},"query":1})"));
  EXPECT_EQ(plain.deadline, kDefaultDeadline);
}

// A caller must not have to send a body again for each of its errors.
TEST(ParseQuery, ReportsEveryErrorInOnePass)
{
  const auto error = ErrorOf([] {
    return ParseQuery(R"({"caller":{"a b":"x","c":5},"request":{"x":"y"},
      "deadline_ms":0,"min_coverage":"all","a/b":1})");
  });
  EXPECT_EQ(error.code, InvalidField);
  std::vector<std::string> pointers;
  for (const auto& it : error.fields) {
    pointers.push_back(it.pointer);
  }
  EXPECT_EQ(pointers,
            (std::vector<std::string>{ "/caller/a b",
                                       "/caller/c",
                                       "/request/kind",
                                       "/query",
                                       "/deadline_ms",
                                       "/min_coverage",
                                       "/a~1b" }));
  EXPECT_EQ(error.fields[1].seen, "5");
}

// Values at the limits of their ranges are accepted; values beyond are not.
TEST(ParseQuery, ChecksRanges)
{
  const auto code = [](std::string_view aField) {
    return ErrorOf([&] {
             return ParseQuery(
               R"({"caller":{},"request":{"kind":"k"},"query":1,)" +
               std::string(aField) + "}");
           })
      .code;
  };
  EXPECT_EQ(code(R"("deadline_ms":1)"), Ok);
  EXPECT_EQ(code(R"("deadline_ms":10000)"), Ok);
  EXPECT_EQ(code(R"("deadline_ms":10001)"), InvalidField);
  EXPECT_EQ(code(R"("deadline_ms":1.5)"), InvalidField);
  EXPECT_EQ(code(R"("deadline_ms":1e999)"), InvalidField);
  EXPECT_EQ(code(R"("min_coverage":1)"), Ok);
  EXPECT_EQ(code(R"("min_coverage":1.01)"), InvalidField);
  EXPECT_EQ(code(R"("min_coverage":-0.01)"), InvalidField);
  EXPECT_EQ(code(R"("other":1)"), UnknownField);
}

// A body must not exhaust memory or the stack.
TEST(ParseQuery, LimitsBodySizeAndNesting)
{
  const auto code = [](const std::string& aBody) {
    return ErrorOf([&] { return ParseQuery(aBody); }).code;
  };
  EXPECT_EQ(code(std::string(kMaxBodyBytes + 1, ' ')), BodyTooLarge);
  EXPECT_EQ(code(std::string(kMaxBodyBytes, '[')), InvalidJson);
  EXPECT_EQ(code(""), InvalidJson);
  EXPECT_EQ(code("[]"), InvalidField);
  EXPECT_EQ(code("{\"caller\":\"\xff\"}"), InvalidJson);
}

// A resent content must get the same fingerprint, and different contents
// different ones.
TEST(CanonicalJson, DependsOnTheValueOnly)
{
  const auto text = [](std::string_view aText) {
    return Value(CanonicalJson(aText));
  };
  EXPECT_EQ(text(R"( {"b" : {"y":1,"x":2}, "a":[ ] } )"),
            R"({"a":[],"b":{"x":2,"y":1}})");
  EXPECT_EQ(text(R"("\u0041")"), R"("A")");
  EXPECT_NE(text("[1,2]"), text("[2,1]"));
  EXPECT_NE(text("1"), text("\"1\""));
  EXPECT_EQ(text(R"({"a":1,"\u0061":[{}, "\\"] })"), R"({"a":[{},"\\"]})");
}

// Boost.JSON reads 1.5e-120 and large integers with an error, which would
// change numbers in transit (found by fuzz_request).
TEST(CanonicalJson, PreservesTheTextOfNumbers)
{
  constexpr auto kNumbers = "[1.5e-120,123456789012345678901234567890,-0.0]";
  EXPECT_EQ(Value(CanonicalJson(kNumbers)), kNumbers);
  const auto answer = Value(ParseShardAnswer(
    R"({"hits":[],"shard":"s","index_version":3,"hits" : [1.5e-120, "]"] })"));
  EXPECT_EQ(answer.hits, R"([1.5e-120, "]"])");
  EXPECT_EQ(Value(ParseOperationAnswer(R"({"operation_result":{"n":1.10}})")),
            R"({"n":1.10})");
}

// An operation without a valid ticket could run twice.
TEST(ParseOperation, ReadsFieldsAndRejectsInvalidTickets)
{
  const auto body = [](std::string_view aTicket) {
    return R"({"ticket":")" + std::string(aTicket) +
           R"(","caller":{},"request":{"kind":"reserve"},"shard":"s-1",)"
           R"("operation":{"bale":7}})";
  };
  const auto operation = Value(ParseOperation(body("entry-0.5.9")));
  EXPECT_EQ(operation.ticket, (TicketId{ "entry-0", 5, 9 }));
  EXPECT_EQ(operation.operation, R"({"bale":7})");
  EXPECT_EQ(ErrorOf([&] { return ParseOperation(body("entry-0.5")); }).code,
            InvalidTicket);
  EXPECT_EQ(ErrorOf([] { return ParseOperation("{}"); }).fields.size(), 5U);
  EXPECT_EQ(ErrorOf([] { return ParseTicketRequest(""); }).code, Ok);
  EXPECT_EQ(ErrorOf([] { return ParseTicketRequest("{}"); }).code, Ok);
  EXPECT_EQ(ErrorOf([] { return ParseTicketRequest("{\"a\":1}"); }).code,
            UnknownField);
}

// A malformed answer of a server must not reach a caller.
TEST(ParseShardAnswer, RefusesMalformedAnswers)
{
  const auto answer = Value(ParseShardAnswer(
    R"({"shard":"s-1","index_version":3,"hits":[{"id":1}],"took":4})"));
  EXPECT_EQ(answer.indexVersion, 3U);
  EXPECT_EQ(answer.hits, R"([{"id":1}])");
  for (const auto* text : { "",
                            "[]",
                            R"({"shard":"s","index_version":3})",
                            R"({"shard":"s","index_version":-3,"hits":[]})",
                            R"({"shard":1,"index_version":3,"hits":[]})",
                            R"({"shard":"s","index_version":3,"hits":{}})" }) {
    EXPECT_EQ(ErrorOf([&] { return ParseShardAnswer(text); }).code,
              ShardBadAnswer)
      << text;
  }
}

// Answers must be valid JSON with all fields of the HTTP API.
TEST(Writers, WriteValidJson)
{
  QueryAnswer answer;
  answer.code = Partial;
  answer.configVersion = 12;
  answer.indexVersion = 3;
  answer.included.push_back({ "shard-\"0", "[{\"id\":1}]" });
  answer.missing.push_back({ "shard-1", ShardTimeout });
  answer.coverage = 0.5;
  const auto query = boost::json::parse(WriteQueryAnswer("r\n1", answer));
  EXPECT_EQ(query, boost::json::parse(R"({"request_id":"r\n1","code":1,
    "code_name":"Partial","config_version":12,"index_version":3,
    "coverage":{"included":["shard-\"0"],"missing":[{"shard":"shard-1",
    "code":400,"code_name":"ShardTimeout"}],"ratio":0.5},
    "results":[{"shard":"shard-\"0","hits":[{"id":1}]}]})"));
  EXPECT_EQ(boost::json::parse(WriteRefusal("r", NotRunDenied))
              .at("coverage")
              .at("ratio"),
            0);
  EXPECT_EQ(boost::json::parse(WriteTicket({ "e", 5, 1 }, milliseconds(30))),
            boost::json::parse(R"({"ticket":"e.5.1","valid_ms":30})"));
  EXPECT_EQ(boost::json::parse(WriteOutcome({ NotRunShed, "" })),
            boost::json::parse(R"({"outcome":"not_run","code":207,
    "code_name":"NotRunShed","result":null})"));
  EXPECT_EQ(boost::json::parse(WriteAddresses({ { "1.2.3.4:5" }, {} })),
            boost::json::parse(R"({"addresses":["1.2.3.4:5"],"ttl_ms":0})"));
  const auto error = boost::json::parse(
    WriteError({ InvalidField, "m", { { "/a", "\"x\"", "y" } } }));
  EXPECT_EQ(error.at("fields").at(0).at("seen"), "\"x\"");
}

} // namespace
} // namespace bronzedeal::request
