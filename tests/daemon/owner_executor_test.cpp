#include "support.hpp"

#include "bronzedeal/version/snapshot.hpp"

namespace bronzedeal::daemon {
namespace {

constexpr const char* kShard0 = "POST /v1/shards/shard-0/search";

struct Cause
{
  const char* name;
  void (*apply)(Owner&);
  ResultCode code;
};

void PrintTo(const Cause& aCause, std::ostream* aOut)
{
  *aOut << aCause.name;
}

/// Reasons for which an owner must not send an attempt, with the code that it
/// reports.
const Cause kCauses[] = {
  { "lease_expired",
    [](Owner& aOwner) {
      aOwner.leases.SetSendableSlices({ { aOwner.Slice(), TimePoint{} } });
    },
    ResultCode::NotRunNoOwner },
  { "no_lease",
    [](Owner& aOwner) { aOwner.leases.SetSendableSlices({}); },
    ResultCode::NotRunNoOwner },
  { "server_held",
    [](Owner& aOwner) { aOwner.leases.SetHeldServers({ "svc-a" }); },
    ResultCode::NotRunNoOwner },
  { "withdrawn",
    [](Owner& aOwner) {
      auto document = OneServer(2, "127.0.0.1:1");
      document.failureDomains["fd-a"].labels["state"] = "out";
      aOwner.PutInForce(std::move(document));
    },
    ResultCode::NotRunWithdrawn },
  { "quarantined",
    [](Owner& aOwner) { aOwner.quarantined = true; },
    ResultCode::NotRunQuarantined },
  { "leaving",
    [](Owner& aOwner) { aOwner.executor.SetLeavingServers({ "svc-a" }); },
    ResultCode::NotRunLeaving },
};

class RefusedSend : public testing::TestWithParam<Cause>
{};

// Guards against new work on a server that this instance may not use.
TEST_P(RefusedSend, OnArrival)
{
  FakeHttpServer server;
  Owner owner(server.Address());
  GetParam().apply(owner);
  EXPECT_EQ(GetParam().code, owner.Execute(1, "shard-0").get().code);
  EXPECT_TRUE(server.Requests().empty());
  EXPECT_EQ(0U, owner.ledger.Total());
}

// Guards against a check on arrival only: the reason arises while the attempt
// waits for a slot.
TEST_P(RefusedSend, WhenDequeued)
{
  FakeHttpServer server;
  Owner owner(server.Address());
  auto running = owner.Execute(1, "hold");
  WaitFor([&] { return server.Requests().size() == 1; });
  auto queued = owner.Execute(2, "shard-0");
  GetParam().apply(owner);
  server.ReleaseHeldRequests();
  EXPECT_EQ(ResultCode::Ok, running.get().code);
  EXPECT_EQ(GetParam().code, queued.get().code);
  EXPECT_EQ(1U, server.Requests().size());
  WaitFor([&] { return owner.ledger.Total() == 0; });
}

INSTANTIATE_TEST_SUITE_P(Owner,
                         RefusedSend,
                         testing::ValuesIn(kCauses),
                         [](const auto& aInfo) { return aInfo.param.name; });

// Guards against a result "not run" for work that a server may have received,
// and against "unknown" for work that it refused.
TEST(OwnerExecutor, ReportsWhetherTheServerMayHaveRunTheAttempt)
{
  FakeHttpServer server;
  Owner owner(server.Address());
  EXPECT_EQ(ResultCode::Ok, owner.Execute(1, "shard-0").get().code);
  EXPECT_EQ(ResultCode::ShardServerLost, owner.Execute(2, "close").get().code);
  EXPECT_EQ(ResultCode::OutcomeUnknown,
            owner.Execute(3, "close", true).get().code);
  EXPECT_EQ(ResultCode::NotRunShed,
            owner.Execute(4, "refuse", true).get().code);
  EXPECT_EQ(2, owner.crashes);
}

// Guards against a server that can't be reached and is reported as lost.
TEST(OwnerExecutor, UnreachableServerIsNotRun)
{
  std::string address;
  {
    const FakeHttpServer gone;
    address = gone.Address();
  }
  Owner owner(address);
  const auto code =
    owner.Execute(1, "shard-0", true, milliseconds(100)).get().code;
  EXPECT_TRUE(IsNotRun(code)) << static_cast<int>(code);
}

// Guards against queued work that is sent after it was cancelled, expired or
// withdrawn, and against a refusal of work that was sent.
TEST(OwnerExecutor, RefusesQueuedAttempts)
{
  FakeHttpServer server;
  Owner owner(server.Address());
  auto running = owner.Execute(1, "hold");
  WaitFor([&] { return server.Requests().size() == 1; });
  auto cancelled = owner.Execute(2, "shard-0");
  auto late = owner.Execute(3, "shard-0", false, milliseconds(50));
  auto withdrawn = owner.Execute(4, "shard-0");
  owner.executor.Cancel(Owner::Key(2));
  EXPECT_EQ(ResultCode::NotRunCancelled, cancelled.get().code);
  EXPECT_EQ(ResultCode::NotRunDeadline, late.get().code);
  auto document = OneServer(2, server.Address());
  document.services["svc"].servers.clear();
  owner.PutInForce(std::move(document));
  owner.Lease({});
  EXPECT_EQ(ResultCode::NotRunWithdrawn, withdrawn.get().code);
  server.ReleaseHeldRequests();
  EXPECT_EQ(ResultCode::Ok, running.get().code);
  EXPECT_EQ(1U, server.Requests().size());
}

// Guards against two instances that send to one server: a document that moves
// the server to another slice leaves the lease on its former slice in place.
TEST(OwnerExecutor, MovedServerNeedsTheLeaseOnItsNewSlice)
{
  FakeHttpServer server;
  Owner owner(server.Address());
  const auto former = owner.Slice();
  auto running = owner.Execute(1, "hold");
  WaitFor([&] { return server.Requests().size() == 1; });
  auto document = OneServer(2, server.Address());
  while (SliceOf("svc-a", "fd-a", document.slicesPerDomain) == former) {
    ++document.slicesPerDomain;
  }
  owner.PutInForce(std::move(document));
  owner.Lease({ former });
  auto refused = owner.Execute(2, "shard-0");
  server.ReleaseHeldRequests();
  EXPECT_EQ(ResultCode::Ok, running.get().code);
  EXPECT_EQ(ResultCode::NotRunNoOwner, refused.get().code);
  owner.Lease({ owner.Slice() });
  EXPECT_EQ(ResultCode::Ok, owner.Execute(3, "shard-0").get().code);
}

// Guards against more work on a server than its slots allow: the server may
// still run a cancelled attempt.
TEST(OwnerExecutor, CancelledAttemptKeepsItsSlot)
{
  FakeHttpServer server;
  Owner owner(server.Address());
  auto cancelled = owner.Execute(1, "hold");
  WaitFor([&] { return server.Requests().size() == 1; });
  owner.executor.Cancel(Owner::Key(1));
  EXPECT_EQ(ResultCode::ShardCancelled, cancelled.get().code);
  auto next = owner.Execute(2, "shard-0");
  // The cancellation has reached the server; it still holds the request.
  WaitFor([&] { return server.Requests().size() == 2; });
  EXPECT_EQ(1U, owner.executor.InFlightCount());
  EXPECT_FALSE(owner.executor.IsIdle(owner.Slice()));
  const auto counts = owner.ledger.Counts();
  EXPECT_TRUE(std::any_of(counts.begin(), counts.end(), [](const auto& aCount) {
    return aCount.kind == version::WorkKind::Unconfirmed && aCount.count == 1;
  }));
  // Longer than the default of `max_subrequest_ms`; the document sets more.
  EXPECT_EQ(std::future_status::timeout, next.wait_for(milliseconds(1200)));
  server.ReleaseHeldRequests();
  EXPECT_EQ(ResultCode::Ok, next.get().code);
  EXPECT_EQ(kShard0, server.Requests().at(2));
  WaitFor([&] { return owner.executor.IsIdle(owner.Slice()); });
}

// Guards against an attempt that arrives twice and runs twice, and against the
// end of one copy that removes the record of the other.
TEST(OwnerExecutor, ExecutesADuplicateKeyOnce)
{
  FakeHttpServer server;
  Owner owner(server.Address());
  auto first = owner.Execute(1, "hold");
  WaitFor([&] { return server.Requests().size() == 1; });
  const auto again = owner.Execute(1, "shard-0");
  server.ReleaseHeldRequests();
  EXPECT_EQ(ResultCode::Ok, first.get().code);
  EXPECT_EQ(ResultCode::Ok, owner.Execute(2, "shard-0").get().code);
  EXPECT_EQ(2U, server.Requests().size());
  WaitFor([&] { return owner.executor.IsIdle(owner.Slice()); });
}

} // namespace
} // namespace bronzedeal::daemon
