#pragma once

#include "bronzedeal/gateway/crash_notice.hpp"
#include "bronzedeal/gateway/exchange.hpp"
#include "bronzedeal/gateway/reach_view.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace bronzedeal::gateway {

/// What an instance passes on with a caller's request that another instance
/// serves for it.
struct Handover
{
  /// Time since the caller's request arrived.
  std::chrono::microseconds elapsed{ 0 };
  /// See `CallerRequest::networkDelay`.
  std::chrono::microseconds networkDelay{ 0 };
  /// The content is suspect at the instance that hands over. Stated only to
  /// instances that don't take `notices`.
  bool isSuspect = false;
  /// What the instance that hands over knows against the content.
  std::vector<CrashNotice> notices;
  /// Servers that may have run the request there. They count against the
  /// maximum of its route.
  UsedServers usedServers;
};

/// Returns the header line that marks a request as handed over. With `notices`
/// or `usedServers`, only instances with `PeerCapability::TakesHandoverState`
/// understand it.
[[nodiscard]] std::string EncodeHandover(const Handover& aHandover);

/// Removes the mark of a request and parses it; nothing if there is none or a
/// malformed one.
[[nodiscard]] std::optional<Handover> TakeHandover(RequestMessage& aRequest);

/// Marks a reply as one to a request that was handed over. An instance of a
/// version that doesn't know hand-over answers without the mark.
void MarkHandoverReply(CallerReply& aReply);

/// Gives a request that was handed over the times that it had at the instance
/// which received it from the caller.
void ApplyHandover(const Handover& aHandover, CallerRequest& aRequest);

/// Hands a caller's request to one of `aHelpers` and passes on its answer.
/// A helper that refuses has not run the request, so another one is asked,
/// once. After a lost answer the request may have run, and is not sent again.
/// Returns null, without using the request, when no helper has room.
std::shared_ptr<Exchange> StartHandoverExchange(const ExchangeContext& aContext,
                                                RoutedRequest& aRequest,
                                                const HelperSet& aHelpers,
                                                ReplyHandler& aReply);

/// Serves a request by this instance's servers.
using ServeHandler =
  std::function<std::shared_ptr<Exchange>(RoutedRequest, ReplyHandler)>;

/// Sends a request to one server by `aServe`, and hands it over if no server
/// has answered within a fraction of its objective. The server's answer is
/// awaited all the same: it shows that servers can be reached again. Only for
/// idempotent requests, and for helpers that take their state.
std::shared_ptr<Exchange> StartTrialExchange(const ExchangeContext& aContext,
                                             RoutedRequest aRequest,
                                             HelperSet aHelpers,
                                             const ServeHandler& aServe,
                                             ReplyHandler aReply);

} // namespace bronzedeal::gateway
