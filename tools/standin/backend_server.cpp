#include "backend_server.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/value_to.hpp>
#include <cmath>
#include <fmt/format.h>
#include <xxhash.h>

namespace bronzedeal::standin {

namespace {

/// A sender may notice a silent cold start from this many answers (design page,
/// section 8), and from the moment that the last of them has reached it.
constexpr unsigned kGraceAnswers = 3;
constexpr std::int64_t kGraceMicros = 50'000;
/// Least service time of those answers, in medians. A sender takes an answer
/// for that of a cold server above 4 of its own medians, which include waiting
/// and the network.
constexpr double kSilentColdFactor = 10;
/// Service times of the state `slow`.
constexpr double kSlowFactor = 10;

constexpr std::string_view NameOf(ServerState aState) noexcept
{
  switch (aState) {
    case ServerState::Ok:
      return "ok";
    case ServerState::Cold:
      return "cold";
    case ServerState::Draining:
      return "draining";
    case ServerState::Down:
      return "down";
  }
  return "";
}

/// The raw text of a field's value in compact or spaced JSON, without a parse.
/// Strings are returned without quotes; escapes are not resolved.
std::string_view FieldText(std::string_view aJson, std::string_view aQuotedName)
{
  auto at = aJson.find(aQuotedName);
  if (at == std::string_view::npos) {
    return {};
  }
  at = aJson.find_first_not_of(": \t\n", at + aQuotedName.size());
  if (at == std::string_view::npos) {
    return {};
  }
  if (aJson[at] == '"') {
    return aJson.substr(at + 1, aJson.find('"', at + 1) - at - 1);
  }
  return aJson.substr(at, aJson.find_first_of(",}] \t\n", at) - at);
}

template<typename T>
void Take(const boost::json::object& aFields, std::string_view aName, T& aTo)
{
  if (const auto* it = aFields.if_contains(aName)) {
    aTo = boost::json::value_to<T>(*it);
  }
}

std::chrono::microseconds FromMs(double aMs)
{
  return std::chrono::microseconds(static_cast<std::int64_t>(aMs * 1000));
}

} // namespace

void ApplyOptions(const boost::json::object& aFields, BackendOptions& aOptions)
{
  Take(aFields, "id", aOptions.id);
  Take(aFields, "failure_domain", aOptions.failureDomain);
  Take(aFields, "address", aOptions.address);
  Take(aFields, "slots", aOptions.slots);
  Take(aFields, "connections", aOptions.connections);
  Take(aFields, "connect_ms", aOptions.connectMs);
  Take(aFields, "service_ms", aOptions.serviceMs);
  Take(aFields, "sigma", aOptions.sigma);
  Take(aFields, "straggler_share", aOptions.stragglerShare);
  Take(aFields, "straggler_factor", aOptions.stragglerFactor);
  Take(aFields, "cold_allowance", aOptions.coldAllowance);
  Take(aFields, "warm_completions", aOptions.warmCompletions);
  Take(aFields, "restart_ms", aOptions.restartMs);
  Take(aFields, "report_lag_ms", aOptions.reportLagMs);
  Take(aFields, "misleading_share", aOptions.misleadingShare);
  Take(aFields, "seed", aOptions.seed);
  if (const auto* versions = aFields.if_contains("versions")) {
    aOptions.versions.clear();
    for (const auto& [number, shards] : versions->as_object()) {
      auto& held = aOptions.versions[std::stoull(std::string(number))];
      for (const auto& it : shards.as_array()) {
        held.insert(std::string(it.as_string()));
      }
    }
  }
}

struct BackendServer::Work
{
  std::string requestId;
  std::string shard;
  std::string content;
  std::uint64_t hash = 0;
  std::uint64_t version = 0;
  bool operation = false;
  std::int64_t begin = 0;
  std::size_t running = 0;
  unsigned allowance = 0;
  HttpAnswer answer;
  std::unique_ptr<boost::asio::steady_timer> timer;
};

BackendServer::BackendServer(boost::asio::io_context& aContext,
                             BackendOptions aOptions,
                             tools::HistoryWriter& aHistory)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mHistory(aHistory)
  , mListener(
      aContext,
      { mOptions.address, mOptions.connections, FromMs(mOptions.connectMs) },
      [this](HttpRequest&& aRequest, HttpAnswer aAnswer) {
        Handle(std::move(aRequest), std::move(aAnswer));
      })
  , mRestartTimer(aContext)
  , mRandom(mOptions.seed ^ XXH64(mOptions.id.data(), mOptions.id.size(), 0))
{
}

void BackendServer::Open()
{
  mListener.Open();
  SetState(ServerState::Ok, "start");
}

void BackendServer::Handle(HttpRequest&& aRequest, HttpAnswer aAnswer)
{
  constexpr std::string_view kShards = "/v1/shards/";
  constexpr std::string_view kRequests = "/v1/requests/";
  const auto path = PathOf(aRequest.target);
  if (aRequest.method == "POST" && path.starts_with(kShards)) {
    HandleWork(path.substr(kShards.size()), aRequest, std::move(aAnswer));
  } else if (aRequest.method == "DELETE" && path.starts_with(kRequests)) {
    HandleCancel(path.substr(kRequests.size()), aAnswer);
  } else if (aRequest.method == "GET" && path == "/health") {
    aAnswer({ .body = HealthBody() });
  } else if (aRequest.method == "GET" && path == "/load") {
    aAnswer({ .body = LoadBody() });
  } else {
    aAnswer({ .status = 404, .body = R"({"error":"unknown path"})" });
  }
}

void BackendServer::HandleWork(std::string_view aPath,
                               HttpRequest& aRequest,
                               HttpAnswer aAnswer)
{
  const auto slash = aPath.find('/');
  const auto kind = slash == std::string_view::npos ? std::string_view{}
                                                    : aPath.substr(slash + 1);
  if (kind != "search" && kind != "operations") {
    aAnswer({ .status = 404, .body = R"({"error":"unknown path"})" });
    return;
  }
  auto work = std::make_shared<Work>();
  work->requestId = std::move(aRequest.requestId);
  work->shard = aPath.substr(0, slash);
  work->content = FieldText(aRequest.body, R"("content_id")");
  work->hash = XXH64(aRequest.body.data(), aRequest.body.size(), 0);
  work->version = aRequest.indexVersion;
  work->operation = kind == "operations";
  work->begin = tools::NowMicros();
  work->running = mRunning.size() + 1;
  work->allowance = Allowance();
  work->answer = std::move(aAnswer);

  if (mState == ServerState::Draining) {
    Refuse(*work, "draining", 503);
    return;
  }
  if (mState == ServerState::Cold && work->running > work->allowance) {
    if (InGrace()) {
      CountAnswer(false);
      Refuse(*work, "shed", 503);
      return;
    }
    mRunning.push_back(work);
    Crash("fell_over");
    return;
  }
  if (work->running > mOptions.slots) {
    Refuse(*work, "shed", 503);
    return;
  }
  const auto held = mOptions.versions.find(work->version);
  if (!mOptions.versions.empty() && (work->version != 0 || !work->operation) &&
      (held == mOptions.versions.end() ||
       !held->second.contains(work->shard))) {
    Refuse(*work, "version", 409);
    return;
  }
  mRunning.push_back(work);
  if (FieldText(aRequest.body, R"("crash_marker")") == "true") {
    Crash("crashed");
    return;
  }

  auto ms = ServiceMs();
  // A started operation can't be undone, so only searches end at the deadline.
  const auto late = !work->operation && aRequest.deadlineMs != 0 &&
                    ms > static_cast<double>(aRequest.deadlineMs);
  if (late) {
    ms = static_cast<double>(aRequest.deadlineMs);
  }
  work->timer = std::make_unique<boost::asio::steady_timer>(mContext);
  work->timer->expires_after(FromMs(ms));
  work->timer->async_wait([this, work, late](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    if (late) {
      Finish(
        work, "deadline", { .status = 499, .body = R"({"error":"deadline"})" });
    } else if (work->operation) {
      Finish(work,
             "ok",
             { .body = fmt::format(
                 R"({{"shard":"{}","operation_result":{{"content":"{}",)"
                 R"("server":"{}"}}}})",
                 work->shard,
                 work->content,
                 mOptions.id) });
    } else {
      Finish(
        work,
        "ok",
        { .body = fmt::format(R"({{"shard":"{}","index_version":{},"hits":[{{)"
                              R"("content":"{}","shard":"{}","version":{},)"
                              R"("server":"{}"}}]}})",
                              work->shard,
                              work->version,
                              work->content,
                              work->shard,
                              work->version,
                              mOptions.id) });
    }
  });
}

void BackendServer::HandleCancel(std::string_view aId,
                                 const HttpAnswer& aAnswer)
{
  const auto it =
    std::find_if(mRunning.begin(), mRunning.end(), [aId](const auto& aWork) {
      return aWork->requestId == aId;
    });
  if (it == mRunning.end()) {
    aAnswer({ .status = 404, .body = R"({"cancelled":false})" });
    return;
  }
  if ((*it)->operation) {
    aAnswer({ .status = 409, .body = R"({"cancelled":false})" });
    return;
  }
  const auto work = *it;
  Finish(
    work, "cancelled", { .status = 499, .body = R"({"error":"cancelled"})" });
  aAnswer({ .body = R"({"cancelled":true})" });
}

void BackendServer::Finish(const std::shared_ptr<Work>& aWork,
                           std::string_view aOutcome,
                           HttpResponse aResponse)
{
  // A timer that expired together with a cancellation still runs its handler.
  if (std::erase(mRunning, aWork) == 0) {
    return;
  }
  aWork->timer->cancel();
  Record(*aWork, aOutcome);
  // A cancelled request tells its sender nothing about the server.
  if (aOutcome != "cancelled") {
    CountAnswer(aOutcome == "ok");
  }
  aWork->answer(std::move(aResponse));
}

void BackendServer::Refuse(Work& aWork,
                           std::string_view aOutcome,
                           unsigned aStatus)
{
  Record(aWork, aOutcome);
  aWork.answer({ .status = aStatus,
                 .body = fmt::format(R"({{"error":"{}"}})", aOutcome),
                 .notRun = std::string(aStatus == 503 ? aOutcome : "") });
}

void BackendServer::CountAnswer(bool aCompleted)
{
  if (mState != ServerState::Cold) {
    return;
  }
  if (mGraceAnswers > 0) {
    if (--mGraceAnswers == 0) {
      mGraceUntil = tools::NowMicros() + kGraceMicros;
    }
    return;
  }
  if (!aCompleted || ++mCompletions < mOptions.warmCompletions) {
    return;
  }
  mCompletions = 0;
  mAllowance = std::min(mAllowance * 2, mOptions.slots);
  if (mAllowance == mOptions.slots) {
    SetState(ServerState::Ok, "warmed");
  }
}

void BackendServer::Crash(std::string_view aReason)
{
  for (const auto& it : mRunning) {
    if (it->timer) {
      it->timer->cancel();
    }
    Record(*it, aReason);
  }
  mRunning.clear();
  mListener.Close();
  SetState(ServerState::Down, aReason);
  mRestartTimer.expires_after(FromMs(mOptions.restartMs));
  mRestartTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      StartCold("restart", false);
    }
  });
}

void BackendServer::StartCold(std::string_view aReason, bool aSilently)
{
  mAllowance = std::min(mOptions.coldAllowance, mOptions.slots);
  mCompletions = 0;
  mGraceAnswers = aSilently ? kGraceAnswers : 0;
  mGraceUntil = 0;
  mListener.Open();
  SetState(mAllowance < mOptions.slots ? ServerState::Cold : ServerState::Ok,
           aReason);
}

void BackendServer::SetState(ServerState aState, std::string_view aReason)
{
  mState = aState;
  const auto now = tools::NowMicros();
  mStates.emplace_back(now, aState);
  const auto lag = FromMs(mOptions.reportLagMs).count();
  while (mStates.size() > 1 && mStates[1].first < now - lag) {
    mStates.pop_front();
  }
  mHistory.Write(
    fmt::format(R"({{"e":"state","t":{},"server":"{}","fd":"{}","state":"{}",)"
                R"("reason":"{}","allowance":{},"slots":{}}})",
                now,
                mOptions.id,
                mOptions.failureDomain,
                NameOf(aState),
                aReason,
                Allowance(),
                mOptions.slots));
}

void BackendServer::Control(const boost::json::object& aFields)
{
  auto changes = aFields;
  // These select servers in a control request and never change on a server.
  changes.erase("failure_domain");
  changes.erase("id");
  changes.erase("address");
  ApplyOptions(changes, mOptions);
  const auto* state = aFields.if_contains("state");
  if (state == nullptr) {
    return;
  }
  const std::string_view name = state->as_string();
  mRestartTimer.cancel();
  mSlowFactor = name == "slow" ? kSlowFactor : 1;
  if (name == "ok" || name == "slow") {
    if (mState == ServerState::Down) {
      StartCold("control", false);
    } else if (mState == ServerState::Draining || name == "slow") {
      SetState(ServerState::Ok, name);
    }
  } else if (name == "cold") {
    StartCold("silent", true);
  } else if (name == "draining") {
    SetState(ServerState::Draining, "control");
  } else if (name == "down") {
    Crash("down");
    mRestartTimer.cancel();
  } else {
    throw std::invalid_argument("unknown state " + std::string(name));
  }
}

void BackendServer::Record(const Work& aWork, std::string_view aOutcome)
{
  if (!mHistory.Enabled()) {
    return;
  }
  mHistory.Write(fmt::format(
    R"({{"e":"req","t0":{},"t1":{},"server":"{}","fd":"{}","shard":"{}",)"
    R"("version":{},"rid":"{}","kind":"{}","content":"{}","hash":"{:016x}",)"
    R"("running":{},"allowance":{},"cold":{},"outcome":"{}"}})",
    aWork.begin,
    tools::NowMicros(),
    mOptions.id,
    mOptions.failureDomain,
    aWork.shard,
    aWork.version,
    aWork.requestId,
    aWork.operation ? "operation" : "search",
    aWork.content,
    aWork.hash,
    aWork.running,
    aWork.allowance,
    mState == ServerState::Cold,
    aOutcome));
}

void BackendServer::RecordUnfinished()
{
  for (const auto& it : mRunning) {
    Record(*it, "unfinished");
  }
}

bool BackendServer::InGrace() const
{
  return mGraceAnswers > 0 || tools::NowMicros() < mGraceUntil;
}

unsigned BackendServer::Allowance() const noexcept
{
  return mState == ServerState::Cold ? mAllowance : mOptions.slots;
}

double BackendServer::ServiceMs()
{
  std::normal_distribution<double> normal(0, mOptions.sigma);
  std::uniform_real_distribution<double> uniform;
  auto ms = mOptions.serviceMs * mSlowFactor * std::exp(normal(mRandom));
  if (uniform(mRandom) < mOptions.stragglerShare) {
    ms *= mOptions.stragglerFactor;
  }
  if (mState == ServerState::Cold && mGraceAnswers > 0) {
    ms = std::max(ms, mOptions.serviceMs) * kSilentColdFactor;
  }
  return ms;
}

std::string BackendServer::HealthBody()
{
  const auto at = tools::NowMicros() - FromMs(mOptions.reportLagMs).count();
  auto state = mStates.empty() ? mState : mStates.front().second;
  for (const auto& [time, next] : mStates) {
    // The endpoint of a server that is up has no word for `down`.
    if (time <= at && next != ServerState::Down) {
      state = next;
    }
  }
  std::uniform_real_distribution<double> uniform;
  if (uniform(mRandom) < mOptions.misleadingShare) {
    state = ServerState::Ok;
  }
  return fmt::format(R"({{"status":"{}"}})", NameOf(state));
}

std::string BackendServer::LoadBody()
{
  const auto now = tools::NowMicros();
  if (now - mLoadSampledAt > FromMs(mOptions.reportLagMs).count()) {
    mLoadSampledAt = now;
    mSampledLoad = mRunning.size();
  }
  std::uniform_real_distribution<double> uniform;
  const auto load =
    uniform(mRandom) < mOptions.misleadingShare ? 0 : mSampledLoad;
  return fmt::format(R"({{"in_flight":{},"slots":{}}})", load, mOptions.slots);
}

boost::json::object BackendServer::Describe() const
{
  return { { "state", NameOf(mState) },
           { "running", mRunning.size() },
           { "allowance", Allowance() } };
}

} // namespace bronzedeal::standin
