#pragma once

#include "../connection/fake_http_server.hpp"
#include "bronzedeal/daemon/owner_executor.hpp"

#include <chrono>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace bronzedeal::daemon {

using connection::FakeHttpServer;

/// A document with one server, `svc-a`, that serves `shard-0` and the shards
/// `hold`, `close` and `refuse`, whose names select what the fake server does.
inline version::Document OneServer(ConfigVersion aVersion,
                                   const std::string& aAddress)
{
  const auto any = [](std::string_view aText) {
    std::string why;
    return *version::Selector::Parse(aText, why);
  };
  version::Document document;
  document.version = aVersion;
  document.failureDomains["fd-a"] = { "r1", {} };
  auto& service = document.services["svc"];
  service.limits.slots = 1;
  service.servers["svc-a"] = { aAddress, "fd-a", {} };
  document.index.serving = 3;
  for (const auto* it : { "shard-0", "hold", "close", "refuse" }) {
    document.index.versions[3][it] = { "svc", {} };
  }
  document.selectors.push_back(
    { "all", any("customer"), any("kind"), any("state!=out") });
  // Long, so that no test depends on its own duration.
  document.limits.maxSubrequest = std::chrono::seconds(60);
  return document;
}

/// An executor that owns `svc-a`, with the thread that runs it.
class Owner
{
public:
  explicit Owner(const std::string& aAddress)
    : mAddress(aAddress)
    , executor(context, snapshots, leases, ledger, true, MakeHooks())
    , mThread([this] {
      const auto guard = boost::asio::make_work_guard(context);
      context.run();
    })
  {
    PutInForce(OneServer(1, aAddress));
    Lease({ Slice() });
  }
  ~Owner()
  {
    context.stop();
    mThread.join();
  }
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  [[nodiscard]] SliceId Slice() const
  {
    return snapshots.Load()->FindServer("svc-a")->slice;
  }

  void PutInForce(version::Document aDocument)
  {
    ASSERT_TRUE(snapshots.Store(version::MakeSnapshot(std::move(aDocument))));
  }

  void Lease(const std::vector<SliceId>& aSlices)
  {
    std::vector<std::pair<SliceId, TimePoint>> sendable;
    for (const auto& it : aSlices) {
      sendable.emplace_back(it, TimePoint::max());
    }
    leases.SetSendableSlices(sendable);
    executor.Refresh(std::chrono::steady_clock::now());
  }

  /// Starts an attempt on a shard of `svc-a`.
  std::future<OwnerResult> Execute(
    request::AttemptId aAttempt,
    const ShardId& aShard,
    bool aNonRepeatable = false,
    Duration aDeadline = std::chrono::seconds(60))
  {
    auto attempt = std::make_shared<AttemptContext>();
    attempt->configVersion = snapshots.Load()->Version();
    attempt->indexVersion = 3;
    attempt->deadline = std::chrono::steady_clock::now() + aDeadline;
    attempt->caller = { { "customer", "gaonsan" } };
    attempt->request = { { "kind", "search" } };
    attempt->payload = std::make_shared<const std::string>("{}");
    attempt->nonRepeatable = aNonRepeatable;
    const auto promise = std::make_shared<std::promise<OwnerResult>>();
    executor.Execute({ Key(aAttempt), std::move(attempt), aShard, "svc-a" },
                     [promise](OwnerResult aResult) {
                       promise->set_value(std::move(aResult));
                     });
    return promise->get_future();
  }

  static AttemptKey Key(request::AttemptId aAttempt)
  {
    return { "entry-0", 7, aAttempt };
  }

  boost::asio::io_context context;
  version::SnapshotHolder snapshots;
  LeaseTable leases;
  version::WorkLedger ledger;
  std::atomic<bool> quarantined{ false };
  std::atomic<int> crashes{ 0 };

private:
  OwnerExecutor::Hooks MakeHooks()
  {
    return { [this](const request::Fingerprint&) {
              return quarantined ? request::ContentState::Quarantined
                                 : request::ContentState::Proven;
            },
             [this](auto, const ServerId&) { ++crashes; },
             [](const ServerId&, std::string_view) {} };
  }

  std::string mAddress;

public:
  OwnerExecutor executor;

private:
  std::thread mThread;
};

/// Polls until a condition that other threads bring about is true.
template<typename Predicate>
void WaitFor(Predicate aReached)
{
  while (!aReached()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
}

} // namespace bronzedeal::daemon
