#pragma once

#include "bronzedeal/gateway/gateway.hpp"
#include "bronzedeal/gateway/relay_message.hpp"

#include <functional>
#include <memory>
#include <set>

namespace bronzedeal::gateway {

/// Serves what this instance has read from the metadata service to other
/// instances of its failure domain, so that only a few instances read the
/// service.
class MetadataRelay
{
public:
  /// Returns when the service last told this instance all changes of the topic;
  /// nothing when the instance doesn't read the service itself.
  using LastContactProvider =
    std::function<std::optional<TimePoint>(MetadataTopic)>;

  MetadataRelay(Process& aProcess,
                ServerRegistry& aServers,
                Gateway& aGateway,
                LastContactProvider aLastContact);

  /// Replies at once when the query doesn't know all changes, otherwise after
  /// the next change or the wait of the query. Refuses when the data of this
  /// instance may be out of date, and replies with status 410 when it lacks the
  /// changes that the query asks for. Returns null when it has replied.
  std::shared_ptr<Exchange> Handle(const RelayQuery& aQuery,
                                   ReplyHandler aReply);

  /// To be called when a server, the configuration or a withdrawal has changed.
  /// Replies to the waiting queries shortly after.
  void OnChange();

  /// Replies to all waiting queries; to be called when the process is about to
  /// stop.
  void ConcludeQueries();

private:
  class PendingQuery;

  /// Whether the service has answered this instance recently enough.
  [[nodiscard]] bool IsUpToDate(MetadataTopic aTopic, TimePoint aNow) const;
  [[nodiscard]] std::uint64_t CurrentSequence(MetadataTopic aTopic) const;
  /// Increments the sequence of the operators' topic if the configuration or
  /// the withdrawals have changed since the last call.
  void UpdateOperatorSequence();
  [[nodiscard]] CallerReply MakeReply(const RelayQuery& aQuery) const;
  /// Adds the changes after the query's sequence number; false when they are no
  /// longer known.
  [[nodiscard]] bool AddServerChanges(const RelayQuery& aQuery,
                                      RelayReply& aReply,
                                      TimePoint aNow) const;
  void AddOperatorEntries(const RelayQuery& aQuery, RelayReply& aReply) const;

  Process& mProcess;
  ServerRegistry& mServers;
  Gateway& mGateway;
  LastContactProvider mLastContact;
  std::uint64_t mOperatorSequence = 1;
  /// The configuration and withdrawals of the current sequence number.
  ConfigVersion mSequencedVersion = 0;
  std::set<FailureDomain> mSequencedWithdrawals;
  /// Domains that were withdrawn and are in use again.
  std::set<FailureDomain> mRestoredDomains;
  std::set<std::shared_ptr<PendingQuery>> mPendingQueries;
  bool mWakeupScheduled = false;
};

} // namespace bronzedeal::gateway
