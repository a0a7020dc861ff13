#include <gtest/gtest.h>

#include "bronzedeal/version/changes.hpp"
#include "bronzedeal/version/explain.hpp"
#include "bronzedeal/version/snapshot.hpp"
#include "generators.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <iostream>
#include <thread>

namespace bronzedeal::version {
namespace {

const Labels kBuyer{ { "customer", "gaonsan" } };
const Labels kSearch{ { "kind", "search" } };

/// The selector that permits a server, by merging labels and trying each
/// selector in turn; the slow definition that the tables must agree with.
std::string PermittingSelector(const Document& aDocument,
                               const Labels& aCaller,
                               const Labels& aRequest,
                               const std::string& aShard,
                               const ShardSpec& aSpec,
                               const std::string& aServer)
{
  const auto& service = aDocument.services.at(aSpec.service);
  const auto& server = service.servers.at(aServer);
  const auto& domain = aDocument.failureDomains.at(server.failureDomain);
  Labels labels;
  for (const auto* it :
       { &domain.labels, &service.labels, &aSpec.labels, &server.labels }) {
    for (const auto& [key, value] : *it) {
      labels[key] = value;
    }
  }
  labels["failure_domain"] = server.failureDomain;
  labels["region"] = domain.region;
  labels["service"] = aSpec.service;
  labels["server"] = aServer;
  labels["shard"] = aShard;
  for (const auto& it : aDocument.selectors) {
    if (it.callers.Matches(aCaller) && it.requests.Matches(aRequest) &&
        it.targets.Matches(labels)) {
      return it.name;
    }
  }
  return {};
}

std::vector<std::string> ShardsOf(const RoutePlan& aPlan)
{
  std::vector<std::string> result;
  for (const auto& it : aPlan.shards) {
    result.push_back(it.shard);
  }
  return result;
}

// Guards against routing tables that permit a server which the selectors don't,
// or the reverse, in plans, in the owner's check and in explanations.
TEST(Snapshot, TablesAgreeWithTheSelectors)
{
  EXPECT_TRUE(rc::check("routing tables", [] {
    const auto document = AnyDocument();
    const auto caller = AnyLabels();
    const auto request = AnyLabels();
    const Snapshot snapshot(document);
    // The second plan comes from the cache.
    const auto first = snapshot.Plan(caller, request);
    const auto plan = snapshot.Plan(caller, request);
    RC_ASSERT(first.shards == plan.shards);
    RC_ASSERT((plan.code == ResultCode::Ok) == !plan.shards.empty());
    RC_ASSERT(plan.indexVersion == document.index.serving);
    const auto explanation = Explain(snapshot, caller, request);
    RC_ASSERT(explanation.code == plan.code);
    RC_ASSERT(explanation.shards.size() == plan.shards.size());

    for (const auto& [version, shards] : document.index.versions) {
      for (const auto& [id, spec] : shards) {
        std::vector<std::string> permitted;
        for (const auto& it : document.services.at(spec.service).servers) {
          const auto expected =
            PermittingSelector(document, caller, request, id, spec, it.first);
          std::string selector;
          const bool permits =
            snapshot.Permits(caller, request, id, it.first, version, &selector);
          RC_ASSERT(permits == !expected.empty());
          RC_ASSERT(selector == expected);
          if (permits) {
            permitted.push_back(it.first + expected);
          }
        }
        if (version != document.index.serving) {
          continue;
        }
        std::vector<std::string> planned;
        for (const auto& route : plan.shards) {
          for (const auto& it : route.replicas) {
            if (route.shard == id) {
              planned.push_back(it.server + it.selector);
            }
          }
        }
        RC_ASSERT(planned == permitted);
      }
    }
    for (std::size_t n = 0; n < plan.shards.size(); ++n) {
      const auto& it = explanation.shards[n];
      RC_ASSERT(it.shard == plan.shards[n].shard);
      RC_ASSERT(
        std::count_if(
          it.servers.begin(), it.servers.end(), [](const auto& aServer) {
            RC_ASSERT(aServer.permitted == aServer.why.empty());
            return aServer.permitted;
          }) == static_cast<int>(plan.shards[n].replicas.size()));
    }
  }));
}

// Guards against two owners of one server while instances still act under the
// version in which it belonged to another slice.
TEST(Snapshot, ServersThatChangeTheirSliceAreReassigned)
{
  const auto former = MakeSnapshot(Example());
  EXPECT_TRUE(ReassignedServers(*former, *former).empty());

  auto document = Example();
  document.slicesPerDomain += 1;
  const auto resliced = MakeSnapshot(document);
  std::set<ServerId> expected;
  for (const auto& it : resliced->Servers()) {
    if (former->FindServer(it.id)->slice != it.slice) {
      expected.insert(it.id);
    }
  }
  EXPECT_EQ(ReassignedServers(*former, *resliced), expected);

  // The same process under another id and in another failure domain.
  document = Example();
  auto& [service, spec] = *document.services.begin();
  auto server = spec.servers.extract(spec.servers.begin());
  server.key() = "renamed";
  server.mapped().failureDomain = "fd-c";
  spec.servers.insert(std::move(server));
  const auto renamed = ReassignedServers(*former, *MakeSnapshot(document));
  EXPECT_TRUE(renamed.contains("renamed"));
}

// Guards against withdrawn shards that vanish from the coverage instead of
// being counted as missing.
TEST(Snapshot, WithdrawalNeverShrinksTheScope)
{
  const auto before = MakeSnapshot(Example())->Plan(kBuyer, kSearch);
  ASSERT_EQ(ShardsOf(before),
            (std::vector<std::string>{ "lots-all-0", "lots-all-1" }));
  EXPECT_EQ(before.shards[0].replicas.size(), 2U);
  EXPECT_EQ(before.shards[1].replicas.size(), 1U) << "one server is out";

  auto document = Example();
  document.failureDomains["fd-a"].labels["state"] = "out";
  document.failureDomains["fd-b"].labels["state"] = "out";
  const auto byDomain = MakeSnapshot(document)->Plan(kBuyer, kSearch);
  EXPECT_EQ(ShardsOf(byDomain), ShardsOf(before));
  EXPECT_TRUE(byDomain.shards[0].replicas.empty());

  document = Example();
  document.services["lots-00"].labels["state"] = "out";
  const auto byService = MakeSnapshot(document)->Plan(kBuyer, kSearch);
  EXPECT_EQ(ShardsOf(byService), ShardsOf(before));
  EXPECT_TRUE(byService.shards[0].replicas.empty());

  document = Example();
  std::string why;
  document.selectors[0].targets =
    *Selector::Parse("group=lots,failure_domain in (fd-c),state=in", why);
  const auto bySelector = MakeSnapshot(document)->Plan(kBuyer, kSearch);
  EXPECT_EQ(ShardsOf(bySelector), ShardsOf(before));
  EXPECT_TRUE(bySelector.shards[0].replicas.empty());
}

// Guards against work that is counted under another selector than the first,
// which would report the wrong selector as not yet withdrawn.
TEST(Snapshot, NamesTheFirstSelectorInDocumentOrder)
{
  auto document = Example();
  document.selectors.push_back({ "any", {}, {}, {} });
  std::string selector;
  EXPECT_TRUE(MakeSnapshot(document)->Permits(
    kBuyer, kSearch, "lots-all-0", "lots-00-a", 3, &selector));
  EXPECT_EQ(selector, "gaonsan-search");
  std::swap(document.selectors.front(), document.selectors.back());
  const auto plan = MakeSnapshot(document)->Plan(kBuyer, kSearch);
  EXPECT_EQ(plan.shards.at(0).replicas.at(0).selector, "any");
}

// Guards against access without a selector.
TEST(Snapshot, DeniesByDefault)
{
  const auto snapshot = MakeSnapshot(Example());
  const Labels stranger{ { "customer", "nobody" } };
  const auto plan = snapshot->Plan(stranger, kSearch);
  EXPECT_EQ(plan.code, ResultCode::NotRunDenied);
  EXPECT_TRUE(plan.shards.empty());
  EXPECT_EQ(plan.configVersion, 12U);
  const auto permits =
    [&](const char* aShard, const char* aServer, IndexVersion aVersion) {
      return snapshot->Permits(kBuyer, kSearch, aShard, aServer, aVersion);
    };
  EXPECT_TRUE(permits("lots-all-0", "lots-00-a", 3));
  EXPECT_TRUE(permits("lots-all", "lots-00-a", 2)) << "not the serving version";
  EXPECT_FALSE(permits("lots-all", "lots-00-a", 3)) << "shard of version 2";
  EXPECT_FALSE(permits("lots-all-0", "lots-00-a", 4)) << "unknown version";
  EXPECT_FALSE(permits("lots-all-0", "lots-01-b", 3)) << "other service";
  EXPECT_FALSE(permits("orders-all", "orders-00-c", 3)) << "other group";
}

// Guards against servers that the owner can't find or that fall into a slice
// outside the list of slices.
TEST(Snapshot, ListsServersAndSlices)
{
  const auto snapshot = MakeSnapshot(Example());
  EXPECT_EQ(snapshot->Servers().size(), 5U);
  EXPECT_EQ(snapshot->Slices().size(), 18U);
  for (const auto& it : snapshot->Servers()) {
    EXPECT_EQ(snapshot->FindServer(it.id), &it);
    EXPECT_EQ(it.region, "r1");
    EXPECT_EQ(std::count(
                snapshot->Slices().begin(), snapshot->Slices().end(), it.slice),
              1);
  }
  EXPECT_EQ(snapshot->FindServer("none"), nullptr);
  EXPECT_EQ(snapshot->Hash(), HashOf(Example()));
}

// Guards against an explanation that does not tell operators the cause.
TEST(Explain, NamesSelectorsServersAndReasons)
{
  const auto snapshot = MakeSnapshot(Example());
  const auto text = ToJson(Explain(*snapshot, kBuyer, kSearch));
  const auto value = boost::json::parse(text);
  EXPECT_EQ(value.at("code_name"), "Ok");
  EXPECT_EQ(value.at_pointer("/selectors/0/matches"), true);
  EXPECT_EQ(value.at_pointer("/selectors/0/shards"), 2);
  EXPECT_EQ(value.at_pointer("/selectors/1/why"),
            "caller: `role` fails: the label is absent");
  EXPECT_EQ(value.at_pointer("/shards/1/group"), "lots");
  EXPECT_EQ(value.at_pointer("/shards/1/servers/0/selector"), "gaonsan-search");
  EXPECT_EQ(value.at_pointer("/shards/1/servers/1/why"),
            "gaonsan-search: `state!=out` fails: the label is `out`");

  const auto parsed = [](const char* aText) {
    return boost::leaf::try_handle_all(
      [&]() -> Result<std::size_t> {
        BOOST_LEAF_AUTO(it, ParseExplainRequest(aText));
        return it.caller.size() + it.request.size();
      },
      [](const Error& aError) { return 100 + aError.fields.size(); },
      [] { return std::size_t{ 999 }; });
  };
  EXPECT_EQ(parsed(R"({"caller":{"a":"b"},"request":{"kind":"k"}})"), 2U);
  EXPECT_EQ(parsed(R"({"caller":{"a":1},"extra":0})"), 103U);
  EXPECT_EQ(parsed("{"), 100U);
}

// Guards against a reader that sees a lower version after a higher one, and
// against cached plans that are confused in concurrent use.
TEST(SnapshotHolder, VersionsOnlyRise)
{
  SnapshotHolder holder;
  EXPECT_EQ(holder.Load(), nullptr);
  EXPECT_FALSE(holder.Store(nullptr));
  std::vector<std::shared_ptr<const Snapshot>> snapshots;
  for (ConfigVersion it = 1; it <= 200; ++it) {
    auto document = Example();
    document.version = it;
    snapshots.push_back(MakeSnapshot(std::move(document)));
  }
  std::atomic<bool> failed{ false };
  std::vector<std::thread> threads;
  threads.reserve(3);
  for (std::size_t start = 0; start < 3; ++start) {
    threads.emplace_back([&, start] {
      ConfigVersion last = 0;
      for (std::size_t it = start; it < snapshots.size(); it += 3) {
        holder.Store(snapshots[it]);
        const auto seen = holder.Load()->Version();
        if (seen < last || seen < snapshots[it]->Version()) {
          failed = true;
        }
        for (const auto& request : { kSearch, Labels{} }) {
          const auto plan = snapshots.back()->SharedPlan(kBuyer, request);
          failed = failed || plan->configVersion != 200U ||
                   plan->shards.empty() != request.empty();
        }
        last = seen;
      }
    });
  }
  for (auto& it : threads) {
    it.join();
  }
  EXPECT_FALSE(failed);
  EXPECT_EQ(holder.Load()->Version(), 200U);
  EXPECT_FALSE(holder.Store(snapshots.back())) << "the same version";
}

// Prints the cost per request for 120 shards of two servers; asserts no time.
TEST(Snapshot, CostOfRouting)
{
  Document document;
  document.version = 1;
  document.index.serving = 1;
  for (const auto* it : { "fd-a", "fd-b" }) {
    document.failureDomains[it] = { "r1", { { "state", "in" } } };
  }
  std::string why;
  for (int n = 0; n < 120; ++n) {
    const auto id = fmt::format("svc-{:03}", n);
    auto& service = document.services[id];
    service.labels["group"] = "lots";
    for (const auto* it : { "a", "b" }) {
      service.servers[fmt::format("{}-{}", id, it)] = {
        fmt::format("10.0.{}.{}:9000", n, *it), fmt::format("fd-{}", it), {}
      };
    }
    document.index.versions[1][fmt::format("shard-{:03}", n)] = { id, {} };
  }
  for (int n = 0; n < 100; ++n) {
    document.selectors.push_back(
      { fmt::format("selector-{}", n),
        *Selector::Parse(fmt::format("customer=customer-{}", n % 50), why),
        *Selector::Parse("kind=search", why),
        *Selector::Parse("group=lots,state!=out", why) });
  }
  const Labels buyer{ { "customer", "customer-7" } };
  using Clock = std::chrono::steady_clock;
  auto start = Clock::now();
  const auto snapshot = MakeSnapshot(std::move(document));
  const auto report = [&](const char* aWhat, int aCount) {
    const std::chrono::duration<double, std::micro> spent =
      Clock::now() - start;
    std::cout << fmt::format("{}: {:.2f} us\n", aWhat, spent.count() / aCount);
    start = Clock::now();
  };
  report("MakeSnapshot, 240 servers, 100 selectors", 1);
  std::size_t found = 0;
  found += snapshot->SharedPlan(buyer, kSearch)->shards.size();
  report("first SharedPlan, 120 shards", 1);
  for (int n = 0; n < 1000; ++n) {
    found += snapshot->SharedPlan(buyer, kSearch)->shards.size();
  }
  report("SharedPlan, 120 shards", 1000);
  for (int n = 0; n < 200; ++n) {
    found += snapshot->Plan(buyer, kSearch).shards.size();
  }
  report("Plan with its copy, 120 shards", 200);
  EXPECT_EQ(found, 1201U * 120U);
  int permitted = 0;
  for (int n = 0; n < 1000; ++n) {
    permitted +=
      snapshot->Permits(buyer, kSearch, "shard-042", "svc-042-b", 1) ? 1 : 0;
  }
  report("Permits", 1000);
  EXPECT_EQ(permitted, 1000);
}

} // namespace
} // namespace bronzedeal::version
