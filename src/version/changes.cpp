#include "bronzedeal/version/changes.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

namespace bronzedeal::version {

namespace {

/// Collects sentences about the differences of two documents.
class Changes
{
public:
  std::vector<std::string> result;

  template<typename T>
  void Value(std::string_view aWhat, const T& aFrom, const T& aTo)
  {
    if (aFrom != aTo) {
      result.push_back(
        fmt::format("{} changed from {} to {}", aWhat, Text(aFrom), Text(aTo)));
    }
  }

  void LabelsOf(std::string_view aWhat, const Labels& aFrom, const Labels& aTo)
  {
    for (const auto& [key, value] : aFrom) {
      const auto it = aTo.find(key);
      if (it == aTo.end()) {
        result.push_back(
          fmt::format("label {} of {} removed; it was {}", key, aWhat, value));
      } else {
        Value(fmt::format("label {} of {}", key, aWhat), value, it->second);
      }
    }
    for (const auto& [key, value] : aTo) {
      if (!aFrom.contains(key)) {
        result.push_back(
          fmt::format("label {} of {} added as {}", key, aWhat, value));
      }
    }
  }

  /// Reports added and removed members of a map and calls
  /// `aCompare(name, from, to)` for the others.
  template<typename Map, typename F>
  void Members(std::string_view aWhat,
               const Map& aFrom,
               const Map& aTo,
               F aCompare)
  {
    for (const auto& [key, value] : aFrom) {
      const auto it = aTo.find(key);
      if (it == aTo.end()) {
        result.push_back(fmt::format("{} {} removed", aWhat, key));
      } else if (value != it->second) {
        aCompare(fmt::format("{} {}", aWhat, key), value, it->second);
      }
    }
    for (const auto& it : aTo) {
      if (!aFrom.contains(it.first)) {
        result.push_back(fmt::format("{} {} added", aWhat, it.first));
      }
    }
  }

private:
  static std::string Text(const std::string& aValue)
  {
    return aValue.empty() ? "\"\"" : aValue;
  }
  static std::string Text(milliseconds aValue)
  {
    return fmt::format("{} ms", aValue.count());
  }
  static std::string Text(std::uint64_t aValue)
  {
    return std::to_string(aValue);
  }
};

void CompareLimits(Changes& aChanges,
                   const std::string& aWhat,
                   const ServiceLimits& aFrom,
                   const ServiceLimits& aTo)
{
  const auto of = [&](std::string_view aField) {
    return fmt::format("{} of {}", aField, aWhat);
  };
  aChanges.Value(of("slots"), aFrom.slots, aTo.slots);
  aChanges.Value(of("connections"), aFrom.connections, aTo.connections);
  aChanges.Value(of("connect_ms"), aFrom.connectTime, aTo.connectTime);
  aChanges.Value(of("cold_allowance"), aFrom.coldAllowance, aTo.coldAllowance);
  aChanges.Value(
    of("warm_completions"), aFrom.warmCompletions, aTo.warmCompletions);
}

void CompareService(Changes& aChanges,
                    const std::string& aWhat,
                    const ServiceSpec& aFrom,
                    const ServiceSpec& aTo)
{
  aChanges.LabelsOf(aWhat, aFrom.labels, aTo.labels);
  CompareLimits(aChanges, aWhat, aFrom.limits, aTo.limits);
  aChanges.Members(
    "server",
    aFrom.servers,
    aTo.servers,
    [&](
      const std::string& aIt, const ServerSpec& aOld, const ServerSpec& aNew) {
      aChanges.Value("address of " + aIt, aOld.address, aNew.address);
      if (aOld.failureDomain != aNew.failureDomain) {
        // The former owner does not drain such a server, because its slice
        // changes at once.
        aChanges.result.push_back(
          fmt::format("failure domain of {} changed from {} to {}; a moved "
                      "server needs a new id",
                      aIt,
                      aOld.failureDomain,
                      aNew.failureDomain));
      }
      aChanges.LabelsOf(aIt, aOld.labels, aNew.labels);
    });
}

void CompareIndex(Changes& aChanges,
                  const IndexSpec& aFrom,
                  const IndexSpec& aTo)
{
  aChanges.Value("serving index version", aFrom.serving, aTo.serving);
  aChanges.Members(
    "index version",
    aFrom.versions,
    aTo.versions,
    [&](const std::string& aWhere, const ShardMap& aOld, const ShardMap& aNew) {
      aChanges.Members("shard",
                       aOld,
                       aNew,
                       [&](const std::string& aIt,
                           const ShardSpec& aLeft,
                           const ShardSpec& aRight) {
                         const auto what = fmt::format("{} of {}", aIt, aWhere);
                         aChanges.Value(
                           "service of " + what, aLeft.service, aRight.service);
                         aChanges.LabelsOf(what, aLeft.labels, aRight.labels);
                       });
    });
}

/// Selectors are told apart by name; their order decides which one is named
/// when several permit a server, so a change of order counts.
void CompareSelectors(Changes& aChanges,
                      const std::vector<SelectorSpec>& aFrom,
                      const std::vector<SelectorSpec>& aTo)
{
  std::map<std::string, const SelectorSpec*> from;
  std::map<std::string, const SelectorSpec*> to;
  std::vector<std::string> fromOrder;
  std::vector<std::string> toOrder;
  for (const auto& it : aFrom) {
    from.emplace(it.name, &it);
  }
  for (const auto& it : aTo) {
    to.emplace(it.name, &it);
    if (from.contains(it.name)) {
      toOrder.push_back(it.name);
    }
  }
  for (const auto& it : aFrom) {
    if (to.contains(it.name)) {
      fromOrder.push_back(it.name);
    }
  }
  aChanges.Members("selector",
                   from,
                   to,
                   [&](const std::string& aIt,
                       const SelectorSpec* aOld,
                       const SelectorSpec* aNew) {
                     aChanges.Value("callers of " + aIt,
                                    aOld->callers.Text(),
                                    aNew->callers.Text());
                     aChanges.Value("requests of " + aIt,
                                    aOld->requests.Text(),
                                    aNew->requests.Text());
                     aChanges.Value("targets of " + aIt,
                                    aOld->targets.Text(),
                                    aNew->targets.Text());
                   });
  if (fromOrder != toOrder) {
    aChanges.result.emplace_back("order of selectors changed");
  }
}

} // namespace

std::vector<std::string> DescribeChanges(const Document& aFrom,
                                         const Document& aTo)
{
  Changes changes;
  changes.Members("failure domain",
                  aFrom.failureDomains,
                  aTo.failureDomains,
                  [&](const std::string& aIt,
                      const DomainSpec& aOld,
                      const DomainSpec& aNew) {
                    changes.Value("region of " + aIt, aOld.region, aNew.region);
                    changes.LabelsOf(aIt, aOld.labels, aNew.labels);
                  });
  changes.Members(
    "service",
    aFrom.services,
    aTo.services,
    [&](const std::string& aIt,
        const ServiceSpec& aOld,
        const ServiceSpec& aNew) { CompareService(changes, aIt, aOld, aNew); });
  CompareIndex(changes, aFrom.index, aTo.index);
  CompareSelectors(changes, aFrom.selectors, aTo.selectors);
  changes.Value(
    "slices per failure domain", aFrom.slicesPerDomain, aTo.slicesPerDomain);
  const auto& from = aFrom.limits;
  const auto& to = aTo.limits;
  changes.Value("max_subrequest_ms", from.maxSubrequest, to.maxSubrequest);
  changes.Value("hedge_percent", from.hedgePercent, to.hedgePercent);
  changes.Value("queue_per_server", from.queuePerServer, to.queuePerServer);
  changes.Value(
    "queries_in_progress", from.queriesInProgress, to.queriesInProgress);
  return std::move(changes.result);
}

std::set<ServerId> ReassignedServers(const Snapshot& aFrom, const Snapshot& aTo)
{
  std::map<std::string_view, const ServerInfo*> byAddress;
  for (const auto& it : aFrom.Servers()) {
    byAddress.emplace(it.address, &it);
  }
  std::set<ServerId> reassigned;
  for (const auto& it : aTo.Servers()) {
    const auto former = byAddress.find(it.address);
    if (former != byAddress.end() && former->second->slice != it.slice) {
      reassigned.insert(it.id);
    }
  }
  return reassigned;
}

} // namespace bronzedeal::version
