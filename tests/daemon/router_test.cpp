#include "bronzedeal/daemon/attempt_router.hpp"
#include "bronzedeal/peer.pb.h"
#include "support.hpp"

#include <limits>
#include <map>
#include <mutex>

namespace bronzedeal::daemon {
namespace {

using request::AttemptId;

/// A router of `entry-0`, which owns slice 0; `owner-1` owns slice 1, records
/// the messages that arrive and answers none.
class RouterTest : public testing::Test
{
protected:
  RouterTest()
    : mRemote({ .self = "owner-1", .incarnation = 1 })
    , mTransport({ .self = "entry-0", .incarnation = 7 })
  {
    mRemote.SetMessageHandler([this](peer::Envelope&& aEnvelope) {
      const std::lock_guard lock(mMutex);
      mReceived.push_back(std::move(aEnvelope));
    });
    const auto port = mRemote.Listen("127.0.0.1:0");
    mTransport.SetPeers(
      { { "owner-1", "127.0.0.1:" + std::to_string(port.value()) } });
    auto view = std::make_shared<FleetView>();
    view->owners = { { { "fd-a", 0 }, "entry-0" },
                     { { "fd-a", 1 }, "owner-1" },
                     { { "fd-a", 2 }, "unlisted" } };
    mFleet.Store(std::move(view));
    mContext->payload = std::make_shared<const std::string>("{}");
    mContext->deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(60);
  }

  std::unique_ptr<AttemptRouter> MakeRouter(Incarnation aIncarnation)
  {
    auto router = std::make_unique<AttemptRouter>("entry-0",
                                                  aIncarnation,
                                                  mFleet,
                                                  mOwner.executor,
                                                  mTransport,
                                                  mOwner.ledger,
                                                  mMetrics);
    router->SetResultHandler([this](AttemptId aAttempt, OwnerResult aResult) {
      const std::lock_guard lock(mMutex);
      mResults[aAttempt].push_back(aResult.code);
      mElapsed = aResult.elapsed;
    });
    return router;
  }

  void Send(AttemptRouter& aRouter, AttemptId aAttempt, std::uint32_t aSlice)
  {
    const RoutedAttempt routed{
      aAttempt, "shard-0", "svc-a", { "fd-a", aSlice }, false
    };
    aRouter.Send(mContext, { &routed, 1 }, false);
  }

  /// The attempt id of the n-th message that `owner-1` received, from 0.
  AttemptId NumberAt(std::size_t aMessage)
  {
    WaitFor([&] {
      const std::lock_guard lock(mMutex);
      return mReceived.size() > aMessage;
    });
    const std::lock_guard lock(mMutex);
    const auto& envelope = mReceived[aMessage];
    if (envelope.has_cancel_sub_request()) {
      return envelope.cancel_sub_request().attempt_ids(0);
    }
    if (envelope.has_sub_response()) {
      return envelope.sub_response().attempt_id();
    }
    return envelope.sub_request_batch().items(0).attempt_id();
  }

  static void Answer(AttemptRouter& aRouter,
                     const InstanceId& aFrom,
                     AttemptId aNumber)
  {
    peer::SubResponse response;
    response.set_attempt_id(aNumber);
    aRouter.OnResponse(aFrom, std::move(response));
  }

  FakeHttpServer mServer;
  Owner mOwner{ mServer.Address() };
  process::Metrics mMetrics;
  FleetViewHolder mFleet;
  std::shared_ptr<AttemptContext> mContext = std::make_shared<AttemptContext>();
  std::mutex mMutex;
  std::vector<peer::Envelope> mReceived;
  std::map<AttemptId, std::vector<ResultCode>> mResults;
  Duration mElapsed{ -1 };
  connection::PeerTransport mRemote;
  connection::PeerTransport mTransport;
  std::unique_ptr<AttemptRouter> mRouter = MakeRouter(7);
};

// Guards against an attempt on a slice without a reachable owner that is
// reported as lost, or not at all.
TEST_F(RouterTest, AttemptWithoutAnOwnerIsNotRun)
{
  Send(*mRouter, 1, 3);
  Send(*mRouter, 2, 2);
  EXPECT_EQ(std::vector{ ResultCode::NotRunNoOwner }, mResults[1]);
  EXPECT_EQ(std::vector{ ResultCode::NotRunNoOwner }, mResults[2]);
  EXPECT_EQ(0U, mRouter->OutstandingCount());
  EXPECT_EQ(0U, mOwner.ledger.Total());
}

// Guards against a duplicate response, or one for an unknown attempt or from
// another peer, that completes an attempt.
TEST_F(RouterTest, IgnoresResponsesToUnknownAttempts)
{
  Send(*mRouter, 1, 1);
  const auto number = NumberAt(0);
  Answer(*mRouter, "owner-1", number + 1);
  Answer(*mRouter, "owner-2", number);
  EXPECT_TRUE(mResults.empty());
  Answer(*mRouter, "owner-1", number);
  Answer(*mRouter, "owner-1", number);
  EXPECT_EQ(std::vector{ ResultCode::Ok }, mResults[1]);
  EXPECT_EQ(3, mMetrics.Value(process::Counter::LateResponses));
}

// Guards against attempts that wait until their deadline for an owner that has
// died, although another replica could answer at once.
TEST_F(RouterTest, BrokenPeersAreNotSentToUntilHeardFrom)
{
  mRouter->OnPeerDisconnected("owner-1");
  Send(*mRouter, 1, 1);
  EXPECT_EQ(std::vector{ ResultCode::NotRunNoOwner }, mResults[1]);
  EXPECT_EQ(0U, mRouter->OutstandingCount());
  mRouter->OnPeerReachable("owner-1");
  Send(*mRouter, 2, 1);
  EXPECT_EQ(1U, mRouter->OutstandingCount());
}

// Guards against a result "not run" for a request that the owner may have run:
// the stream breaks, or the response is overdue.
TEST_F(RouterTest, LostResponsesAreReportedAsOutcomeUnknown)
{
  Send(*mRouter, 1, 1);
  mContext = std::make_shared<AttemptContext>(*mContext);
  mContext->nonRepeatable = true;
  Send(*mRouter, 2, 1);
  mRouter->OnPeerDisconnected("owner-2");
  EXPECT_TRUE(mResults.empty());
  mRouter->OnPeerDisconnected("owner-1");
  EXPECT_EQ(std::vector{ ResultCode::OutcomeUnknown }, mResults[1]);
  EXPECT_EQ(std::vector{ ResultCode::OutcomeUnknown }, mResults[2]);
  mRouter->OnPeerReachable("owner-1");
  Send(*mRouter, 3, 1);
  mRouter->Expire(mContext->deadline);
  EXPECT_EQ(1U, mRouter->OutstandingCount());
  mRouter->Expire(mContext->deadline + std::chrono::seconds(1));
  EXPECT_EQ(std::vector{ ResultCode::OutcomeUnknown }, mResults[3]);
}

// Guards against a cancellation message with another attempt's id, and against
// work that is no longer counted before the owner has confirmed its end.
TEST_F(RouterTest, CancelSendsTheAttemptIdAndKeepsItCounted)
{
  Send(*mRouter, 1, 1);
  const AttemptId attempt = 1;
  mRouter->Cancel({ &attempt, 1 });
  EXPECT_EQ(NumberAt(0), NumberAt(1));
  ASSERT_EQ(1U, mOwner.ledger.Counts().size());
  EXPECT_EQ(version::WorkKind::Unconfirmed, mOwner.ledger.Counts()[0].kind);
  Answer(*mRouter, "owner-1", NumberAt(0));
  EXPECT_EQ(0U, mOwner.ledger.Total());
}

// Guards against a response to an earlier run of this instance that completes
// an attempt of this run: attempt ids start at the same number in each run.
TEST_F(RouterTest, IgnoresResponsesToAFormerIncarnation)
{
  Send(*mRouter, 1, 1);
  const auto former = NumberAt(0);
  mRouter = MakeRouter(8);
  Send(*mRouter, 1, 1);
  const auto number = NumberAt(1);
  Answer(*mRouter, "owner-1", former);
  EXPECT_TRUE(mResults.empty());
  Answer(*mRouter, "owner-1", number);
  EXPECT_EQ(std::vector{ ResultCode::Ok }, mResults[1]);
}

// Guards against durations from peers that overflow to a deadline in the past,
// or to a negative latency that enters the latency digests.
TEST_F(RouterTest, ClampsDurationsFromPeers)
{
  peer::SubRequestBatch batch;
  batch.set_config_version(1);
  batch.set_index_version(3);
  batch.set_remaining_us(std::numeric_limits<std::uint64_t>::max() / 1024);
  (*batch.mutable_caller())["customer"] = "gaonsan";
  (*batch.mutable_request())["kind"] = "search";
  batch.set_fingerprint(std::string(16, 'x'));
  batch.set_payload("{}");
  auto& item = *batch.add_items();
  item.set_attempt_id(9);
  item.set_shard("shard-0");
  item.set_server("svc-a");
  mRouter->OnBatch("owner-1", 1, batch);
  WaitFor([&] { return mServer.Requests().size() == 1; });
  Send(*mRouter, 1, 1);
  const auto number = NumberAt(0) == 9 ? NumberAt(1) : NumberAt(0);
  peer::SubResponse response;
  response.set_attempt_id(number);
  response.set_elapsed_us(std::numeric_limits<std::uint64_t>::max());
  mRouter->OnResponse("owner-1", std::move(response));
  EXPECT_GE(mElapsed, Duration::zero());
  EXPECT_LE(mElapsed, std::chrono::hours(1));
}

} // namespace
} // namespace bronzedeal::daemon
