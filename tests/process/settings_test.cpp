#include "bronzedeal/process/settings.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>

namespace bronzedeal::process {
namespace {

constexpr std::string_view kValid = R"({"instance":"entry-0",
  "http":"127.0.0.1:0","admin":"127.0.0.1:0","peer":"127.0.0.1:0",
  "platform":"127.0.0.1:8000","failure_domain":"fd-a","region":"r1"})";

Error ErrorOf(std::string_view aJson)
{
  return boost::leaf::try_handle_all(
    [&]() -> Result<Error> {
      BOOST_LEAF_CHECK(ParseSettings(aJson));
      return Error{ ResultCode::Ok, {}, {} };
    },
    [](const Error& aError) { return aError; },
    [] { return Error{}; });
}

TEST(ParseSettings, AcceptsSettingsWithoutOptionalFields)
{
  EXPECT_EQ(ErrorOf(kValid).code, ResultCode::Ok);
}

// Guards against an error that lists only the first invalid field.
TEST(ParseSettings, ReportsEveryInvalidField)
{
  const auto error = ErrorOf(R"({"instance":"","http":"nowhere",
    "admin":"127.0.0.1:0","peer":"127.0.0.1:99999","platform":"127.0.0.1:1",
    "failure_domain":"fd-a","region":7,"threads":0,"colour":"red",
    "features":{"hedging":1}})");
  EXPECT_EQ(error.code, ResultCode::InvalidField);
  std::vector<std::string> pointers;
  for (const auto& it : error.fields) {
    pointers.push_back(it.pointer);
  }
  for (const auto* it : { "/instance",
                          "/http",
                          "/peer",
                          "/region",
                          "/threads",
                          "/colour",
                          "/features/hedging" }) {
    EXPECT_NE(std::find(pointers.begin(), pointers.end(), it), pointers.end())
      << it;
  }
}

// Guards against an instance that exits while callers still use its address.
TEST(ParseSettings, RejectsAShutdownLingerShorterThanTheAddressLifetime)
{
  std::string text(kValid);
  text.insert(1, R"("shutdown_linger_ms":1000,"address_ttl_ms":1000,)");
  EXPECT_EQ(ErrorOf(text).code, ResultCode::InvalidField);
}

TEST(ParseSettings, RejectsTextThatIsNotJson)
{
  EXPECT_EQ(ErrorOf("{").code, ResultCode::InvalidJson);
}

} // namespace
} // namespace bronzedeal::process
