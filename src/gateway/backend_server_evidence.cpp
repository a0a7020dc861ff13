#include "bronzedeal/gateway/backend_server.hpp"

#include "bronzedeal/gateway/process.hpp"

#include <algorithm>
#include <utility>
#include <xxhash.h>

// What shows whether a server answers this instance, and whether it has ended.
namespace bronzedeal::gateway {

using std::chrono::steady_clock;

namespace {

/// The links of an instance are not cut, and don't come back, all at once.
constexpr auto kLinkSettleTime = milliseconds(100);
/// An answer shows that the links worked when a connection was refused if it
/// comes within this time, which is shorter than an instance is cut off.
constexpr auto kLinkProofTime = milliseconds(200);
/// Time to wait for an answer after which another connection may show more.
constexpr auto kLinkAwaitTime = milliseconds(2000);

} // namespace

std::uint32_t BackendServer::RunHash() const noexcept
{
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(
    mRecord.id.data(), mRecord.id.size(), mRecord.startedAtMs));
}

AnswerState BackendServer::AnswerState(TimePoint aNow) const noexcept
{
  if (!mReachable) {
    return gateway::AnswerState::NotAnswering;
  }
  std::optional<TimePoint> oldestSentAt;
  for (const auto& it : mInFlight) {
    oldestSentAt = std::min(oldestSentAt.value_or(it->sentAt), it->sentAt);
  }
  return mAnswers.State(oldestSentAt, mProcess.linkEvidence.Epoch(), aNow);
}

void BackendServer::ProbeAfterCut()
{
  if (mCutRuns.ShouldProbe(steady_clock::now()) && Preconnect()) {
    mCutRuns.OnProbe();
  }
}

void BackendServer::OnRefusedAfterCut(TimePoint aBegunAt)
{
  const auto now = steady_clock::now();
  if (!mCutRuns.IsWaiting(now)) {
    return;
  }
  if (mCutRuns.WorkedLinksBefore(aBegunAt)) {
    mCutRuns.ForgetLinks();
    mProcess.linkEvidence.Await(
      this, now, kLinkProofTime, [self = weak_from_this()] {
        const auto server = self.lock();
        if (server && !server->mProcess.linkEvidence.IsCutOff()) {
          server->OnEnded(steady_clock::now());
        }
      });
    return;
  }
  mProcess.linkEvidence.Await(
    this, now, kLinkAwaitTime, [self = weak_from_this()] {
      if (const auto server = self.lock()) {
        server->mProcess.timers.Schedule(steady_clock::now() + kLinkSettleTime,
                                         [self] { ProbeWithLinks(self); });
      }
    });
}

void BackendServer::ProbeWithLinks(const std::weak_ptr<BackendServer>& aServer)
{
  const auto server = aServer.lock();
  if (server && !server->mRetired) {
    server->mCutRuns.OnLinksWork(steady_clock::now());
    if (!server->HasConnection()) {
      server->OpenConnection();
    }
  }
}

void BackendServer::OnAnswer(const Attempt& aAttempt, TimePoint aNow)
{
  const auto formerState = AnswerState(aNow);
  mAnswers.OnAnswered(aNow);
  if (mRecord.isInstance) {
    return;
  }
  mProcess.linkEvidence.OnWorked(aAttempt.sentAt, aNow);
  // A server that wasn't tried while the others were silent shows as much as
  // one of these.
  auto& evidence = mProcess.linkEvidence;
  if (formerState == gateway::AnswerState::NotAnswering ||
      (formerState == gateway::AnswerState::Unknown &&
       evidence.IsBehindOthers())) {
    evidence.OnAnsweringAgain();
  }
}

void BackendServer::OnProvenRun(const Attempt& aAttempt,
                                const ServerConnection& aConnection,
                                TimePoint aNow)
{
  if (mRecord.isInstance) {
    return;
  }
  auto& quarantine = mProcess.crashQuarantine;
  quarantine.OnServerAnswered(
    RunHash(), aConnection.OpenedAt(), aAttempt.sentAt, aNow);
  if (!mCutRuns.OnAnswered(aAttempt.sentAt)) {
    return;
  }
  // A server may have ended and started again with the same id. Its new start
  // is known within this time.
  mProcess.timers.Schedule(
    aNow + mProcess.settings.maxDrainTime,
    [self = weak_from_this(), sentAt = aAttempt.sentAt] {
      const auto server = self.lock();
      if (server && !server->mRetired &&
          server->mProcess.peers.Self().metadataReachable) {
        server->mProcess.crashQuarantine.OnServerAnswered(
          server->RunHash(), TimePoint{}, sentAt, steady_clock::now());
      }
    });
}

void BackendServer::OnUnanswered(Attempt& aAttempt, TimePoint aNow)
{
  if (!std::exchange(aAttempt.unanswered, true)) {
    AddCutRun(aAttempt, false, aNow);
  }
}

void BackendServer::AddCutRun(const Attempt& aAttempt,
                              bool aBrokeOff,
                              TimePoint aNow)
{
  if (aAttempt.request->content && !mRecord.draining && !mRetired) {
    mCutRuns.Add(
      { *aAttempt.request->content, aAttempt.sentAt, aNow, aBrokeOff });
  }
}

void BackendServer::OnEnded(TimePoint aNow)
{
  // A server that lost its power leaves requests without a reset.
  for (const auto& it : mInFlight) {
    AddCutRun(*it, false, aNow);
  }
  const auto runs = mCutRuns.TakeEnded(aNow);
  if (runs.empty()) {
    return;
  }
  mProcess.metrics.Add(process::Counter::ServersEnded);
  for (const auto& it : runs) {
    const auto crashes = mProcess.crashQuarantine.OnServerEnded(
      it.content, { RunHash(), it.sentAt, it.cutAt }, aNow);
    mProcess.log.Write("server_ended",
                       { { "server", mRecord.id },
                         { "group", mRecord.group },
                         { "content", ToHex(it.content) },
                         { "crashes", static_cast<std::int64_t>(crashes) } });
  }
}

} // namespace bronzedeal::gateway
