#include "bronzedeal/version/snapshot.hpp"

#include <algorithm>
#include <array>
#include <boost/container/small_vector.hpp>
#include <map>
#include <unordered_map>
#include <utility>

namespace bronzedeal::version {

namespace {

// Bounds the memory of cached plans: a replica takes about 250 bytes.
constexpr std::size_t kMaxCachedReplicas = 65'536;
constexpr std::size_t kPlanBuckets = 64;

/// Positions of selectors in the document, ascending.
using SelectorSet = boost::container::small_vector<std::uint32_t, 16>;
using SelectorList = std::vector<std::uint32_t>;

/// The value of one label as a selector sees it.
struct LabelValue
{
  enum class Kind : char
  {
    Absent,
    Present,
    /// Decided by failure domain or server; not known for a shard as a whole.
    Placement,
  };

  Kind kind = Kind::Absent;
  const std::string* text = nullptr;
};

const std::string* FindLabel(const Labels& aLabels, std::string_view aKey)
{
  const auto it = aLabels.find(aKey);
  return it == aLabels.end() ? nullptr : &it->second;
}

/// Assigns the same number to targets that no selector can tell apart, so that
/// each selector is evaluated once per class instead of once per target.
class ClassTable
{
public:
  /// `aEvaluate()` gives the selectors of a new class.
  template<typename F>
  std::uint32_t Find(const std::vector<LabelValue>& aValues, F aEvaluate)
  {
    mSignature.clear();
    for (const auto& it : aValues) {
      mSignature += static_cast<char>(it.kind);
      if (it.text != nullptr) {
        mSignature += *it.text;
      }
      mSignature += '\n';
    }
    const auto [it, inserted] = mNumbers.try_emplace(
      mSignature, static_cast<std::uint32_t>(mSelectors.size()));
    if (inserted) {
      mSelectors.push_back(aEvaluate());
    }
    return it->second;
  }

  [[nodiscard]] const SelectorList& Selectors(std::uint32_t aClass) const
  {
    return mSelectors[aClass];
  }
  [[nodiscard]] std::size_t size() const noexcept { return mSelectors.size(); }

private:
  std::string mSignature;
  std::unordered_map<std::string, std::uint32_t> mNumbers;
  std::vector<SelectorList> mSelectors;
};

/// Finds the selectors that match a caller and a request. Each selector with a
/// requirement `key in (values)` on caller or request is looked up by that
/// label's value; only the others are evaluated for every request.
class SelectorIndex
{
public:
  explicit SelectorIndex(const std::vector<SelectorSpec>& aSelectors)
    : mSelectors(aSelectors)
  {
    for (std::uint32_t n = 0; n < aSelectors.size(); ++n) {
      if (!Add(n, aSelectors[n].callers, false) &&
          !Add(n, aSelectors[n].requests, true)) {
        mOthers.push_back(n);
      }
    }
  }

  [[nodiscard]] SelectorSet Match(const Labels& aCaller,
                                  const Labels& aRequest) const
  {
    SelectorSet result;
    const auto check = [&](const SelectorList& aList) {
      for (const auto n : aList) {
        if (mSelectors[n].callers.Matches(aCaller) &&
            mSelectors[n].requests.Matches(aRequest)) {
          result.push_back(n);
        }
      }
    };
    check(mOthers);
    for (const auto& it : mKeys) {
      const auto* value = FindLabel(it.ofRequest ? aRequest : aCaller, it.key);
      if (value != nullptr) {
        const auto found = it.selectors.find(*value);
        if (found != it.selectors.end()) {
          check(found->second);
        }
      }
    }
    std::sort(result.begin(), result.end());
    return result;
  }

private:
  struct Key
  {
    std::string key;
    bool ofRequest = false;
    std::unordered_map<std::string, SelectorList> selectors;
  };

  bool Add(std::uint32_t aNumber, const Selector& aSelector, bool aOfRequest)
  {
    for (const auto& it : aSelector.Requirements()) {
      if (it.op != Operator::In) {
        continue;
      }
      auto key = std::find_if(mKeys.begin(), mKeys.end(), [&](const Key& aKey) {
        return aKey.ofRequest == aOfRequest && aKey.key == it.key;
      });
      if (key == mKeys.end()) {
        key = mKeys.insert(key, Key{ it.key, aOfRequest, {} });
      }
      for (const auto& value : it.values) {
        key->selectors[value].push_back(aNumber);
      }
      return true;
    }
    return false;
  }

  const std::vector<SelectorSpec>& mSelectors;
  std::vector<Key> mKeys;
  SelectorList mOthers;
};

/// Plans by the set of matching selectors. Entries are only added, so that
/// readers need no lock; all are freed with the snapshot.
class PlanCache
{
public:
  using Plan = std::shared_ptr<const RoutePlan>;

  PlanCache() = default;
  PlanCache(const PlanCache&) = delete;
  PlanCache& operator=(const PlanCache&) = delete;
  ~PlanCache()
  {
    for (auto& it : mBuckets) {
      const auto* entry = it.load();
      while (entry != nullptr) {
        const auto* next = entry->next;
        delete entry;
        entry = next;
      }
    }
  }

  [[nodiscard]] Plan Find(const SelectorSet& aKey) const
  {
    const auto& bucket = mBuckets[BucketOf(aKey)];
    for (const auto* it = bucket.load(std::memory_order_acquire); it != nullptr;
         it = it->next) {
      if (it->key == aKey) {
        return it->plan;
      }
    }
    return nullptr;
  }

  /// Two threads may add the same plan; the duplicate is harmless.
  void Add(const SelectorSet& aKey, const Plan& aPlan)
  {
    std::size_t size = 1;
    for (const auto& it : aPlan->shards) {
      size += 1 + it.replicas.size();
    }
    if (mSize.fetch_add(size) + size > kMaxCachedReplicas) {
      mSize.fetch_sub(size);
      return;
    }
    auto entry = std::make_unique<Entry>(Entry{ aKey, aPlan, nullptr });
    auto& bucket = mBuckets[BucketOf(aKey)];
    entry->next = bucket.load(std::memory_order_relaxed);
    while (!bucket.compare_exchange_weak(
      entry->next, entry.get(), std::memory_order_release)) {
    }
    static_cast<void>(entry.release());
  }

private:
  struct Entry
  {
    SelectorSet key;
    Plan plan;
    const Entry* next;
  };

  static std::size_t BucketOf(const SelectorSet& aKey) noexcept
  {
    std::size_t result = aKey.size();
    for (const auto it : aKey) {
      result = result * 31 + it;
    }
    return result % kPlanBuckets;
  }

  std::array<std::atomic<const Entry*>, kPlanBuckets> mBuckets{};
  std::atomic<std::size_t> mSize{ 0 };
};

/// A server as replica of a shard.
struct ReplicaEntry
{
  std::uint32_t server;
  std::uint32_t targetClass;
};

struct ShardEntry
{
  std::string_view id;
  std::uint32_t scopeClass;
  std::vector<ReplicaEntry> replicas;
};

struct IndexTable
{
  IndexVersion version = 0;
  std::vector<ShardEntry> shards;
  std::unordered_map<std::string_view, std::uint32_t> byId;

  [[nodiscard]] const ShardEntry* Find(std::string_view aShard) const
  {
    const auto it = byId.find(aShard);
    return it == byId.end() ? nullptr : &shards[it->second];
  }
};

} // namespace

struct Snapshot::Tables
{
  explicit Tables(Document aDocument)
    : document(std::move(aDocument))
    , canonical(CanonicalText(document))
    , hash(HashOfText(canonical))
    , selectorIndex(document.selectors)
  {
    AddServers();
    CompileTargets();
    for (const auto& [version, shards] : document.index.versions) {
      AddIndex(version, shards);
    }
  }

  /// A requirement of a selector's targets with the position of its key.
  struct TargetRequirement
  {
    std::size_t key;
    const Requirement* requirement;
  };

  const Document document;
  const std::string canonical;
  const DocumentHash hash;
  const SelectorIndex selectorIndex;
  std::vector<ServerInfo> servers;
  std::unordered_map<std::string_view, std::uint32_t> serverById;
  std::vector<SliceId> slices;
  std::vector<std::string> targetKeys;
  std::vector<std::vector<TargetRequirement>> targets;
  ClassTable targetClasses;
  ClassTable scopeClasses;
  std::vector<IndexTable> indexes;
  PlanCache plans;

  void AddServers()
  {
    for (const auto& [serviceId, service] : document.services) {
      for (const auto& [id, server] : service.servers) {
        servers.push_back(
          { id,
            serviceId,
            server.address,
            server.failureDomain,
            document.failureDomains.at(server.failureDomain).region,
            SliceOf(id, server.failureDomain, document.slicesPerDomain),
            service.limits });
      }
    }
    for (std::uint32_t n = 0; n < servers.size(); ++n) {
      serverById.emplace(servers[n].id, n);
    }
    for (const auto& it : document.failureDomains) {
      for (std::uint32_t n = 0; n < document.slicesPerDomain; ++n) {
        slices.push_back({ it.first, n });
      }
    }
  }

  void CompileTargets()
  {
    std::map<std::string_view, std::size_t> numbers;
    for (const auto& selector : document.selectors) {
      auto& compiled = targets.emplace_back();
      for (const auto& it : selector.targets.Requirements()) {
        const auto [number, inserted] =
          numbers.try_emplace(it.key, targetKeys.size());
        if (inserted) {
          targetKeys.push_back(it.key);
        }
        compiled.push_back({ number->second, &it });
      }
    }
  }

  void AddIndex(IndexVersion aVersion, const ShardMap& aShards)
  {
    auto& table = indexes.emplace_back();
    table.version = aVersion;
    std::vector<LabelValue> values(targetKeys.size());
    for (const auto& [id, shard] : aShards) {
      const auto& service = document.services.at(shard.service);
      for (std::size_t n = 0; n < targetKeys.size(); ++n) {
        values[n] = ShardValue(targetKeys[n], id, shard, service);
      }
      ShardEntry entry{ id,
                        scopeClasses.Find(
                          values, [&] { return Evaluate(values, true); }),
                        {} };
      for (const auto& it : service.servers) {
        const auto number = serverById.at(it.first);
        for (std::size_t n = 0; n < targetKeys.size(); ++n) {
          values[n] = TargetValue(targetKeys[n], id, shard, servers[number]);
        }
        const auto targetClass =
          targetClasses.Find(values, [&] { return Evaluate(values, false); });
        entry.replicas.push_back({ number, targetClass });
      }
      table.byId.emplace(id, static_cast<std::uint32_t>(table.shards.size()));
      table.shards.push_back(std::move(entry));
    }
  }

  /// The label of one replica; `nullptr` text when it is absent.
  [[nodiscard]] LabelValue TargetValue(std::string_view aKey,
                                       const std::string& aShard,
                                       const ShardSpec& aShardSpec,
                                       const ServerInfo& aServer) const
  {
    const auto& service = document.services.find(aServer.service)->second;
    const auto& domain =
      document.failureDomains.find(aServer.failureDomain)->second;
    const std::string* text = nullptr;
    if (aKey == "failure_domain") {
      text = &aServer.failureDomain;
    } else if (aKey == "region") {
      text = &aServer.region;
    } else if (aKey == "server") {
      text = &aServer.id;
    } else if (aKey == "service") {
      text = &aServer.service;
    } else if (aKey == "shard") {
      text = &aShard;
    } else {
      for (const auto* it : { &service.servers.find(aServer.id)->second.labels,
                              &aShardSpec.labels,
                              &service.labels,
                              &domain.labels }) {
        text = FindLabel(*it, aKey);
        if (text != nullptr) {
          break;
        }
      }
    }
    return { text == nullptr ? LabelValue::Kind::Absent
                             : LabelValue::Kind::Present,
             text };
  }

  /// The label of a shard, as far as service and shard decide on it.
  [[nodiscard]] LabelValue ShardValue(std::string_view aKey,
                                      const std::string& aShard,
                                      const ShardSpec& aShardSpec,
                                      const ServiceSpec& aService) const
  {
    using enum LabelValue::Kind;
    if (aKey == "service") {
      return { Present, &aShardSpec.service };
    }
    if (aKey == "shard") {
      return { Present, &aShard };
    }
    const auto sets = [aKey](const auto& aIt) {
      return aIt.second.labels.contains(aKey);
    };
    if (aKey == "failure_domain" || aKey == "region" || aKey == "server" ||
        std::any_of(aService.servers.begin(), aService.servers.end(), sets)) {
      return { Placement, nullptr };
    }
    for (const auto* it : { &aShardSpec.labels, &aService.labels }) {
      if (const auto* text = FindLabel(*it, aKey)) {
        return { Present, text };
      }
    }
    const auto& domains = document.failureDomains;
    return { std::any_of(domains.begin(), domains.end(), sets) ? Placement
                                                               : Absent,
             nullptr };
  }

  /// The selectors whose targets accept these values. For the scope of a shard,
  /// excluding requirements and labels that depend on placement don't count.
  [[nodiscard]] SelectorList Evaluate(const std::vector<LabelValue>& aValues,
                                      bool aScope) const
  {
    SelectorList result;
    for (std::uint32_t n = 0; n < targets.size(); ++n) {
      const auto holds = [&](const TargetRequirement& aIt) {
        const auto& value = aValues[aIt.key];
        return (aScope && (value.kind == LabelValue::Kind::Placement ||
                           aIt.requirement->Excludes())) ||
               aIt.requirement->Accepts(value.text);
      };
      if (std::all_of(targets[n].begin(), targets[n].end(), holds)) {
        result.push_back(n);
      }
    }
    return result;
  }

  [[nodiscard]] const IndexTable* FindIndex(IndexVersion aVersion) const
  {
    const auto it = std::find_if(
      indexes.begin(), indexes.end(), [aVersion](const IndexTable& aIt) {
        return aIt.version == aVersion;
      });
    return it == indexes.end() ? nullptr : &*it;
  }

  /// The first common element of two ascending lists; the number of selectors
  /// when there is none.
  [[nodiscard]] std::uint32_t FirstCommon(const SelectorSet& aLeft,
                                          const SelectorList& aRight) const
  {
    auto left = aLeft.begin();
    auto right = aRight.begin();
    while (left != aLeft.end() && right != aRight.end()) {
      if (*left == *right) {
        return *left;
      }
      if (*left < *right) {
        ++left;
      } else {
        ++right;
      }
    }
    return static_cast<std::uint32_t>(targets.size());
  }

  [[nodiscard]] RoutePlan MakePlan(const SelectorSet& aMatching) const
  {
    RoutePlan plan;
    plan.configVersion = document.version;
    plan.indexVersion = document.index.serving;
    const auto none = static_cast<std::uint32_t>(targets.size());
    std::vector<std::uint32_t> winners(targetClasses.size());
    for (std::uint32_t n = 0; n < winners.size(); ++n) {
      winners[n] = FirstCommon(aMatching, targetClasses.Selectors(n));
    }
    std::vector<bool> inScope(scopeClasses.size());
    for (std::uint32_t n = 0; n < inScope.size(); ++n) {
      inScope[n] = FirstCommon(aMatching, scopeClasses.Selectors(n)) != none;
    }
    for (const auto& shard : FindIndex(document.index.serving)->shards) {
      if (!inScope[shard.scopeClass]) {
        continue;
      }
      auto& route = plan.shards.emplace_back();
      route.shard = shard.id;
      for (const auto& it : shard.replicas) {
        const auto winner = winners[it.targetClass];
        if (winner != none) {
          const auto& server = servers[it.server];
          route.replicas.push_back({ server.id,
                                     server.service,
                                     server.address,
                                     server.slice,
                                     document.selectors[winner].name });
        }
      }
    }
    plan.code = plan.shards.empty() ? ResultCode::NotRunDenied : ResultCode::Ok;
    return plan;
  }
};

Snapshot::Snapshot(Document aDocument)
  : mTables(std::make_unique<Tables>(std::move(aDocument)))
{
}

Snapshot::~Snapshot() = default;

ConfigVersion Snapshot::Version() const noexcept
{
  return mTables->document.version;
}

const DocumentHash& Snapshot::Hash() const noexcept
{
  return mTables->hash;
}

const Document& Snapshot::Content() const noexcept
{
  return mTables->document;
}

const std::string& Snapshot::Text() const noexcept
{
  return mTables->canonical;
}

RoutePlan Snapshot::Plan(const Labels& aCaller, const Labels& aRequest) const
{
  return *SharedPlan(aCaller, aRequest);
}

std::shared_ptr<const RoutePlan> Snapshot::SharedPlan(
  const Labels& aCaller,
  const Labels& aRequest) const
{
  const auto matching = mTables->selectorIndex.Match(aCaller, aRequest);
  auto plan = mTables->plans.Find(matching);
  if (!plan) {
    plan = std::make_shared<const RoutePlan>(mTables->MakePlan(matching));
    mTables->plans.Add(matching, plan);
  }
  return plan;
}

bool Snapshot::Permits(const Labels& aCaller,
                       const Labels& aRequest,
                       std::string_view aShard,
                       std::string_view aServer,
                       IndexVersion aIndexVersion,
                       std::string* aSelector) const
{
  const auto* index = mTables->FindIndex(aIndexVersion);
  const auto* shard = index == nullptr ? nullptr : index->Find(aShard);
  if (shard == nullptr) {
    return false;
  }
  const auto replica =
    std::find_if(shard->replicas.begin(),
                 shard->replicas.end(),
                 [&](const ReplicaEntry& aIt) {
                   return mTables->servers[aIt.server].id == aServer;
                 });
  if (replica == shard->replicas.end()) {
    return false;
  }
  const auto selector = mTables->FirstCommon(
    mTables->selectorIndex.Match(aCaller, aRequest),
    mTables->targetClasses.Selectors(replica->targetClass));
  if (selector == mTables->targets.size()) {
    return false;
  }
  if (aSelector != nullptr) {
    *aSelector = mTables->document.selectors[selector].name;
  }
  return true;
}

const std::vector<ServerInfo>& Snapshot::Servers() const noexcept
{
  return mTables->servers;
}

const ServerInfo* Snapshot::FindServer(std::string_view aServer) const
{
  const auto it = mTables->serverById.find(aServer);
  return it == mTables->serverById.end() ? nullptr
                                         : &mTables->servers[it->second];
}

const std::vector<SliceId>& Snapshot::Slices() const noexcept
{
  return mTables->slices;
}

Labels Snapshot::TargetLabels(std::string_view aShard,
                              const ShardSpec& aShardSpec,
                              const ServerInfo& aServer) const
{
  const auto& document = mTables->document;
  const auto& service = document.services.at(aServer.service);
  Labels result{ { "failure_domain", aServer.failureDomain },
                 { "region", aServer.region },
                 { "server", aServer.id },
                 { "service", aServer.service },
                 { "shard", std::string(aShard) } };
  for (const auto* it :
       { &service.servers.at(aServer.id).labels,
         &aShardSpec.labels,
         &service.labels,
         &document.failureDomains.at(aServer.failureDomain).labels }) {
    result.insert(it->begin(), it->end());
  }
  return result;
}

bool Snapshot::InScope(std::string_view aShard, std::size_t aSelector) const
{
  const auto* shard =
    mTables->FindIndex(mTables->document.index.serving)->Find(aShard);
  if (shard == nullptr) {
    return false;
  }
  const auto& list = mTables->scopeClasses.Selectors(shard->scopeClass);
  return std::binary_search(list.begin(), list.end(), aSelector);
}

std::shared_ptr<const Snapshot> MakeSnapshot(Document aDocument)
{
  return std::make_shared<const Snapshot>(std::move(aDocument));
}

std::shared_ptr<const Snapshot> SnapshotHolder::Load() const noexcept
{
  return mSnapshot.load();
}

bool SnapshotHolder::Store(std::shared_ptr<const Snapshot> aSnapshot)
{
  if (aSnapshot == nullptr) {
    return false;
  }
  auto current = mSnapshot.load();
  do {
    if (current != nullptr && current->Version() >= aSnapshot->Version()) {
      return false;
    }
  } while (!mSnapshot.compare_exchange_weak(current, aSnapshot));
  return true;
}

} // namespace bronzedeal::version
