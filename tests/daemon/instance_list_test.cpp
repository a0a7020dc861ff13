#include "bronzedeal/daemon/instance_list.hpp"

#include <gtest/gtest.h>

namespace bronzedeal::daemon {
namespace {

const std::string kList =
  R"({"revision":4,"note":1,"instances":[{"id":"a","http":"127.0.0.1:1",)"
  R"("peer":"127.0.0.1:2","failure_domain":"fd-a","region":"r1",)"
  R"("state":"leaving","admin":"127.0.0.1:3","extra":[]}],)"
  R"("servers":[{"id":"s-a","state":"leaving"},{"id":"s-b","state":"live"}]})";

/// The list with one text replaced.
std::optional<InstanceList> ParseWith(std::string_view aFrom,
                                      std::string_view aTo)
{
  auto text = kList;
  text.replace(text.find(aFrom), aFrom.size(), aTo);
  return ParseInstanceList(text);
}

// Guards against a field that is dropped or taken from another one.
TEST(InstanceList, ReadsAllFields)
{
  const auto list = ParseInstanceList(kList);
  ASSERT_TRUE(list);
  EXPECT_EQ(4U, list->revision);
  ASSERT_EQ(1U, list->instances.size());
  const auto& entry = list->instances[0];
  EXPECT_EQ("a", entry.id);
  EXPECT_EQ("127.0.0.1:1", entry.httpAddress);
  EXPECT_EQ("127.0.0.1:2", entry.peerAddress);
  EXPECT_EQ("fd-a", entry.failureDomain);
  EXPECT_EQ("r1", entry.region);
  EXPECT_TRUE(entry.leaving);
  EXPECT_EQ(std::set<ServerId>{ "s-a" }, list->leavingServers);
  EXPECT_EQ("127.0.0.1:3", list->adminAddresses.at("a"));
  EXPECT_FALSE(ParseWith(R"("leaving","admin")", R"("live","admin")")
                 ->instances[0]
                 .leaving);
}

// Guards against a malformed list that replaces the one in force with an
// incomplete roster, and against an exception that ends the process.
TEST(InstanceList, RefusesMalformedLists)
{
  for (const auto* text : { "", "{", "[]", "{}", R"({"revision":1})" }) {
    EXPECT_FALSE(ParseInstanceList(text)) << text;
  }
  for (const auto& [from, to] :
       { std::pair{ R"("revision":4)", R"("revision":-4)" },
         { R"("revision":4)", R"("revision":"4")" },
         { R"("revision":4)", R"("revision":4.5)" },
         { R"("id":"a")", R"("id":7)" },
         { R"("id":"a")", R"("id":"")" },
         { R"("id":"a",)", "" },
         { R"("peer":"127.0.0.1:2",)", "" },
         { R"("admin":"127.0.0.1:3")", R"("admin":null)" },
         { R"("state":"leaving","admin")", R"("state":"gone","admin")" },
         { R"("state":"live")", R"("state":"gone")" },
         { R"([{"id":"s-a")", R"([7,{"id":"s-a")" },
         { R"("instances":[)", R"("instances":[null,)" } }) {
    EXPECT_FALSE(ParseWith(from, to)) << to;
  }
}

// Guards against two members under one id, of which either may win.
TEST(InstanceList, RefusesDuplicateInstanceIds)
{
  const std::string entry =
    R"({"id":"a","http":"h","peer":"p","failure_domain":"f","region":"r",)"
    R"("state":"live"})";
  EXPECT_TRUE(
    ParseInstanceList(R"({"revision":1,"instances":[)" + entry + "]}"));
  EXPECT_FALSE(ParseInstanceList(R"({"revision":1,"instances":[)" + entry +
                                 "," + entry + "]}"));
}

} // namespace
} // namespace bronzedeal::daemon
