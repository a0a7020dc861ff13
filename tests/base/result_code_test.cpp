#include "bronzedeal/result_code.hpp"
#include "bronzedeal/types.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <set>
#include <sstream>

namespace bronzedeal {
namespace {

// Guards against two rows with the same number or name, which would make a code
// ambiguous to callers.
TEST(ResultCodeTable, NumbersAndNamesAreUnique)
{
  std::set<int> numbers;
  std::set<std::string_view> names;
  for (const auto& it : ResultCodeTable()) {
    EXPECT_TRUE(numbers.insert(static_cast<int>(it.code)).second) << it.name;
    EXPECT_TRUE(names.insert(it.name).second) << it.name;
    EXPECT_EQ(Describe(it.code).name, it.name);
  }
}

// Guards against a code whose name contradicts its class, such as a `NotRun`
// code outside 1xx and 2xx: a caller would repeat a request that may have run.
TEST(ResultCodeTable, NamesMatchTheClasses)
{
  for (const auto& it : ResultCodeTable()) {
    if (it.name.starts_with("NotRun")) {
      EXPECT_TRUE(IsNotRun(it.code)) << it.name;
    }
    if (it.name.starts_with("OutcomeUnknown")) {
      EXPECT_TRUE(IsOutcomeUnknown(it.code)) << it.name;
      EXPECT_FALSE(IsNotRun(it.code)) << it.name;
    }
  }
}

// Guards against a code that docs/result-codes.md lacks or describes otherwise.
TEST(ResultCodeTable, DocumentationListsEveryCode)
{
  std::ifstream file(BRONZEDEAL_SOURCE_DIR "/docs/result-codes.md");
  std::stringstream buf;
  buf << file.rdbuf();
  for (const auto& it : ResultCodeTable()) {
    const auto row = "| " + std::to_string(static_cast<int>(it.code)) + " | `" +
                     std::string(it.name) + "` | " +
                     std::to_string(it.httpStatus) + " | " +
                     std::string(it.meaning) + " |";
    EXPECT_NE(buf.str().find(row), std::string::npos) << row;
  }
}

// Guards against a slice number outside the configured count, and against a
// different text form of a slice.
TEST(SliceOf, NumberIsStableAndInRange)
{
  EXPECT_EQ(SliceOf("svc-00-a", "fd-a", 6), SliceOf("svc-00-a", "fd-a", 6));
  EXPECT_LT(SliceOf("svc-00-a", "fd-a", 6).number, 6U);
  EXPECT_EQ(ToString({ "fd-a", 3 }), "fd-a/3");
}

} // namespace
} // namespace bronzedeal
