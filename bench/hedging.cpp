/// Virtual-time experiments with the decisions of the request path: hedging,
/// replica choice and the cost of one fan-out. Prints figures; checks nothing.
///
///     bench_hedging [seed [part of an experiment's name]]

#include "bronzedeal/request.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

using namespace bronzedeal;
using namespace bronzedeal::request;

namespace {

using Micros = std::chrono::microseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

struct Setup
{
  const char* name;
  std::size_t shards = 50;
  double percent = 5;
  bool hedging = true;
  bool canary = false;
  /// False: each query chooses replicas without memory, which is random.
  bool chooser = true;
  /// Hedges wait until at most this share of the shards is open.
  double openShare = 0.1;
  std::uint32_t hedgesPerShard = 1;
  /// Share of sub-requests that are 20 times slower.
  double stragglers = 0.02;
  /// The first servers are always 10 times slower.
  std::size_t slowServers = 0;
  /// Share of the servers' time in use without hedges.
  double load = 0.4;
};

/// Entry instances, owners and servers of two slots in virtual time.
class Simulation
{
public:
  Simulation(const Setup& aSetup, std::uint64_t aSeed)
    : mSetup(aSetup)
    , mRandom(aSeed)
    , mServers(aSetup.shards * 2)
  {
    mPlan.code = ResultCode::Ok;
    for (std::size_t i = 0; i < aSetup.shards; ++i) {
      auto& route = mPlan.shards.emplace_back();
      route.shard = fmt::format("shard-{:02}", i);
      for (std::size_t n = 0; n < 2; ++n) {
        auto& replica = route.replicas.emplace_back();
        replica.service = fmt::format("svc-{:02}", i);
        replica.server = std::to_string(2 * i + n);
      }
    }
    mPlan.indexVersion = 3;
    for (std::size_t i = 0; i < kEntries; ++i) {
      mEntries.push_back(std::make_unique<Entry>(aSetup.percent, mRandom()));
    }
  }

  void Run()
  {
    const auto work = kService.count() * (1 + 19 * mSetup.stragglers);
    const double perSecond = mSetup.load * 4 * 1e6 / work;
    At(kStart, [this, perSecond] { Arrive(1e6 / perSecond); });
    while (!mEvents.empty()) {
      const auto event = mEvents.top();
      mEvents.pop();
      mNow = event.at;
      (*event.action)();
    }
    std::sort(mLatencies.begin(), mLatencies.end());
    const auto at = [this](double aShare) {
      const auto n = static_cast<double>(mLatencies.size() - 1) * aShare;
      return static_cast<double>(mLatencies[static_cast<std::size_t>(n)]) / 1e3;
    };
    fmt::print(
      "{:34} {:7.1f} {:7.1f} {:7.1f} {:7.1f} {:8.2f} {:8.2f} {:8.3f}\n",
      mSetup.name,
      at(0.5),
      at(0.95),
      at(0.99),
      at(0.999),
      100.0 * static_cast<double>(mExtra) / static_cast<double>(mSent - mExtra),
      mBusy / 1e6 / kSeconds / 2 / static_cast<double>(mServers.size()) * 100,
      100.0 * static_cast<double>(mPartial) /
        static_cast<double>(mLatencies.size()));
  }

private:
  static constexpr std::size_t kEntries = 9;
  static constexpr int kSeconds = 60;
  static constexpr Micros kService{ 4000 };
  /// Entry instance to owner; owner to server is inside a failure domain.
  static constexpr Micros kHop{ 1500 };

  struct Entry
  {
    HedgeBudget budget;
    LatencyDigests digests;
    ReplicaChooser chooser;

    Entry(double aPercent, std::uint64_t aSeed)
      : budget(aPercent)
      , chooser(std::mt19937_64(aSeed))
    {
    }
  };
  struct Query
  {
    std::unique_ptr<ReplicaChooser> forgetful;
    std::unique_ptr<QueryRun> run;
    TimePoint start;
  };
  struct Work
  {
    std::shared_ptr<Query> query;
    AttemptId attempt = 0;
    TimePoint startedAt{};
    bool running = false;
    bool cancelled = false;
  };
  struct Server
  {
    std::deque<std::shared_ptr<Work>> queue;
    std::uint32_t inFlight = 0;
  };
  struct Event
  {
    TimePoint at;
    std::uint64_t order;
    std::shared_ptr<std::function<void()>> action;
    bool operator<(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    mEvents.push(
      { aTime,
        mOrder++,
        std::make_shared<std::function<void()>>(std::move(aAction)) });
  }

  double Uniform()
  {
    return (static_cast<double>(mRandom() >> 11U) + 0.5) * 0x1p-53;
  }

  void Arrive(double aMeanGap)
  {
    auto& entry = *mEntries[mRandom() % kEntries];
    auto query = std::make_shared<Query>();
    query->start = mNow;
    QueryOptions options;
    options.deadline = mNow + milliseconds(1000);
    options.contentState =
      mSetup.canary ? ContentState::Unproven : ContentState::Proven;
    options.hedgingEnabled = mSetup.hedging;
    options.hedgeOpenShare = mSetup.openShare;
    options.maxHedgesPerShard = mSetup.hedgesPerShard;
    auto* chooser = &entry.chooser;
    if (!mSetup.chooser) {
      query->forgetful =
        std::make_unique<ReplicaChooser>(std::mt19937_64(mRandom()));
      chooser = query->forgetful.get();
    }
    query->run = std::make_unique<QueryRun>(
      mPlan, options, entry.budget, entry.digests, *chooser, mNow);
    std::vector<QueryAction> actions;
    query->run->Start(mNow, actions);
    Apply(query, actions);
    const auto gap =
      Micros(static_cast<std::int64_t>(-std::log(Uniform()) * aMeanGap));
    if (mNow + gap < kStart + std::chrono::seconds(kSeconds)) {
      At(mNow + gap, [this, aMeanGap] { Arrive(aMeanGap); });
    }
  }

  void Apply(const std::shared_ptr<Query>& aQuery,
             std::vector<QueryAction>& aActions)
  {
    for (auto& it : aActions) {
      if (const auto* sent = std::get_if<Dispatch>(&it)) {
        Send(aQuery, *sent);
      } else if (const auto* cancel = std::get_if<Cancel>(&it)) {
        const auto attempt = cancel->attempt;
        const auto server = ServerOf(*aQuery, attempt);
        At(mNow + kHop, [this, aQuery, attempt, server] {
          CancelWork(*aQuery, attempt, server);
        });
      } else {
        const auto& answer = std::get<Finish>(it).answer;
        mPartial += answer.missing.empty() ? 0 : 1;
        mLatencies.push_back(
          std::chrono::duration_cast<Micros>(mNow - aQuery->start).count());
      }
    }
    aActions.clear();
    if (const auto due = aQuery->run->NextTimer()) {
      At(*due, [this, aQuery] { Timer(aQuery); });
    }
  }

  void Timer(const std::shared_ptr<Query>& aQuery)
  {
    if (aQuery->run->IsFinished()) {
      return;
    }
    std::vector<QueryAction> actions;
    aQuery->run->OnTimer(mNow, actions);
    if (!actions.empty()) {
      Apply(aQuery, actions);
    } else if (const auto due = aQuery->run->NextTimer(); due && *due > mNow) {
      At(*due, [this, aQuery] { Timer(aQuery); });
    }
  }

  std::size_t ServerOf(const Query& aQuery, AttemptId aAttempt) const
  {
    return std::stoul(aQuery.run->TargetOf(aAttempt)->server);
  }

  void Send(const std::shared_ptr<Query>& aQuery, const Dispatch& aSent)
  {
    ++mSent;
    mExtra += aSent.isHedge ? 1 : 0;
    auto work = std::make_shared<Work>();
    work->query = aQuery;
    work->attempt = aSent.attempt;
    const auto server = ServerOf(*aQuery, aSent.attempt);
    At(mNow + kHop, [this, work, server] {
      mServers[server].queue.push_back(work);
      Serve(server);
    });
  }

  void Serve(std::size_t aServer)
  {
    auto& server = mServers[aServer];
    while (server.inFlight < 2 && !server.queue.empty()) {
      auto work = server.queue.front();
      server.queue.pop_front();
      ++server.inFlight;
      mRunning[aServer].push_back(work);
      work->startedAt = mNow;
      work->running = true;
      // Half fixed and half exponential, so that servers differ a little.
      auto us = static_cast<double>(kService.count()) *
                (0.5 - 0.5 * std::log(Uniform()));
      us *= Uniform() < mSetup.stragglers ? 20 : 1;
      us *= aServer < mSetup.slowServers ? 10 : 1;
      At(mNow + Micros(static_cast<std::int64_t>(us)),
         [this, work, aServer] { Complete(work, aServer); });
    }
  }

  void Release(Work& aWork, std::size_t aServer)
  {
    aWork.running = false;
    --mServers[aServer].inFlight;
    mBusy += static_cast<double>(
      std::chrono::duration_cast<Micros>(mNow - aWork.startedAt).count());
    std::erase_if(mRunning[aServer],
                  [&](const auto& aItem) { return aItem.get() == &aWork; });
  }

  void Complete(const std::shared_ptr<Work>& aWork, std::size_t aServer)
  {
    if (aWork->cancelled) {
      return;
    }
    Release(*aWork, aServer);
    const auto& server = mServers[aServer];
    AttemptResult result{ ResultCode::Ok, 3, "[]", {} };
    result.load = { server.inFlight,
                    static_cast<std::uint32_t>(server.queue.size()),
                    2,
                    2,
                    false };
    At(mNow + kHop, [this, aWork, result] {
      auto& query = aWork->query;
      std::vector<QueryAction> actions;
      query->run->OnResponse(aWork->attempt, result, mNow, actions);
      Apply(query, actions);
    });
    Serve(aServer);
  }

  void CancelWork(const Query& aQuery, AttemptId aAttempt, std::size_t aServer)
  {
    const auto same = [&](const std::shared_ptr<Work>& aItem) {
      return aItem->query.get() == &aQuery && aItem->attempt == aAttempt;
    };
    std::erase_if(mServers[aServer].queue, same);
    auto& running = mRunning[aServer];
    const auto it = std::find_if(running.begin(), running.end(), same);
    if (it != running.end()) {
      const auto work = *it;
      work->cancelled = true;
      Release(*work, aServer);
      Serve(aServer);
    }
  }

  Setup mSetup;
  std::mt19937_64 mRandom;
  version::RoutePlan mPlan;
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::vector<Server> mServers;
  std::map<std::size_t, std::vector<std::shared_ptr<Work>>> mRunning;
  std::priority_queue<Event> mEvents;
  std::uint64_t mOrder = 0;
  TimePoint mNow = kStart;
  std::vector<std::int64_t> mLatencies;
  std::uint64_t mSent = 0;
  std::uint64_t mExtra = 0;
  std::uint64_t mPartial = 0;
  double mBusy = 0;
};

/// Real time of the decisions of one fan-out, in microseconds per sub-request.
void MeasureCost(std::size_t aShards)
{
  constexpr int kQueries = 2000;
  version::RoutePlan plan;
  plan.code = ResultCode::Ok;
  plan.indexVersion = 3;
  for (std::size_t i = 0; i < aShards; ++i) {
    auto& route = plan.shards.emplace_back();
    route.shard = fmt::format("shard-{:02}", i);
    for (const char n : { 'a', 'b' }) {
      auto& replica = route.replicas.emplace_back();
      replica.service = fmt::format("svc-{:02}", i);
      replica.server = fmt::format("svc-{:02}-{}", i, n);
      replica.address = "127.0.0.1:9001";
      replica.slice = { "fd-a", 3 };
      replica.selector = "gaonsan-search";
    }
  }
  HedgeBudget budget;
  LatencyDigests digests;
  ReplicaChooser chooser{ std::mt19937_64(1) };
  const std::string hits(1024, '1');
  auto now = kStart;
  std::chrono::nanoseconds copy{};
  std::chrono::nanoseconds fan{};
  std::chrono::nanoseconds write{};
  std::size_t bytes = 0;
  std::vector<QueryAction> actions;
  for (int i = 0; i < kQueries; ++i) {
    const auto t0 = std::chrono::steady_clock::now();
    auto pinned = plan;
    const auto t1 = std::chrono::steady_clock::now();
    QueryOptions options;
    options.contentState = ContentState::Proven;
    options.deadline = now + milliseconds(500);
    QueryRun run(std::move(pinned), options, budget, digests, chooser, now);
    run.Start(now, actions);
    const auto sent = std::exchange(actions, {});
    for (std::size_t n = 0; n < sent.size(); ++n) {
      now += Micros(20);
      run.OnResponse(std::get<Dispatch>(sent[n]).attempt,
                     { ResultCode::Ok, 3, hits, { 1, 0, 2, 2, false } },
                     now,
                     actions);
      if (const auto due = run.NextTimer(); due && *due <= now) {
        run.OnTimer(now, actions);
      }
    }
    const auto t2 = std::chrono::steady_clock::now();
    for (const auto& it : actions) {
      if (const auto* finish = std::get_if<Finish>(&it)) {
        bytes += WriteQueryAnswer("request-1", finish->answer).size();
      }
    }
    const auto t3 = std::chrono::steady_clock::now();
    actions.clear();
    copy += t1 - t0;
    fan += t2 - t1;
    write += t3 - t2;
  }
  const auto per = [&](std::chrono::nanoseconds aTime) {
    return static_cast<double>(aTime.count()) / 1e3 / kQueries /
           static_cast<double>(aShards);
  };
  fmt::print("\nfan-out of {}: us per sub-request: plan copy {:.3f}, decisions "
             "{:.3f}, answer text {:.3f} ({} bytes)\n",
             aShards,
             per(copy),
             per(fan),
             per(write),
             bytes / kQueries);
}

} // namespace

int main(int argc, char** argv)
{
  const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  fmt::print("{:34} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8}\n",
             "virtual time, ms",
             "p50",
             "p95",
             "p99",
             "p99.9",
             "extra %",
             "busy %",
             "partial%");
  const std::array setups{
    Setup{ .name = "no hedging", .hedging = false },
    Setup{ .name = "hedging, budget 1%", .percent = 1 },
    Setup{ .name = "hedging, budget 2%", .percent = 2 },
    Setup{ .name = "hedging, budget 5%" },
    Setup{ .name = "hedging, budget 10%", .percent = 10 },
    Setup{ .name = "hedging at once, budget 5%", .openShare = 1 },
    Setup{
      .name = "hedging at once, budget 10%", .percent = 10, .openShare = 1 },
    Setup{ .name = "last 4% of shards, budget 5%", .openShare = 0.04 },
    Setup{ .name = "last 20% of shards, budget 5%", .openShare = 0.2 },
    Setup{ .name = "two hedges per shard, 5%", .hedgesPerShard = 2 },
    Setup{
      .name = "two hedges per shard, 10%", .percent = 10, .hedgesPerShard = 2 },
    Setup{ .name = "canary before each query, 5%", .canary = true },
    Setup{ .name = "fan-out 120, no hedging", .shards = 120, .hedging = false },
    Setup{ .name = "fan-out 120, 5%", .shards = 120 },
    Setup{ .name = "fan-out 120, at once, 5%", .shards = 120, .openShare = 1 },
    Setup{ .name = "fan-out 120, two hedges, 5%",
           .shards = 120,
           .hedgesPerShard = 2 },
    Setup{ .name = "load 70%, no hedging", .hedging = false, .load = 0.7 },
    Setup{ .name = "load 70%, 5%", .load = 0.7 },
    Setup{
      .name = "load 70%, random replica, 5%", .chooser = false, .load = 0.7 },
    Setup{ .name = "load 70%, random replica, no hedging",
           .hedging = false,
           .chooser = false,
           .load = 0.7 },
    Setup{ .name = "load 85%, no stragglers, no hedging",
           .hedging = false,
           .stragglers = 0,
           .load = 0.85 },
    Setup{ .name = "load 85%, no stragglers, random",
           .hedging = false,
           .chooser = false,
           .stragglers = 0,
           .load = 0.85 },
    Setup{ .name = "slow server, random, no hedging",
           .hedging = false,
           .chooser = false,
           .stragglers = 0,
           .slowServers = 1,
           .load = 0.2 },
    Setup{ .name = "slow server, chooser, no hedging",
           .hedging = false,
           .stragglers = 0,
           .slowServers = 1,
           .load = 0.2 },
    Setup{ .name = "slow server, chooser, 5%",
           .stragglers = 0,
           .slowServers = 1,
           .load = 0.2 },
  };
  for (const auto& it : setups) {
    if (argc < 3 ||
        std::string_view(it.name).find(argv[2]) != std::string_view::npos) {
      Simulation(it, seed).Run();
    }
  }
  MeasureCost(120);
  return 0;
}
