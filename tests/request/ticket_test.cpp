#include "bronzedeal/request/ticket_table.hpp"

#include "support.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bronzedeal::request {
namespace {

using enum ResultCode;
using std::chrono::seconds;

std::optional<TicketId> Parse(std::string_view aText)
{
  return boost::leaf::try_handle_all(
    [&]() -> Result<std::optional<TicketId>> {
      BOOST_LEAF_AUTO(ticket, ParseTicket(aText));
      return std::optional<TicketId>(ticket);
    },
    [](const Error& aError) -> std::optional<TicketId> {
      EXPECT_EQ(aError.code, InvalidTicket);
      return std::nullopt;
    },
    []() -> std::optional<TicketId> { return std::nullopt; });
}

// Two texts for one ticket could be counted as two tickets, and numbers must
// not overflow.
TEST(Ticket, ParseRejectsTextThatIsNotCanonical)
{
  const TicketId ticket{ "entry-0.b_1", 18446744073709551615ULL, 7 };
  EXPECT_EQ(Parse(ToString(ticket)), ticket);
  for (const auto* text : { "",
                            "a",
                            "a.1",
                            "a.1.",
                            ".1.2",
                            "a..2",
                            "a.1.0",
                            "a.01.2",
                            "a.1.02",
                            "a.+1.2",
                            "a.1.-2",
                            "a.1.2 ",
                            " a.1.2",
                            "a.1.2x",
                            "a b.1.2",
                            "a.1.18446744073709551616" }) {
    EXPECT_FALSE(Parse(text)) << text;
  }
  EXPECT_FALSE(Parse(std::string(65, 'a') + ".1.2"));
}

// A code must count as "not run" exactly when it guarantees that.
TEST(Ticket, EveryCodeHasItsOutcome)
{
  for (const auto& it : ResultCodeTable()) {
    const auto outcome = OutcomeOf(it.code);
    EXPECT_EQ(outcome == Outcome::NotRun, IsNotRun(it.code)) << it.name;
    EXPECT_EQ(outcome == Outcome::Ran, it.code == Ok || it.code == Partial);
  }
}

struct TicketTableTest : public ::testing::Test
{
  TicketTable table{ "entry-0", 5 };
  Fingerprint content{ 1 };

  static TicketId Issue(TicketTable& aTable, TimePoint aNow)
  {
    return boost::leaf::try_handle_all([&] { return aTable.Issue(aNow); },
                                       [](const Error& aError) {
                                         EXPECT_EQ(aError.code,
                                                   NotRunOverloaded);
                                         return TicketId{};
                                       },
                                       [] { return TicketId{}; });
  }
  static ResultCode CodeOf(const TicketTable::RedeemResult& aResult)
  {
    const auto* answer = std::get_if<TicketTable::Answer>(&aResult);
    return answer == nullptr ? Internal : answer->outcome.code;
  }
  static bool IsRun(const TicketTable::RedeemResult& aResult)
  {
    return std::holds_alternative<TicketTable::Run>(aResult);
  }
};

// A duplicate must not run: it waits for the running request and then gets the
// recorded outcome.
TEST_F(TicketTableTest, TicketRunsOnce)
{
  const auto ticket = Issue(table, kStart);
  EXPECT_TRUE(IsRun(table.Redeem(ticket, content, 1, kStart)));
  EXPECT_TRUE(std::holds_alternative<TicketTable::Wait>(
    table.Redeem(ticket, content, 2, kStart)));
  EXPECT_EQ(table.Complete(ticket.number, { Ok, "7" }, kStart),
            std::vector<TicketTable::WaiterId>{ 2 });
  const auto again = table.Redeem(ticket, content, 3, kStart);
  EXPECT_EQ(std::get<TicketTable::Answer>(again).outcome.result, "7");
  table.Complete(ticket.number, { NotRunShed, "" }, kStart);
  EXPECT_EQ(CodeOf(table.Redeem(ticket, content, 3, kStart)), Ok)
    << "a late outcome must not replace the recorded one";
  EXPECT_EQ(CodeOf(table.Redeem(ticket, { 9 }, 3, kStart)), InvalidTicket)
    << "the outcome of another content must not be reported";
}

// Expired, foreign and invented tickets must not run, and the table must not
// report "not run" when it can't know that.
TEST_F(TicketTableTest, RefusesExpiredForeignAndUnknownTickets)
{
  const auto ticket = Issue(table, kStart);
  EXPECT_EQ(CodeOf(table.Redeem(ticket, content, 1, kStart + seconds(30))),
            NotRunTicketExpired);
  EXPECT_EQ(CodeOf(table.Redeem(ticket, content, 1, kStart)),
            NotRunTicketExpired)
    << "an older clock reading must not make the ticket valid again";
  EXPECT_EQ(CodeOf(table.Redeem({ "entry-0", 4, 1 }, content, 1, kStart)),
            OutcomeUnknownIssuerGone);
  EXPECT_EQ(CodeOf(table.Redeem({ "entry-1", 5, 1 }, content, 1, kStart)),
            OutcomeUnknown);
  EXPECT_EQ(CodeOf(table.Redeem({ "entry-0", 5, 2 }, content, 1, kStart)),
            InvalidTicket);
  table.Expire(kStart + seconds(60));
  EXPECT_EQ(table.size(), 0U);
  EXPECT_EQ(CodeOf(table.Redeem(ticket, content, 1, kStart + seconds(60))),
            OutcomeUnknownRecordExpired);
}

// The records, results and waiters of the table must be bounded.
TEST_F(TicketTableTest, RecordsResultsAndWaitersAreBounded)
{
  TicketTable small("entry-0", 5, { seconds(30), seconds(60), 2, 10, 1 });
  const auto first = Issue(small, kStart);
  const auto second = Issue(small, kStart);
  EXPECT_EQ(Issue(small, kStart).number, 0U);
  for (const auto& it : { first, second }) {
    EXPECT_TRUE(IsRun(small.Redeem(it, content, 0, kStart)));
    EXPECT_FALSE(IsRun(small.Redeem(it, content, 1, kStart)));
    EXPECT_EQ(CodeOf(small.Redeem(it, content, 2, kStart)), OutcomeUnknown);
    small.Complete(it.number, { Ok, "12345678" }, kStart);
  }
  const auto dropped = small.Redeem(first, content, 1, kStart);
  EXPECT_EQ(CodeOf(dropped), Ok) << "the outcome outlives its result";
  EXPECT_TRUE(std::get<TicketTable::Answer>(dropped).outcome.result.empty());
}

// Without the record of a running request, its duplicate would not be
// recognized; its waiters must get an answer.
TEST_F(TicketTableTest, RunningRequestExpiresWithUnknownOutcome)
{
  const auto ticket = Issue(table, kStart);
  EXPECT_TRUE(IsRun(table.Redeem(ticket, content, 1, kStart)));
  EXPECT_FALSE(IsRun(table.Redeem(ticket, content, 2, kStart)));
  const auto later = kStart + seconds(60);
  EXPECT_EQ(table.Expire(later), std::vector<TicketTable::WaiterId>{ 2 });
  EXPECT_EQ(table.RunningCount(), 0U);
  EXPECT_EQ(CodeOf(table.Redeem(ticket, content, 2, later)), OutcomeUnknown);
}

// No order of calls may run a ticket twice or change a recorded outcome.
RC_GTEST_PROP(TicketTableProperty, NoTicketRunsTwice, (std::uint64_t aSeed))
{
  std::mt19937_64 random(aSeed);
  TicketTable table("entry-0", 5, { seconds(30), seconds(60), 8, 64, 2 });
  std::vector<int> runs(64);
  std::vector<std::optional<ResultCode>> recorded(64);
  auto now = kStart;
  for (int i = 0; i < 200; ++i) {
    const std::uint64_t number = 1 + random() % 40;
    switch (random() % 4) {
      case 0:
        TicketTableTest::Issue(table, now);
        break;
      case 1: {
        const auto use =
          table.Redeem({ "entry-0", 5, number }, { 1 }, random(), now);
        if (TicketTableTest::IsRun(use)) {
          RC_ASSERT(++runs[number] == 1);
        } else if (recorded[number] &&
                   std::holds_alternative<TicketTable::Answer>(use)) {
          const auto code = TicketTableTest::CodeOf(use);
          RC_ASSERT(code == *recorded[number] ||
                    code == OutcomeUnknownRecordExpired ||
                    code == OutcomeUnknown);
        }
        break;
      }
      case 2:
        table.Complete(number, { Ok, "1234567890" }, now);
        if (runs[number] == 1) {
          recorded[number] = Ok;
        }
        break;
      default:
        now += milliseconds(random() % 20'000);
        table.Expire(now);
    }
  }
}

} // namespace
} // namespace bronzedeal::request
