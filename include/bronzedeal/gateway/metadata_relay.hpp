#pragma once

#include "bronzedeal/gateway/gateway.hpp"
#include "bronzedeal/gateway/relay_message.hpp"

#include <functional>
#include <memory>
#include <set>

namespace bronzedeal::gateway {

/// Tells other instances of the failure domain what this one has read of the
/// metadata service, so that the service is read by a few and not by all.
class MetadataRelay
{
public:
  /// When the service last answered this instance; nothing when it doesn't read
  /// the service itself.
  using LastContactProvider = std::function<std::optional<TimePoint>()>;

  MetadataRelay(Process& aProcess,
                ServerRegistry& aServers,
                Gateway& aGateway,
                LastContactProvider aLastContact);

  /// Answers at once when there are changes, otherwise with the next one or
  /// after the wait. Refuses when what this instance knows may be out of date.
  std::shared_ptr<Exchange> Handle(const RelayQuery& aQuery,
                                   ReplyHandler aReply);

  /// To be called when a server, the configuration or a withdrawal has changed.
  void OnChange();

private:
  class Waiting;

  [[nodiscard]] bool Current(TimePoint aNow) const;
  [[nodiscard]] std::uint64_t Sequence(MetadataTopic aTopic) const;
  /// Counts the changes of the operators' entries.
  void NoteOperators();
  [[nodiscard]] CallerReply Answer(const RelayQuery& aQuery) const;
  [[nodiscard]] bool AddServers(const RelayQuery& aQuery,
                                RelayReply& aReply,
                                TimePoint aNow) const;
  void AddOperators(const RelayQuery& aQuery, RelayReply& aReply) const;

  Process& mProcess;
  ServerRegistry& mServers;
  Gateway& mGateway;
  LastContactProvider mLastContact;
  std::uint64_t mOperatorSequence = 1;
  /// What the sequence was last counted for.
  ConfigVersion mVersion = 0;
  std::set<FailureDomain> mWithdrawn;
  std::set<FailureDomain> mRestored;
  std::set<std::shared_ptr<Waiting>> mWaiting;
  bool mWaking = false;
};

} // namespace bronzedeal::gateway
