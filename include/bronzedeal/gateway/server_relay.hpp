#pragma once

#include "bronzedeal/gateway/exchange.hpp"
#include "bronzedeal/gateway/relay_message.hpp"

#include <functional>
#include <memory>
#include <set>

namespace bronzedeal::gateway {

/// Tells other instances of the failure domain what this one has read of the
/// servers, so that the metadata service is read by a few and not by all.
class ServerRelay
{
public:
  /// When the service last answered this instance; nothing when it doesn't read
  /// the service itself.
  using LastContact = std::function<std::optional<TimePoint>()>;

  ServerRelay(Process& aProcess,
              ServerRegistry& aServers,
              LastContact aLastContact);

  /// Answers at once when there are changes, otherwise with the next one or
  /// after the wait. Refuses when what this instance knows may be out of date.
  std::shared_ptr<Exchange> Handle(const RelayQuery& aQuery,
                                   ReplyHandler aReply);

  /// To be called when a server has changed.
  void OnChange();

private:
  class Waiting;

  [[nodiscard]] bool Current(TimePoint aNow) const;
  [[nodiscard]] CallerReply Answer(const RelayQuery& aQuery) const;

  Process& mProcess;
  ServerRegistry& mServers;
  LastContact mLastContact;
  std::set<std::shared_ptr<Waiting>> mWaiting;
  bool mWaking = false;
};

} // namespace bronzedeal::gateway
