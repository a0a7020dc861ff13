#include <gtest/gtest.h>

#include "generators.hpp"

namespace bronzedeal::version {
namespace {

bool Matches(std::string_view aText, const Labels& aLabels)
{
  std::string why;
  const auto selector = Selector::Parse(aText, why);
  EXPECT_TRUE(selector) << aText << ": " << why;
  return selector && selector->Matches(aLabels);
}

// Guards against a meaning that differs from Kubernetes: absent keys satisfy
// `!=` and `notin`, and never `=` and `in`.
TEST(Selector, HasTheMeaningOfKubernetes)
{
  const Labels labels{ { "a", "b" }, { "empty", "" }, { "x.io/k", "v" } };
  for (const auto* it : { "",
                          "  ",
                          "a",
                          "a=b",
                          "a == b",
                          "a!=c",
                          "!z",
                          "! z",
                          "z!=b",
                          "z notin (b)",
                          "a in (c , b)",
                          "a in(b)",
                          "empty=",
                          "empty in (q,)",
                          "x.io/k=v",
                          "a=b,empty,!z",
                          "in notin (in)" }) {
    EXPECT_TRUE(Matches(it, labels)) << it;
  }
  for (const auto* it :
       { "a=c", "!a", "z", "z=b", "z=", "a!=b", "a notin (b)", "a,z" }) {
    EXPECT_FALSE(Matches(it, labels)) << it;
  }
}

// Guards against malformed selectors that are accepted with a wider meaning
// than the operator had in mind.
TEST(Selector, RefusesMalformedText)
{
  for (const auto* it :
       { ",",       "a,",      ",a",    "a b",  "a in",  "a in ()x",
         "a in (b", "a in b",  "a=b c", "=b",   "a===b", "a= =b",
         "a! =b",   "a!b",     "!",     "!a=b", "a>1",   "-a",
         "a=-b",    "a/b/c=d", "A.b/c", "/a",   "a/",    "a=b\n,c" }) {
    std::string why;
    EXPECT_FALSE(Selector::Parse(it, why)) << it;
    EXPECT_NE(why.find("expected"), std::string::npos) << it << ": " << why;
  }
  std::string why;
  EXPECT_FALSE(Selector::Parse(std::string(64, 'a'), why));
  EXPECT_TRUE(Selector::Parse(std::string(63, 'a'), why));
  EXPECT_FALSE(Selector::Parse(std::string(5000, ' '), why));
}

// Guards against a normal text that parses to something else, and against a
// reason that contradicts the verdict.
TEST(Selector, NormalTextAndReasonAgreeWithTheVerdict)
{
  EXPECT_TRUE(rc::check("normal text and reason", [] {
    const auto selector = AnySelector();
    const auto labels = AnyLabels();
    std::string why;
    const auto again = Selector::Parse(selector.NormalText(), why);
    RC_ASSERT(again.has_value());
    RC_ASSERT(again->Requirements() == selector.Requirements());
    RC_ASSERT(selector.WhyNot(labels).has_value() != selector.Matches(labels));
  }));
}

} // namespace
} // namespace bronzedeal::version
