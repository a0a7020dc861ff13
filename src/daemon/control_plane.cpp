#include "bronzedeal/daemon/control_plane.hpp"

#include "bronzedeal/daemon/codec.hpp"
#include "bronzedeal/daemon/instance_list.hpp"
#include "bronzedeal/daemon/platform_reader.hpp"
#include "bronzedeal/peer.pb.h"
#include "bronzedeal/process/config_distributor.hpp"
#include "bronzedeal/process/fence.hpp"
#include "bronzedeal/process/lease.hpp"
#include "bronzedeal/process/membership.hpp"
#include "bronzedeal/process/withdrawal_report.hpp"
#include "bronzedeal/version/changes.hpp"
#include "control_report.hpp"

#include "config_functions.hpp"

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <fmt/format.h>

namespace bronzedeal::daemon {

using namespace process;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr milliseconds kTickInterval{ 50 };
constexpr std::chrono::seconds kReaderSelectionWindow{ 10 };
// Shortest time between two requests to peers for the instance list.
constexpr milliseconds kRosterPullInterval{ 250 };

std::uint64_t UnixMs()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

} // namespace

struct ControlPlane::Impl : std::enable_shared_from_this<ControlPlane::Impl>
{
  Impl(boost::asio::io_context& aContext,
       const Settings& aSettings,
       RosterEntry aSelf,
       Incarnation aIncarnation,
       version::SnapshotHolder& aSnapshots,
       LeaseTable& aLeases,
       FleetViewHolder& aFleet,
       connection::PeerTransport& aTransport,
       const version::WorkLedger& aLedger,
       AuditTrail& aAudit,
       Metrics& aMetrics,
       Hooks aHooks)
    : settings(aSettings)
    , incarnation(aIncarnation)
    , snapshots(aSnapshots)
    , leases(aLeases)
    , fleet(aFleet)
    , transport(aTransport)
    , ledger(aLedger)
    , audit(aAudit)
    , metrics(aMetrics)
    , hooks(std::move(aHooks))
    , strand(boost::asio::make_strand(aContext))
    , tickTimer(strand)
    , platform(aContext, strand, aSettings.platformAddress, aMetrics)
    , membership(std::move(aSelf),
                 aIncarnation,
                 MakeMembershipOptions(aIncarnation))
    , voter(aSettings.instance, SteadyClock::now())
    , holder(aSettings.instance)
    , distributor(aSettings.instance, MakeConfigFunctions())
    , fence(SteadyClock::now())
  {
  }

  static MembershipOptions MakeMembershipOptions(Incarnation aIncarnation)
  {
    MembershipOptions options;
    options.seed = aIncarnation;
    return options;
  }

  void ScheduleTick();
  void Tick();
  void HandlePause();
  void TickDistributor(TimePoint aNow);
  void TickLeases(TimePoint aNow);
  void TickRoster(TimePoint aNow);
  void UpdateSelf();
  void PublishFleet();
  void PublishLeases();
  void RecordPendingNotes();
  void CheckWithdrawal(TimePoint aNow);

  void SendOutbox();
  void ReceiveEnvelope(peer::Envelope&& aEnvelope);
  void ReceiveMessage(const peer::Envelope& aEnvelope);
  void HandleMessage(const InstanceId& aFrom,
                     Incarnation aIncarnation,
                     const Message& aMessage,
                     TimePoint aNow);
  void ApplyConfigActions(ConfigActions& aActions);
  void ActivateConfig(const ConfigDocument& aConfiguration);
  void StartConfigRead(const ServiceRead& aRead);
  void StartListRead(milliseconds aWait);
  void ApplyInstanceList(const std::string& aText);
  [[nodiscard]] bool IsSelectedReader() const;
  void QueueMessages(std::vector<OutgoingMessage>& aOut);
  void RecordNote(AuditNote aNote);

  const Settings& settings;
  const Incarnation incarnation;
  version::SnapshotHolder& snapshots;
  LeaseTable& leases;
  FleetViewHolder& fleet;
  connection::PeerTransport& transport;
  const version::WorkLedger& ledger;
  AuditTrail& audit;
  Metrics& metrics;
  Hooks hooks;

  boost::asio::strand<boost::asio::io_context::executor_type> strand;
  boost::asio::steady_timer tickTimer;
  PlatformReader platform;

  // All below is used on the strand only.
  Membership membership;
  LeaseVoter voter;
  LeaseHolder holder;
  ConfigDistributor distributor;
  Fence fence;
  WithdrawalReport withdrawal;
  bool stopped = false;
  bool leaving = false;
  /// Set when a pause of the process is detected, until the latest
  /// configuration version heard of is in force.
  bool rejoining = false;
  TimePoint nextRosterPull{};
  std::string instanceListText;
  std::set<ServerId> leavingServers;
  std::map<InstanceId, std::string> adminAddresses;
  std::uint64_t publishedMembershipEpoch = ~0ULL;
  std::uint64_t publishedLeaseGeneration = ~0ULL;
  std::vector<SliceId> ownedSlices;
  std::map<FailureDomain, std::string> regionByDomain;
  ConfigVersion completedWithdrawalVersion = 0;
  std::set<ServerId> heldServers;
  std::deque<OutgoingMessage> localMessages;
  /// Control messages of the running step, written as one bundle per peer.
  std::map<InstanceId, std::vector<peer::Envelope>> outbox;
  std::atomic<bool> holdsNoLease{ false };
};

void ControlPlane::Impl::ScheduleTick()
{
  tickTimer.expires_after(kTickInterval);
  tickTimer.async_wait(
    [weak = weak_from_this()](boost::system::error_code aError) {
      const auto self = weak.lock();
      if (!self || aError || self->stopped) {
        return;
      }
      self->Tick();
      self->ScheduleTick();
    });
}

void ControlPlane::Impl::Tick()
{
  const auto now = SteadyClock::now();
  std::vector<OutgoingMessage> out;
  if (membership.Tick(now, out).pauseDetected) {
    HandlePause();
  }
  QueueMessages(out);
  if (fence.Update(membership.CountContacts(now), now)) {
    const auto contact = membership.CountContacts(now);
    RecordNote({ fence.IsFenced() ? AuditKind::Fenced : AuditKind::Unfenced,
                 0,
                 fmt::format("heard from {} of {} instances",
                             contact.heardFrom,
                             contact.rosterSize) });
    if (fence.IsFenced()) {
      holder.DropAll(now);
    }
  }
  TickRoster(now);
  TickDistributor(now);
  if (rejoining && distributor.IsReady()) {
    rejoining = false;
    RecordNote(
      { AuditKind::Rejoined, 0, "the latest version heard is in force" });
  }
  voter.SetReady(distributor.IsReady() && !rejoining);
  TickLeases(now);
  RecordPendingNotes();
  UpdateSelf();
  PublishFleet();
  CheckWithdrawal(now);
  SendOutbox();
  hooks.onTick(now);
}

void ControlPlane::Impl::HandlePause()
{
  rejoining = true;
  metrics.Add(Counter::PausesDetected);
  holder.DropAll(SteadyClock::now());
  leases.SetSendableSlices({});
  distributor.Rejoin();
  membership.ClearContacts();
  RecordNote(
    { AuditKind::Paused, 0, "the process was paused; leases dropped" });
}

void ControlPlane::Impl::TickDistributor(TimePoint aNow)
{
  const auto members = membership.Records();
  ConfigActions actions;
  distributor.Tick(aNow,
                   { .members = members,
                     .contact = membership.CountContacts(aNow),
                     .readerWindow = UnixMs() / 1000 /
                                     static_cast<std::uint64_t>(
                                       kReaderSelectionWindow.count()) },
                   actions);
  ApplyConfigActions(actions);
}

void ControlPlane::Impl::TickLeases(TimePoint aNow)
{
  // A witness that lacks the version of its quorum must not grant leases.
  voter.SetReady(distributor.IsReady() && !rejoining);
  const auto snapshot = snapshots.Load();
  if (!snapshot) {
    return;
  }
  std::vector<SliceId> announced;
  for (const auto& it : membership.Records()) {
    if (it.id != settings.instance && it.status != MemberStatus::Dead) {
      announced.insert(announced.end(), it.slices.begin(), it.slices.end());
    }
  }
  const auto candidates = membership.Candidates();
  LeaseInputs inputs;
  inputs.configVersion = snapshot->Version();
  inputs.rosterRevision = membership.CurrentRosterRevision();
  inputs.roster = membership.Roster();
  inputs.candidates = candidates;
  inputs.candidateEpoch = membership.CandidateEpoch();
  inputs.slices = snapshot->Slices();
  inputs.regionByDomain = &regionByDomain;
  inputs.announcedByOthers = announced;
  inputs.maxSubrequest = snapshot->Content().limits.maxSubrequest;
  inputs.active = distributor.IsReady() && !fence.IsFenced() && !rejoining;
  inputs.leaving = leaving;
  std::vector<OutgoingMessage> out;
  holder.Tick(aNow, inputs, out);
  QueueMessages(out);
  for (const auto& it : holder.DrainingSlices()) {
    if (hooks.isSliceIdle(it)) {
      holder.MarkDrained(it);
    }
  }
  for (const auto& it : holder.TakeNewerPeers()) {
    distributor.OnPeerVersion(it.id, it.configVersion);
  }
  PublishLeases();
}

void ControlPlane::Impl::PublishLeases()
{
  if (holder.Generation() == publishedLeaseGeneration) {
    return;
  }
  publishedLeaseGeneration = holder.Generation();
  leases.SetSendableSlices(holder.SendableSlices());
  auto owned = holder.OwnedSlices();
  std::sort(owned.begin(), owned.end());
  for (const auto& it : owned) {
    if (!std::binary_search(ownedSlices.begin(), ownedSlices.end(), it)) {
      metrics.Add(Counter::LeasesAcquired);
    }
  }
  for (const auto& it : ownedSlices) {
    if (!std::binary_search(owned.begin(), owned.end(), it)) {
      metrics.Add(Counter::LeasesLost);
    }
  }
  ownedSlices = std::move(owned);
  holdsNoLease.store(ownedSlices.empty());
  metrics.Set(Gauge::SlicesOwned, static_cast<double>(ownedSlices.size()));
}

void ControlPlane::Impl::RecordPendingNotes()
{
  for (auto& it : membership.TakeAuditNotes()) {
    RecordNote(std::move(it));
  }
  for (auto& it : holder.TakeAuditNotes()) {
    RecordNote(std::move(it));
  }
}

void ControlPlane::Impl::UpdateSelf()
{
  const auto snapshot = snapshots.Load();
  SelfState state;
  if (snapshot) {
    state.configVersion = snapshot->Version();
    state.configHash = snapshot->Hash();
    const auto oldest = ledger.OldestVersion();
    if (oldest && *oldest < state.configVersion) {
      state.oldestActiveVersion = *oldest;
    }
  }
  state.fenced = fence.IsFenced();
  state.leaving = leaving;
  state.slices = holder.OwnedSlices();
  membership.UpdateSelf(state);
}

void ControlPlane::Impl::PublishFleet()
{
  const auto current = fleet.Load();
  const bool ready = distributor.IsReady() && !rejoining;
  if (membership.Epoch() == publishedMembershipEpoch &&
      current->ready == ready && current->fenced == fence.IsFenced()) {
    return;
  }
  publishedMembershipEpoch = membership.Epoch();
  auto view = std::make_shared<FleetView>();
  view->self = settings.instance;
  view->incarnation = incarnation;
  view->ready = ready;
  view->fenced = fence.IsFenced();
  view->leaving = leaving;
  view->rosterRevision = membership.CurrentRosterRevision();
  const auto records = membership.Records();
  view->members.assign(records.begin(), records.end());
  view->leavingServers = leavingServers;
  for (const auto& member : view->members) {
    if (member.status == MemberStatus::Dead) {
      continue;
    }
    for (const auto& slice : member.slices) {
      view->owners[slice] = member.id;
    }
  }
  // The lease holder is more current than the gossiped records.
  for (const auto& slice : holder.OwnedSlices()) {
    view->owners[slice] = settings.instance;
  }
  const auto aliveCount = std::count_if(
    view->members.begin(), view->members.end(), [](const Member& aMember) {
      return aMember.incarnation != 0 && aMember.status == MemberStatus::Alive;
    });
  metrics.Set(Gauge::MembersAlive, static_cast<double>(aliveCount));
  metrics.Set(Gauge::Fenced, view->fenced ? 1 : 0);
  fleet.Store(view);
  hooks.onFleetChange(*view);
}

void ControlPlane::Impl::CheckWithdrawal(TimePoint aNow)
{
  const auto snapshot = snapshots.Load();
  if (!snapshot) {
    return;
  }
  WithdrawalInputs inputs;
  inputs.rosterRevision = membership.CurrentRosterRevision();
  inputs.roster = membership.Roster();
  inputs.members = membership.Records();
  inputs.epoch = membership.Epoch();
  inputs.slices = snapshot->Slices();
  inputs.maxSubrequest = snapshot->Content().limits.maxSubrequest;
  withdrawal.Observe(inputs, aNow);
  if (completedWithdrawalVersion < snapshot->Version() &&
      withdrawal.Evaluate(snapshot->Version(), aNow).complete) {
    completedWithdrawalVersion = snapshot->Version();
    if (!heldServers.empty()) {
      heldServers.clear();
      leases.SetHeldServers(heldServers);
    }
    RecordNote(
      { AuditKind::WithdrawalCompleted,
        completedWithdrawalVersion,
        "no instance runs or can start work under an earlier version" });
  }
}

void ControlPlane::Impl::QueueMessages(std::vector<OutgoingMessage>& aOut)
{
  for (auto& it : aOut) {
    if (it.to == settings.instance) {
      localMessages.push_back(std::move(it));
    } else {
      outbox[it.to].push_back(Encode(it.body));
    }
  }
  aOut.clear();
  // Messages to this instance are handled here; handling may append more.
  while (!localMessages.empty()) {
    const auto message = std::move(localMessages.front());
    localMessages.pop_front();
    HandleMessage(
      settings.instance, incarnation, message.body, SteadyClock::now());
  }
}

void ControlPlane::Impl::SendOutbox()
{
  for (auto& [to, envelopes] : outbox) {
    if (envelopes.size() == 1) {
      transport.Send(to, std::move(envelopes.front()));
      continue;
    }
    peer::Envelope envelope;
    for (auto& it : envelopes) {
      *envelope.mutable_bundle()->add_items() = std::move(it);
    }
    transport.Send(to, std::move(envelope));
  }
  outbox.clear();
}

void ControlPlane::Impl::ReceiveEnvelope(peer::Envelope&& aEnvelope)
{
  if (!aEnvelope.has_bundle()) {
    ReceiveMessage(aEnvelope);
    return;
  }
  for (auto& it : *aEnvelope.mutable_bundle()->mutable_items()) {
    it.set_sender(aEnvelope.sender());
    it.set_sender_incarnation(aEnvelope.sender_incarnation());
    ReceiveMessage(it);
  }
}

void ControlPlane::Impl::ReceiveMessage(const peer::Envelope& aEnvelope)
{
  const auto now = SteadyClock::now();
  const auto& from = aEnvelope.sender();
  const auto senderIncarnation = aEnvelope.sender_incarnation();
  if (aEnvelope.has_gossip()) {
    if (const auto message = Decode(aEnvelope)) {
      HandleMessage(from, senderIncarnation, *message, now);
    }
    return;
  }
  if (membership.AdmitSender(from, senderIncarnation, now) !=
      SenderStatus::Accepted) {
    return;
  }
  if (aEnvelope.has_roster_pull()) {
    if (aEnvelope.roster_pull().have_revision() <
        membership.CurrentRosterRevision()) {
      peer::Envelope envelope;
      envelope.mutable_roster_content()->set_revision(
        membership.CurrentRosterRevision());
      envelope.mutable_roster_content()->set_text(instanceListText);
      transport.Send(from, std::move(envelope));
    }
  } else if (aEnvelope.has_roster_content()) {
    ApplyInstanceList(aEnvelope.roster_content().text());
  } else if (const auto message = Decode(aEnvelope)) {
    HandleMessage(from, senderIncarnation, *message, now);
  }
}

void ControlPlane::Impl::HandleMessage(const InstanceId& aFrom,
                                       Incarnation aIncarnation,
                                       const Message& aMessage,
                                       TimePoint aNow)
{
  struct Visitor
  {
    Impl& impl;
    const InstanceId& from;
    Incarnation senderIncarnation;
    TimePoint now;

    void operator()(const GossipMessage& aGossip) const
    {
      std::vector<OutgoingMessage> out;
      impl.membership.Receive(from, senderIncarnation, aGossip, now, out);
      impl.QueueMessages(out);
    }
    void operator()(const LeaseRequestMessage& aRequest) const
    {
      std::vector<OutgoingMessage> out;
      out.push_back(
        { from, impl.voter.Receive(from, senderIncarnation, aRequest, now) });
      impl.QueueMessages(out);
    }
    void operator()(const LeaseReplyMessage& aReply) const
    {
      impl.holder.Receive(from, aReply, now);
    }
    void operator()(const LeaseReleaseMessage& aRelease) const
    {
      impl.voter.Release(from, senderIncarnation, aRelease, now);
    }
    void operator()(const ConfigPullMessage& aPull) const
    {
      ConfigActions actions;
      impl.distributor.Receive(from, aPull, now, actions);
      impl.ApplyConfigActions(actions);
    }
    void operator()(const ConfigContentMessage& aContent) const
    {
      ConfigActions actions;
      impl.distributor.Receive(from, aContent, now, actions);
      impl.ApplyConfigActions(actions);
    }
  };
  std::visit(Visitor{ *this, aFrom, aIncarnation, aNow }, aMessage);
}

void ControlPlane::Impl::ApplyConfigActions(ConfigActions& aActions)
{
  for (auto& it : aActions.auditNotes) {
    if (it.kind == AuditKind::ConfigRejected) {
      metrics.Add(Counter::ConfigRejected);
    } else if (it.kind == AuditKind::ConfigConflict) {
      metrics.Add(Counter::ConfigConflicts);
    }
    RecordNote(std::move(it));
  }
  for (const auto& it : aActions.accepted) {
    ActivateConfig(it);
  }
  if (aActions.cancelRead) {
    platform.CancelConfigRead();
  }
  if (aActions.read) {
    StartConfigRead(*aActions.read);
  }
  QueueMessages(aActions.messages);
}

void ControlPlane::Impl::ActivateConfig(const ConfigDocument& aConfiguration)
{
  Error error;
  auto document = version::ParseDocument(aConfiguration.text, error);
  if (!document) {
    // Not expected: the distributor has validated the same text.
    RecordNote(
      { AuditKind::ConfigRejected, aConfiguration.version, error.message });
    return;
  }
  const auto previous = snapshots.Load();
  const auto snapshot = version::MakeSnapshot(std::move(*document));
  if (previous && snapshot->Version() > previous->Version()) {
    // Servers are held before the snapshot is in force, so that nothing is sent
    // to them under the new version in between.
    heldServers.merge(version::ReassignedServers(*previous, *snapshot));
    leases.SetHeldServers(heldServers);
  }
  if (!snapshots.Store(snapshot)) {
    return;
  }
  voter.SetConfigVersion(snapshot->Version());
  withdrawal.Track(snapshot->Version(), SteadyClock::now());
  regionByDomain.clear();
  for (const auto& [id, spec] : snapshot->Content().failureDomains) {
    regionByDomain.emplace(id, spec.region);
  }
  metrics.Add(Counter::ConfigAccepted);
  metrics.Set(Gauge::ConfigVersion, static_cast<double>(snapshot->Version()));
  for (auto& it : MakeChangeNotes(previous.get(), *snapshot)) {
    RecordNote(std::move(it));
  }
  hooks.onSnapshot(*snapshot);
}

void ControlPlane::Impl::StartConfigRead(const ServiceRead& aRead)
{
  platform.ReadConfig(
    aRead, [weak = weak_from_this()](const ServiceReadResult& aAnswer) {
      const auto self = weak.lock();
      if (!self || self->stopped) {
        return;
      }
      ConfigActions actions;
      self->distributor.OnServiceReadResult(
        aAnswer, SteadyClock::now(), actions);
      self->ApplyConfigActions(actions);
      self->SendOutbox();
    });
}

bool ControlPlane::Impl::IsSelectedReader() const
{
  std::vector<InstanceId> live;
  for (const auto& it : membership.Records()) {
    if (it.incarnation != 0 && it.status == MemberStatus::Alive) {
      live.push_back(it.id);
    }
  }
  const auto window =
    UnixMs() / 1000 /
    static_cast<std::uint64_t>(kReaderSelectionWindow.count());
  const auto readers = SelectReaders(window, live);
  return std::find(readers.begin(), readers.end(), settings.instance) !=
         readers.end();
}

void ControlPlane::Impl::TickRoster(TimePoint aNow)
{
  const bool isListed = std::any_of(
    membership.Roster().begin(),
    membership.Roster().end(),
    [&](const RosterEntry& aEntry) { return aEntry.id == settings.instance; });
  if (platform.MayReadList(aNow) && (!isListed || IsSelectedReader())) {
    StartListRead(isListed ? kLongPollWait : milliseconds(0));
  }
  if (aNow < nextRosterPull) {
    return;
  }
  const auto members = membership.Records();
  const auto newer =
    std::find_if(members.begin(), members.end(), [&](const Member& aMember) {
      return aMember.rosterRevision > membership.CurrentRosterRevision() &&
             aMember.status != MemberStatus::Dead;
    });
  if (newer != members.end()) {
    nextRosterPull = aNow + kRosterPullInterval;
    peer::Envelope envelope;
    envelope.mutable_roster_pull()->set_have_revision(
      membership.CurrentRosterRevision());
    transport.Send(newer->id, std::move(envelope));
  }
}

void ControlPlane::Impl::StartListRead(milliseconds aWait)
{
  platform.ReadList(membership.CurrentRosterRevision(),
                    aWait,
                    [weak = weak_from_this()](const std::string& aText) {
                      const auto self = weak.lock();
                      if (self && !self->stopped) {
                        self->ApplyInstanceList(aText);
                      }
                    });
}

void ControlPlane::Impl::ApplyInstanceList(const std::string& aText)
{
  auto list = ParseInstanceList(aText);
  if (!list || list->revision <= membership.CurrentRosterRevision()) {
    return;
  }
  const auto now = SteadyClock::now();
  std::map<InstanceId, std::string> peers;
  for (const auto& it : list->instances) {
    if (it.id != settings.instance) {
      peers.emplace(it.id, it.peerAddress);
    }
  }
  transport.SetPeers(peers);
  RecordNote({ AuditKind::RosterChanged,
               0,
               fmt::format("revision {} lists {} instances, {} servers leaving",
                           list->revision,
                           list->instances.size(),
                           list->leavingServers.size()) });
  for (const auto& it : list->leavingServers) {
    if (!leavingServers.contains(it)) {
      RecordNote({ AuditKind::ServerLeaving, 0, it });
    }
  }
  leavingServers = list->leavingServers;
  adminAddresses = list->adminAddresses;
  instanceListText = aText;
  membership.SetRoster(list->revision, std::move(list->instances), now);
  voter.SetRoster(membership.CurrentRosterRevision(), membership.Roster(), now);
  hooks.onLeavingServers(leavingServers);
  publishedMembershipEpoch = ~0ULL;
}

void ControlPlane::Impl::RecordNote(AuditNote aNote)
{
  if (aNote.configVersion == 0) {
    const auto snapshot = snapshots.Load();
    aNote.configVersion = snapshot ? snapshot->Version() : 0;
  }
  const auto event = audit.Record(aNote, UnixMs());
  LogEvent(LogLevel::Info,
           "audit",
           { { "kind", NameOf(event.kind) },
             { "sequence", std::to_string(event.sequence) },
             { "config_version", std::to_string(event.configVersion) },
             { "detail", event.detail } });
}

ControlPlane::ControlPlane(boost::asio::io_context& aContext,
                           const Settings& aSettings,
                           RosterEntry aSelf,
                           Incarnation aIncarnation,
                           version::SnapshotHolder& aSnapshots,
                           LeaseTable& aLeases,
                           FleetViewHolder& aFleet,
                           connection::PeerTransport& aTransport,
                           const version::WorkLedger& aLedger,
                           AuditTrail& aAudit,
                           Metrics& aMetrics,
                           Hooks aHooks)
  : mImpl(std::make_shared<Impl>(aContext,
                                 aSettings,
                                 std::move(aSelf),
                                 aIncarnation,
                                 aSnapshots,
                                 aLeases,
                                 aFleet,
                                 aTransport,
                                 aLedger,
                                 aAudit,
                                 aMetrics,
                                 std::move(aHooks)))
{
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::Start()
{
  boost::asio::post(mImpl->strand, [impl = mImpl] {
    impl->RecordNote({ AuditKind::ProcessStarted,
                       0,
                       fmt::format("incarnation {}", impl->incarnation) });
    impl->ScheduleTick();
  });
}

void ControlPlane::Stop()
{
  boost::asio::post(mImpl->strand, [impl = mImpl] {
    impl->stopped = true;
    impl->tickTimer.cancel();
  });
}

void ControlPlane::Receive(peer::Envelope&& aEnvelope)
{
  boost::asio::post(mImpl->strand,
                    [impl = mImpl, envelope = std::move(aEnvelope)]() mutable {
                      if (!impl->stopped) {
                        impl->ReceiveEnvelope(std::move(envelope));
                        impl->SendOutbox();
                      }
                    });
}

void ControlPlane::BeginLeaving()
{
  boost::asio::post(mImpl->strand, [impl = mImpl] {
    impl->leaving = true;
    impl->RecordNote({ AuditKind::Leaving, 0, "graceful shutdown" });
    impl->UpdateSelf();
    impl->publishedMembershipEpoch = ~0ULL;
  });
}

bool ControlPlane::HoldsNoLease() const noexcept
{
  return mImpl->holdsNoLease.load();
}

void ControlPlane::ReportState(std::function<void(std::string)> aHandler)
{
  boost::asio::post(mImpl->strand,
                    [impl = mImpl, handler = std::move(aHandler)] {
                      handler(WriteState(*impl->fleet.Load(),
                                         impl->membership.Self(),
                                         impl->holder.OwnedSlices(),
                                         impl->membership.CopyMembers(),
                                         impl->adminAddresses,
                                         impl->ledger.Total()));
                    });
}

void ControlPlane::ReportWithdrawal(ConfigVersion aVersion,
                                    std::function<void(std::string)> aHandler)
{
  boost::asio::post(
    mImpl->strand, [impl = mImpl, aVersion, handler = std::move(aHandler)] {
      const auto snapshot = impl->snapshots.Load();
      const auto version =
        aVersion == 0 && snapshot ? snapshot->Version() : aVersion;
      const auto now = SteadyClock::now();
      handler(WriteWithdrawal(impl->withdrawal.Evaluate(version, now),
                              impl->settings.instance,
                              impl->ledger.CountsBelow(version),
                              now,
                              UnixMs()));
    });
}

void ControlPlane::RecordAudit(AuditKind aKind, std::string aDetail)
{
  boost::asio::post(mImpl->strand,
                    [impl = mImpl, aKind, detail = std::move(aDetail)] {
                      impl->RecordNote({ aKind, 0, detail });
                    });
}

} // namespace bronzedeal::daemon
