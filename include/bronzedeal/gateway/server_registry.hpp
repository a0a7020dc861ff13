#pragma once

#include "bronzedeal/gateway/backend_server.hpp"
#include "bronzedeal/gateway/retry_budget.hpp"
#include "bronzedeal/gateway/return_schedule.hpp"
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

/// Servers that a request has tried, must not use or may only use.
using ServerList = std::vector<const BackendServer*>;

/// The servers of one group, and this instance's retry budget for the group.
struct GroupState
{
  std::string name;
  std::vector<std::shared_ptr<BackendServer>> servers;
  RetryBudget retryBudget;
  ReturnSchedule returnSchedule;
  /// A route of the version that was last passed to `ServerRegistry::Reach` has
  /// it as a target or shard.
  bool isRouted = false;

  /// All servers of the group that are not in `aExcluded`.
  [[nodiscard]] ServerList ServersExcept(const ServerList& aExcluded) const;
};

/// All known backend servers, by id and by group. Lives as long as the process,
/// and so do its groups.
class ServerRegistry
{
public:
  explicit ServerRegistry(Process& aProcess);

  /// Adds a server or applies a newer record of it. A server that has restarted
  /// or has another address or group replaces the earlier entry.
  void Upsert(ServerRecord aRecord, TimePoint aNow);
  /// `aReason` goes to the log. Does nothing if the id is unknown.
  void Remove(const ServerId& aId, std::string_view aReason, RemovedRun aRun);

  /// True if the record was written before what is known of the server, or not
  /// after the last record of a server that has been removed.
  [[nodiscard]] bool IsOutdated(const ServerRecord& aRecord) const;

  /// Opens a connection to each server before requests come. Call when this
  /// instance becomes one that callers are directed to.
  void PreconnectAll();

  /// Withdraws or restores a failure domain. Servers of a withdrawn domain get
  /// no new requests; their queued attempts end as `NotRun`.
  void SetWithdrawn(const FailureDomain& aDomain, bool aWithdrawn);
  [[nodiscard]] const std::set<FailureDomain>& WithdrawnDomains() const noexcept
  {
    return mWithdrawn;
  }

  /// Applies the connection limits of the active configuration, divided by the
  /// number of instances.
  void ApplyConnectionLimits(const RouteTable& aTable, unsigned aInstanceCount);

  /// Returns the group of that name; null if it is unknown.
  [[nodiscard]] GroupState* FindGroup(const std::string& aName) const;

  /// Returns the group of that name, creating an empty one if it is unknown.
  /// For names from the metadata service only, as groups are kept for good.
  [[nodiscard]] GroupState& FindOrCreateGroup(const std::string& aName);

  /// Returns the usable server of the group with the lowest cost, except those
  /// in `aExcluded`; null if there is none.
  [[nodiscard]] std::shared_ptr<BackendServer> ChooseServer(
    GroupState& aGroup,
    const RequestProfile& aRequest,
    const ServerList& aExcluded,
    TimePoint aNow);

  /// Returns up to `aCount` usable servers by ascending cost, whatever the
  /// allowance of cold servers.
  [[nodiscard]] std::vector<std::shared_ptr<BackendServer>> BestServers(
    const GroupState& aGroup,
    const RequestProfile& aRequest,
    std::size_t aCount,
    TimePoint aNow) const;

  /// Expected latency in milliseconds of the fastest usable server of the
  /// group; infinity if there is none.
  [[nodiscard]] double ExpectedLatencyMs(const GroupState& aGroup,
                                         const RequestProfile& aRequest,
                                         TimePoint aNow) const;

  /// Returns the server of that id; null if it is unknown.
  [[nodiscard]] std::shared_ptr<BackendServer> Find(const ServerId& aId) const;

  /// True if at least one server of the group may be used now.
  [[nodiscard]] bool HasUsableServer(const GroupState& aGroup,
                                     TimePoint aNow) const;

  /// When the limits of the group's servers are the only reason why none may be
  /// used now: the time until one may be. Otherwise nothing.
  [[nodiscard]] std::optional<Duration> TimeUntilSend(const GroupState& aGroup,
                                                      TimePoint aNow) const;

  /// Time after which a caller should return that is refused because of the
  /// limits of the group's servers, `aWait` before one may be used.
  [[nodiscard]] Duration ScheduleReturn(GroupState& aGroup,
                                        Duration aWait,
                                        TimePoint aNow) const;

  [[nodiscard]] std::vector<ServerId> ServerIds() const;

  /// Current records of those of the given servers that are known, with the
  /// cold time that remains at `aNow`.
  [[nodiscard]] std::vector<ServerRecord> Records(
    const std::vector<ServerId>& aIds,
    TimePoint aNow) const;

  /// The sequence of server changes, which instances that relay metadata pass
  /// on.
  [[nodiscard]] const ServerChanges& Changes() const noexcept
  {
    return mChanges;
  }

  /// The handler is called after each change of `Changes` or
  /// `WithdrawnDomains`.
  void SetChangeHandler(std::function<void()> aHandler);
  /// Number of known servers.
  [[nodiscard]] std::size_t size() const noexcept { return mById.size(); }

  /// True if a server is in another failure domain than this one.
  [[nodiscard]] bool HasServerOutside(const FailureDomain& aDomain) const;

  /// Fraction (0 to 1) of the table's shards that have an available server in
  /// the failure domain; 1 if the table has no shards.
  [[nodiscard]] double LocalCoverage(const RouteTable& aTable,
                                     const FailureDomain& aDomain,
                                     TimePoint aNow);

  /// Fraction (0 to 1) of the servers of the table's routes that answer this
  /// instance, by those of which that is known; 1 if all may answer.
  [[nodiscard]] double Reach(const RouteTable& aTable, TimePoint aNow);

  /// Fraction (0 to 1) of the table's shards that have an available server; 1
  /// if the table has no shards.
  [[nodiscard]] double Coverage(const RouteTable& aTable, TimePoint aNow);

private:
  [[nodiscard]] bool IsEligible(const BackendServer& aServer,
                                TimePoint aNow) const;
  /// Like `IsEligible`, whatever the limit of the server allows now.
  [[nodiscard]] bool IsAvailable(const BackendServer& aServer,
                                 TimePoint aNow) const;
  /// The usable servers of the group by ascending cost in milliseconds.
  [[nodiscard]] std::vector<std::pair<double, BackendServer*>>
  UsableServersByCost(const GroupState& aGroup,
                      const RequestProfile& aRequest,
                      const ServerList& aExcluded,
                      TimePoint aNow) const;
  /// Fraction of the table's shards with a server that satisfies the predicate.
  template<typename Predicate>
  [[nodiscard]] double CoveredShardFraction(const RouteTable& aTable,
                                            Predicate aPredicate);
  /// Sets `GroupState::isRouted` of all groups when the version has changed.
  void MarkRoutedGroups(const RouteTable& aTable);
  void ApplyConnectionLimit(BackendServer& aServer) const;
  void QueuePreconnect(const std::shared_ptr<BackendServer>& aServer);
  void SchedulePreconnect();
  void RecordServerChange(const ServerId& aServer);
  void RememberRemoved(const ServerRecord& aRecord);
  /// Logs when the last request at the servers of a withdrawn domain has ended,
  /// and polls while requests remain.
  void CheckWithdrawnDomains();

  Process& mProcess;
  std::unordered_map<ServerId, std::shared_ptr<BackendServer>> mById;
  std::unordered_map<std::string, std::unique_ptr<GroupState>> mGroups;
  std::unordered_map<std::string, std::size_t> mMaxConnectionsByGroup;
  ConfigVersion mRoutedVersion = 0;
  std::set<FailureDomain> mWithdrawn;
  /// Withdrawn domains that may still have requests in progress, with the time
  /// of their withdrawal.
  std::map<FailureDomain, TimePoint> mDrainingDomains;
  std::deque<std::weak_ptr<BackendServer>> mPreconnectQueue;
  /// The last records of servers that were removed, and their ids in order of
  /// removal.
  std::unordered_map<ServerId, ServerRecord> mRemoved;
  std::deque<ServerId> mRemovedOrder;
  ServerChanges mChanges;
  std::function<void()> mChangeHandler;
};

} // namespace bronzedeal::gateway
