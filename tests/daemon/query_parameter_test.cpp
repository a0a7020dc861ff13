#include "bronzedeal/daemon/http_server.hpp"

#include <gtest/gtest.h>

namespace bronzedeal::daemon {
namespace {

// Guards against parameters that are read as empty: a report then described
// another version than the one requested.
TEST(QueryParameter, FindsAndDecodesParameters)
{
  const std::string text = "version=99&customer=a%20long%20enough%20name%21&x=";
  EXPECT_EQ(QueryParameter(text, "version"), "99");
  EXPECT_EQ(QueryParameter(text, "customer"), "a long enough name!");
  EXPECT_EQ(QueryParameter(text, "x"), "");
  EXPECT_EQ(QueryParameter(text, "absent"), "");
  EXPECT_EQ(QueryParameter("", "version"), "");
  EXPECT_EQ(QueryParameter("%zz", "version"), "");
}

} // namespace
} // namespace bronzedeal::daemon
