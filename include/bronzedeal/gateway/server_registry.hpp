#pragma once

#include "bronzedeal/gateway/backend_server.hpp"
#include "bronzedeal/gateway/retry_budget.hpp"
#include "bronzedeal/gateway/route_table.hpp"
#include "bronzedeal/gateway/server_changes.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bronzedeal::gateway {

/// Servers that an exchange has used already.
using ServerList = std::vector<const BackendServer*>;

/// The servers of one group, and the group's share of repeats.
struct GroupState
{
  std::string name;
  std::vector<std::shared_ptr<BackendServer>> servers;
  RetryBudget retryBudget;

  /// All servers but those of `aKept`.
  [[nodiscard]] ServerList ServersExcept(const ServerList& aKept) const;
};

/// All known backend servers, by id and by group. Lives as long as the process.
class ServerRegistry
{
public:
  explicit ServerRegistry(Process& aProcess);

  /// Adds a server or takes its newer record. A server that started again, or
  /// has another address or group, replaces the one of before.
  void Upsert(ServerRecord aRecord, TimePoint aNow);
  void Remove(const ServerId& aId, std::string_view aReason);

  /// Opens a connection to each server ahead of requests; for an instance that
  /// callers are sent to from now on.
  void PreconnectAll();

  /// Whether operators have taken a failure domain out: no new work for its
  /// servers.
  void SetWithdrawn(const FailureDomain& aDomain, bool aWithdrawn);
  [[nodiscard]] const std::set<FailureDomain>& WithdrawnDomains() const noexcept
  {
    return mWithdrawn;
  }

  /// Takes the connection limits of the version in force, shared among the
  /// instances.
  void ApplyConnectionLimits(const RouteTable& aTable, unsigned aInstances);

  /// The group of that name, which is made when it isn't known yet.
  [[nodiscard]] GroupState& FindOrCreateGroup(const std::string& aName);

  /// The server that is expected to answer first; null when none may be used.
  /// Servers of `aAvoid` are left out. For a cold server, takes one of this
  /// instance's allowance.
  [[nodiscard]] std::shared_ptr<BackendServer> ChooseServer(
    GroupState& aGroup,
    const RequestProfile& aRequest,
    const ServerList& aAvoid,
    TimePoint aNow);

  /// The same without taking of a cold server's allowance: the best servers
  /// first, at most `aCount`.
  [[nodiscard]] std::vector<std::shared_ptr<BackendServer>> BestServers(
    const GroupState& aGroup,
    const RequestProfile& aRequest,
    std::size_t aCount,
    TimePoint aNow) const;

  /// The server of that id; null when it isn't known.
  [[nodiscard]] std::shared_ptr<BackendServer> Find(const ServerId& aId) const;

  /// Whether a server of the group may be used at all now.
  [[nodiscard]] bool HasUsableServer(const GroupState& aGroup,
                                     TimePoint aNow) const;

  [[nodiscard]] std::vector<ServerId> ServerIds() const;

  /// What the known ones of these servers are now.
  [[nodiscard]] std::vector<ServerRecord> Records(
    const std::vector<ServerId>& aIds,
    TimePoint aNow) const;

  /// When which servers have changed in a way that matters to instances.
  [[nodiscard]] const ServerChanges& Changes() const noexcept
  {
    return mChanges;
  }

  /// Called after each change of `Changes` or `Withdrawn`.
  void SetChangeHandler(std::function<void()> aHandler);
  [[nodiscard]] std::size_t size() const noexcept { return mById.size(); }

  /// Shards or services of the table that have a usable server in the domain,
  /// as a share of all.
  [[nodiscard]] double LocalCoverage(const RouteTable& aTable,
                                     const FailureDomain& aDomain,
                                     TimePoint aNow);

  /// Shards of the table that have a usable server, as a share of all.
  [[nodiscard]] double Coverage(const RouteTable& aTable, TimePoint aNow);

private:
  [[nodiscard]] bool IsEligible(const BackendServer& aServer,
                                TimePoint aNow) const;
  /// The usable servers by cost, least first.
  [[nodiscard]] std::vector<std::pair<double, BackendServer*>>
  UsableServersByCost(const GroupState& aGroup,
                      const RequestProfile& aRequest,
                      const ServerList& aAvoid,
                      TimePoint aNow) const;
  /// Shards of the table with a server for which the predicate holds, as a
  /// share of all.
  template<typename Predicate>
  [[nodiscard]] double CoveredShardFraction(const RouteTable& aTable,
                                            Predicate aUsable);
  void ApplyConnectionLimit(BackendServer& aServer) const;
  void QueuePreconnect(const std::shared_ptr<BackendServer>& aServer);
  void SchedulePreconnect();
  void RecordServerChange(const ServerId& aServer);
  /// Tells when the last request at a withdrawn domain's servers has ended.
  void CheckWithdrawnDomains();

  Process& mProcess;
  std::unordered_map<ServerId, std::shared_ptr<BackendServer>> mById;
  std::unordered_map<std::string, std::unique_ptr<GroupState>> mGroups;
  std::unordered_map<std::string, std::size_t> mMaxConnectionsByGroup;
  std::set<FailureDomain> mWithdrawn;
  /// Withdrawn domains that may still have requests in progress, and since when
  /// they are withdrawn.
  std::map<FailureDomain, TimePoint> mDrainingDomains;
  std::deque<std::weak_ptr<BackendServer>> mPreconnectQueue;
  ServerChanges mChanges;
  std::function<void()> mChangeHandler;
};

} // namespace bronzedeal::gateway
