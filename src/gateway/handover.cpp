#include "bronzedeal/gateway/handover.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <fmt/format.h>

namespace bronzedeal::gateway {

namespace json = boost::json;
using std::chrono::microseconds;
using std::chrono::steady_clock;

namespace {

/// Marks requests, with their times, and the replies to them.
constexpr const char* kHandoverHeader = "X-Bronzedeal-Handover";
/// Behind the times of a request whose content is suspect.
constexpr std::string_view kSuspectMark = " suspect";
/// The state that goes along with a request, a JSON object behind the times.
constexpr std::string_view kStateBegin = " {";
/// Key of the used servers in the state, beside the lists of crash notices: an
/// object with a list of ids for each group.
constexpr std::string_view kServersKey = "servers";
/// The helper answers this long before the instance that handed over.
constexpr auto kHopMargin = milliseconds(10);
/// The way to the helper and back, which the caller waits for as well.
constexpr auto kHopDelay = milliseconds(6);
/// Number of helpers that one request is sent to.
constexpr std::size_t kMaxHelpersPerRequest = 2;
/// Value of Retry-After when no helper takes the request.
constexpr auto kRetryAfter = milliseconds(100);
/// Bound of the times that a peer states.
constexpr std::int64_t kMaxMicroseconds = std::int64_t{ 3600 } * 1'000'000;

json::object EncodeUsedServers(const UsedServers& aServers)
{
  json::object groups;
  for (const auto& group : aServers.Groups()) {
    json::array ids;
    for (const auto& id : aServers.Of(group)) {
      ids.emplace_back(id);
    }
    groups[group] = std::move(ids);
  }
  return groups;
}

/// Adds the servers of a state; returns false if they are malformed.
bool DecodeUsedServers(const json::object& aState, UsedServers& aServers)
{
  const auto* groups = aState.if_contains(kServersKey);
  if (groups == nullptr) {
    return true;
  }
  if (!groups->is_object()) {
    return false;
  }
  for (const auto& [group, ids] : groups->get_object()) {
    if (!ids.is_array()) {
      return false;
    }
    for (const auto& it : ids.get_array()) {
      if (!it.is_string()) {
        return false;
      }
      aServers.Add(std::string(group), std::string(it.get_string()));
    }
  }
  return true;
}

std::string EncodeState(const Handover& aHandover)
{
  auto text = EncodeCrashNotices(aHandover.notices);
  if (aHandover.usedServers.IsEmpty()) {
    return text;
  }
  auto state = json::parse(text);
  state.get_object()[kServersKey] = EncodeUsedServers(aHandover.usedServers);
  return json::serialize(state);
}

/// Returns false if the state is malformed.
bool DecodeState(std::string_view aText, Handover& aHandover)
{
  auto notices = DecodeCrashNotices(aText);
  if (!notices) {
    return false;
  }
  aHandover.notices = std::move(*notices);
  const auto state = json::parse(aText); // It has been parsed already.
  return DecodeUsedServers(state.get_object(), aHandover.usedServers);
}

class HandoverExchange
  : public Exchange
  , public std::enable_shared_from_this<HandoverExchange>
{
public:
  HandoverExchange(const ExchangeContext& aContext,
                   RoutedRequest aRequest,
                   HelperSet aHelpers,
                   ReplyHandler aReply)
    : mContext(aContext)
    , mRequest(std::move(aRequest))
    , mHelpers(std::move(aHelpers))
    , mReply(std::move(aReply))
    , mServerRequest(MakeServerRequest(mContext, mRequest))
  {
    const auto now = steady_clock::now();
    mContent = *std::exchange(mServerRequest->content, std::nullopt);
    mServerRequest->deadline -= kHopMargin;
    Handover handover;
    handover.elapsed =
      std::chrono::ceil<microseconds>(now - mRequest.caller.receivedAt);
    handover.networkDelay =
      std::chrono::ceil<microseconds>(mRequest.caller.networkDelay);
    const auto& quarantine = Process().crashQuarantine;
    if (!mHelpers.allTakeState) {
      handover.isSuspect =
        quarantine.VerdictOf(mContent, now) != ContentVerdict::Free;
    } else if (auto notice = quarantine.NoticeOf(mContent, now)) {
      handover.notices.push_back(std::move(*notice));
    }
    if (mHelpers.allTakeState && mRequest.usedServers) {
      handover.usedServers = *mRequest.usedServers;
    }
    mServerRequest->head.insert(mServerRequest->head.find("\r\n") + 2,
                                EncodeHandover(handover));
  }

  void Start(const std::shared_ptr<BackendServer>& aHelper)
  {
    Process().metrics.Add(process::Counter::RequestsHandedOver);
    mDeadlineTimer = Process().timers.Schedule(
      mRequest.deadline - kAnswerMargin, [self = shared_from_this()] {
        self->mDeadlineTimer = {};
        self->OnDeadline();
      });
    Send(aHelper);
  }

  void Conclude() override
  {
    if (mReply) {
      OnDeadline();
    }
  }

  void Cancel() override
  {
    mReply = nullptr;
    Process().metrics.Add(process::Counter::CallersLeft);
    // Closes the connection, which cancels the request at the helper.
    Stop(steady_clock::now());
  }

private:
  gateway::Process& Process() { return mContext.process; }

  void Send(const std::shared_ptr<BackendServer>& aHelper)
  {
    std::erase(mHelpers.instances, aHelper->Record().id);
    ++mSendCount;
    mHelper = aHelper;
    auto attempt =
      aHelper->Send(mServerRequest,
                    [self = shared_from_this()](
                      auto aResult, auto aFault, ResponseMessage* aResponse) {
                      self->OnAttemptFinished(aResult, aFault, aResponse);
                    });
    if (mReply && mHelper == aHelper) {
      mAttempt = std::move(attempt);
    }
  }

  void OnAttemptFinished(AttemptResult aResult,
                         AttemptFault aFault,
                         ResponseMessage* aResponse)
  {
    const auto helper = std::exchange(mHelper, nullptr);
    mAttempt = nullptr;
    if (!mReply) {
      return;
    }
    if (aResult == AttemptResult::OutcomeUnknown) {
      LogFailure(*helper, aFault, 0);
      Finish(TextReply(502, "the answer of another instance was lost"));
      return;
    }
    // An instance answers 503 only when the request has not run, and an error
    // without the mark when it doesn't know hand-over.
    const bool isRefused = aResult == AttemptResult::NotRun ||
                           aResponse->result_int() == 503 ||
                           !IsUnderstood(*aResponse);
    if (!isRefused) {
      // What the server announces concerns the helper, which sends to it.
      const auto& names = Process().settings.headerNames;
      RecordOutcome(*aResponse);
      aResponse->erase(names.rateLimit);
      aResponse->erase(names.leaving);
      aResponse->erase(kHandoverHeader);
      Finish(ForwardedReply(*aResponse));
      return;
    }
    LogFailure(
      *helper, aFault, aResponse != nullptr ? aResponse->result_int() : 0);
    const auto next =
      mSendCount < kMaxHelpersPerRequest
        ? mContext.peers.FindHelper(mHelpers.instances, steady_clock::now())
        : nullptr;
    if (next) {
      Send(next);
    } else if (aResponse != nullptr && aResponse->result_int() == 503) {
      aResponse->erase(kHandoverHeader);
      Finish(ForwardedReply(*aResponse));
    } else {
      Finish(RefusedReply("no instance could take the request", kRetryAfter));
    }
  }

  /// False for the error of an instance that doesn't know hand-over.
  [[nodiscard]] static bool IsUnderstood(const ResponseMessage& aResponse)
  {
    return aResponse.result_int() / 100 != 4 ||
           aResponse.find(kHandoverHeader) != aResponse.end();
  }

  void OnDeadline()
  {
    const bool isSent = mAttempt && mAttempt->sent;
    Stop(steady_clock::now());
    Finish(isSent
             ? TextReply(504, "no answer in time")
             : RefusedReply("no instance could take the request", kRetryAfter));
  }

  void LogFailure(const BackendServer& aHelper,
                  AttemptFault aFault,
                  unsigned aStatus)
  {
    Process().log.Write("handover_failed",
                        { { "request", mRequest.caller.requestId },
                          { "instance", aHelper.Record().id },
                          { "fault", Name(aFault) },
                          { "status", static_cast<std::int64_t>(aStatus) } });
  }

  void Finish(CallerReply aReply)
  {
    if (mRequest.usedServers && !mRequest.usedServers->IsEmpty() &&
        ImpliesNotRun(aReply.status)) {
      // The helper hasn't run the request, but a server of this instance may
      // have.
      aReply = TextReply(502, "no instance could take the request again");
    }
    auto reply = std::exchange(mReply, nullptr);
    const auto now = steady_clock::now();
    const auto elapsed = now - mRequest.caller.receivedAt;
    Process().metrics.ObserveQuery(Milliseconds(elapsed) / 1000);
    if (aReply.status >= 500) {
      Process().log.Write(
        "request_end",
        { { "request", mRequest.caller.requestId },
          { "route", mRequest.route->name },
          { "version", static_cast<std::int64_t>(mRequest.version) },
          { "status", static_cast<std::int64_t>(aReply.status) },
          { "cause", "handed_over" },
          { "sends", static_cast<std::int64_t>(mSendCount) },
          { "took_ms", Milliseconds(elapsed) } });
    }
    Stop(now);
    reply(std::move(aReply));
  }

  /// What the helper's servers did with the content holds here as well: the
  /// next request with it may be handed to another helper. An answer that was
  /// lost on the way from the helper says nothing of the content.
  void RecordOutcome(const ResponseMessage& aResponse)
  {
    auto& quarantine = Process().crashQuarantine;
    const auto now = steady_clock::now();
    const auto status = aResponse.result_int();
    if (status == 502 || status == 504) {
      quarantine.OnUnanswered(mContent, now, now);
    } else if (ProvesRun(aResponse, Process().settings.headerNames)) {
      quarantine.OnAnswered(mContent, now);
    }
  }

  void Stop(TimePoint aUntil)
  {
    Process().timers.Cancel(mDeadlineTimer);
    const auto helper = std::exchange(mHelper, nullptr);
    if (const auto attempt = std::exchange(mAttempt, nullptr)) {
      helper->Detach(attempt, aUntil);
    }
  }

  ExchangeContext mContext;
  RoutedRequest mRequest;
  /// The instances that may still be asked.
  HelperSet mHelpers;
  ReplyHandler mReply;
  std::shared_ptr<ServerRequest> mServerRequest;
  ContentId mContent{};
  std::shared_ptr<BackendServer> mHelper;
  std::shared_ptr<Attempt> mAttempt;
  std::size_t mSendCount = 0;
  TimerQueue::Handle mDeadlineTimer;
};

} // namespace

std::string EncodeHandover(const Handover& aHandover)
{
  std::string further(aHandover.isSuspect ? kSuspectMark : "");
  if (!aHandover.notices.empty() || !aHandover.usedServers.IsEmpty()) {
    further = ' ' + EncodeState(aHandover);
  }
  return fmt::format("{}: {} {}{}\r\n",
                     kHandoverHeader,
                     aHandover.elapsed.count(),
                     aHandover.networkDelay.count(),
                     further);
}

std::optional<Handover> TakeHandover(RequestMessage& aRequest)
{
  std::string text(aRequest[kHandoverHeader]);
  aRequest.erase(kHandoverHeader);
  Handover handover;
  if (const auto state = text.find(kStateBegin); state != std::string::npos) {
    if (!DecodeState(std::string_view(text).substr(state + 1), handover)) {
      return std::nullopt;
    }
    text.resize(state);
  } else if (text.ends_with(kSuspectMark)) {
    handover.isSuspect = true;
    text.resize(text.size() - kSuspectMark.size());
  }
  const auto* end = text.data() + text.size();
  std::int64_t elapsed = 0;
  std::int64_t networkDelay = 0;
  const auto [at, ec] = std::from_chars(text.data(), end, elapsed);
  if (ec != std::errc{} || at == end || *at != ' ') {
    return std::nullopt;
  }
  const auto [last, error] = std::from_chars(at + 1, end, networkDelay);
  const auto isInRange = [](std::int64_t aCount) {
    return aCount >= 0 && aCount <= kMaxMicroseconds;
  };
  if (error != std::errc{} || last != end || !isInRange(elapsed) ||
      !isInRange(networkDelay)) {
    return std::nullopt;
  }
  handover.elapsed = microseconds(elapsed);
  handover.networkDelay = microseconds(networkDelay);
  return handover;
}

void MarkHandoverReply(CallerReply& aReply)
{
  aReply.headers += fmt::format("{}: 1\r\n", kHandoverHeader);
}

void ApplyHandover(const Handover& aHandover, CallerRequest& aRequest)
{
  aRequest.receivedAt -= aHandover.elapsed;
  aRequest.networkDelay = aHandover.networkDelay + kHopDelay;
}

std::shared_ptr<Exchange> StartHandoverExchange(const ExchangeContext& aContext,
                                                RoutedRequest& aRequest,
                                                const HelperSet& aHelpers,
                                                ReplyHandler& aReply)
{
  const auto helper =
    aContext.peers.FindHelper(aHelpers.instances, steady_clock::now());
  if (!helper) {
    return nullptr;
  }
  auto exchange = std::make_shared<HandoverExchange>(
    aContext, std::move(aRequest), aHelpers, std::move(aReply));
  exchange->Start(helper);
  return exchange;
}

} // namespace bronzedeal::gateway
