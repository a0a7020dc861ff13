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
constexpr std::chrono::seconds kReaderWindow{ 10 };
constexpr milliseconds kListWait{ 25'000 };
// Between two requests for the instance list to the same or another peer.
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
    , timer(strand)
    , platform(aContext, strand, aSettings.platformAddress, aMetrics)
    , membership(std::move(aSelf), aIncarnation, Seeded(aIncarnation))
    , voter(aSettings.instance, SteadyClock::now())
    , holder(aSettings.instance)
    , distributor(aSettings.instance, MakeConfigFunctions())
    , fence(SteadyClock::now())
  {
  }

  static MembershipOptions Seeded(Incarnation aIncarnation)
  {
    MembershipOptions options;
    options.seed = aIncarnation;
    return options;
  }

  void ArmTimer();
  void Tick();
  void HandlePause();
  void TickDistributor(TimePoint aNow);
  void TickLeases(TimePoint aNow);
  void TickRoster(TimePoint aNow);
  void UpdateSelf();
  void PublishFleet();
  void PublishLeases();
  void TakeNotes();
  void ObserveWithdrawal(TimePoint aNow);

  void Flush();
  void ReceiveAll(peer::Envelope&& aEnvelope);
  void Receive(const peer::Envelope& aEnvelope);
  void Handle(const InstanceId& aFrom,
              Incarnation aIncarnation,
              const Message& aMessage,
              TimePoint aNow);
  void Apply(ConfigActions& aActions);
  void PutInForce(const ConfigDocument& aConfiguration);
  void StartRead(const ServiceRead& aRead);
  void StartListRead(milliseconds aWait);
  void TakeList(const std::string& aText);
  [[nodiscard]] bool IsReader() const;
  void SendAll(std::vector<OutgoingMessage>& aOut);
  void Note(AuditNote aNote);

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
  boost::asio::steady_timer timer;
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
  bool paused = false;
  TimePoint nextRosterPull{};
  std::string listText;
  std::set<ServerId> leavingServers;
  std::map<InstanceId, std::string> adminAddresses;
  std::uint64_t publishedEpoch = ~0ULL;
  std::uint64_t leaseGeneration = ~0ULL;
  std::vector<SliceId> ownedSlices;
  std::map<FailureDomain, std::string> regions;
  ConfigVersion completedVersion = 0;
  std::set<ServerId> held;
  std::deque<OutgoingMessage> local;
  /// Control messages of the running step, written as one bundle per peer.
  std::map<InstanceId, std::vector<peer::Envelope>> outbox;
  std::atomic<bool> released{ false };
};

void ControlPlane::Impl::ArmTimer()
{
  timer.expires_after(kTickInterval);
  timer.async_wait([weak = weak_from_this()](boost::system::error_code aError) {
    const auto self = weak.lock();
    if (!self || aError || self->stopped) {
      return;
    }
    self->Tick();
    self->ArmTimer();
  });
}

void ControlPlane::Impl::Tick()
{
  const auto now = SteadyClock::now();
  std::vector<OutgoingMessage> out;
  if (membership.Tick(now, out).pauseDetected) {
    HandlePause();
  }
  SendAll(out);
  if (fence.Update(membership.CountContacts(now), now)) {
    const auto contact = membership.CountContacts(now);
    Note({ fence.IsFenced() ? AuditKind::Fenced : AuditKind::Unfenced,
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
  if (paused && distributor.IsReady()) {
    paused = false;
    Note({ AuditKind::Rejoined, 0, "the latest version heard is in force" });
  }
  voter.SetReady(distributor.IsReady() && !paused);
  TickLeases(now);
  TakeNotes();
  UpdateSelf();
  PublishFleet();
  ObserveWithdrawal(now);
  Flush();
  hooks.tick(now);
}

void ControlPlane::Impl::HandlePause()
{
  paused = true;
  metrics.Add(Counter::PausesDetected);
  holder.DropAll(SteadyClock::now());
  leases.SetSendableSlices({});
  distributor.Rejoin();
  membership.ClearContacts();
  Note({ AuditKind::Paused, 0, "the process was paused; leases dropped" });
}

void ControlPlane::Impl::TickDistributor(TimePoint aNow)
{
  const auto members = membership.Records();
  ConfigActions actions;
  distributor.Tick(
    aNow,
    { .members = members,
      .contact = membership.CountContacts(aNow),
      .readerWindow =
        UnixMs() / 1000 / static_cast<std::uint64_t>(kReaderWindow.count()) },
    actions);
  Apply(actions);
}

void ControlPlane::Impl::TickLeases(TimePoint aNow)
{
  // A witness without the version that its quorum has may grant nothing.
  voter.SetReady(distributor.IsReady() && !paused);
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
  inputs.regionByDomain = &regions;
  inputs.announcedByOthers = announced;
  inputs.maxSubrequest = snapshot->Content().limits.maxSubrequest;
  inputs.active = distributor.IsReady() && !fence.IsFenced() && !paused;
  inputs.leaving = leaving;
  std::vector<OutgoingMessage> out;
  holder.Tick(aNow, inputs, out);
  SendAll(out);
  for (const auto& it : holder.DrainingSlices()) {
    if (hooks.sliceIdle(it)) {
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
  if (holder.Generation() == leaseGeneration) {
    return;
  }
  leaseGeneration = holder.Generation();
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
  released.store(ownedSlices.empty());
  metrics.Set(Gauge::SlicesOwned, static_cast<double>(ownedSlices.size()));
}

void ControlPlane::Impl::TakeNotes()
{
  for (auto& it : membership.TakeAuditNotes()) {
    Note(std::move(it));
  }
  for (auto& it : holder.TakeAuditNotes()) {
    Note(std::move(it));
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
  const bool ready = distributor.IsReady() && !paused;
  if (membership.Epoch() == publishedEpoch && current->ready == ready &&
      current->fenced == fence.IsFenced()) {
    return;
  }
  publishedEpoch = membership.Epoch();
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
  // The own leases are known better than any record.
  for (const auto& slice : holder.OwnedSlices()) {
    view->owners[slice] = settings.instance;
  }
  const auto alive = std::count_if(
    view->members.begin(), view->members.end(), [](const Member& aMember) {
      return aMember.incarnation != 0 && aMember.status == MemberStatus::Alive;
    });
  metrics.Set(Gauge::MembersAlive, static_cast<double>(alive));
  metrics.Set(Gauge::Fenced, view->fenced ? 1 : 0);
  fleet.Store(view);
  hooks.fleet(*view);
}

void ControlPlane::Impl::ObserveWithdrawal(TimePoint aNow)
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
  if (completedVersion < snapshot->Version() &&
      withdrawal.Evaluate(snapshot->Version(), aNow).complete) {
    completedVersion = snapshot->Version();
    if (!held.empty()) {
      held.clear();
      leases.SetHeldServers(held);
    }
    Note({ AuditKind::WithdrawalCompleted,
           completedVersion,
           "no instance runs or can start work under an earlier version" });
  }
}

void ControlPlane::Impl::SendAll(std::vector<OutgoingMessage>& aOut)
{
  for (auto& it : aOut) {
    if (it.to == settings.instance) {
      local.push_back(std::move(it));
    } else {
      outbox[it.to].push_back(Encode(it.body));
    }
  }
  aOut.clear();
  // Messages to the own instance are handled here; handling may append more.
  while (!local.empty()) {
    const auto message = std::move(local.front());
    local.pop_front();
    Handle(settings.instance, incarnation, message.body, SteadyClock::now());
  }
}

void ControlPlane::Impl::Flush()
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

void ControlPlane::Impl::ReceiveAll(peer::Envelope&& aEnvelope)
{
  if (!aEnvelope.has_bundle()) {
    Receive(aEnvelope);
    return;
  }
  for (auto& it : *aEnvelope.mutable_bundle()->mutable_items()) {
    it.set_sender(aEnvelope.sender());
    it.set_sender_incarnation(aEnvelope.sender_incarnation());
    Receive(it);
  }
}

void ControlPlane::Impl::Receive(const peer::Envelope& aEnvelope)
{
  const auto now = SteadyClock::now();
  const auto& from = aEnvelope.sender();
  const auto senderIncarnation = aEnvelope.sender_incarnation();
  if (aEnvelope.has_gossip()) {
    if (const auto message = Decode(aEnvelope)) {
      Handle(from, senderIncarnation, *message, now);
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
      envelope.mutable_roster_content()->set_text(listText);
      transport.Send(from, std::move(envelope));
    }
  } else if (aEnvelope.has_roster_content()) {
    TakeList(aEnvelope.roster_content().text());
  } else if (const auto message = Decode(aEnvelope)) {
    Handle(from, senderIncarnation, *message, now);
  }
}

void ControlPlane::Impl::Handle(const InstanceId& aFrom,
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
      impl.SendAll(out);
    }
    void operator()(const LeaseRequestMessage& aRequest) const
    {
      std::vector<OutgoingMessage> out;
      out.push_back(
        { from, impl.voter.Receive(from, senderIncarnation, aRequest, now) });
      impl.SendAll(out);
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
      impl.Apply(actions);
    }
    void operator()(const ConfigContentMessage& aContent) const
    {
      ConfigActions actions;
      impl.distributor.Receive(from, aContent, now, actions);
      impl.Apply(actions);
    }
  };
  std::visit(Visitor{ *this, aFrom, aIncarnation, aNow }, aMessage);
}

void ControlPlane::Impl::Apply(ConfigActions& aActions)
{
  for (auto& it : aActions.auditNotes) {
    if (it.kind == AuditKind::ConfigRejected) {
      metrics.Add(Counter::ConfigRejected);
    } else if (it.kind == AuditKind::ConfigConflict) {
      metrics.Add(Counter::ConfigConflicts);
    }
    Note(std::move(it));
  }
  for (const auto& it : aActions.accepted) {
    PutInForce(it);
  }
  if (aActions.cancelRead) {
    platform.ForgetConfig();
  }
  if (aActions.read) {
    StartRead(*aActions.read);
  }
  SendAll(aActions.messages);
}

void ControlPlane::Impl::PutInForce(const ConfigDocument& aConfiguration)
{
  Error error;
  auto document = version::ParseDocument(aConfiguration.text, error);
  if (!document) {
    // The distributor has validated the same text.
    Note({ AuditKind::ConfigRejected, aConfiguration.version, error.message });
    return;
  }
  const auto former = snapshots.Load();
  const auto snapshot = version::MakeSnapshot(std::move(*document));
  if (former && snapshot->Version() > former->Version()) {
    // Held before the snapshot is in force, so that no send slips in between.
    held.merge(version::ReassignedServers(*former, *snapshot));
    leases.SetHeldServers(held);
  }
  if (!snapshots.Store(snapshot)) {
    return;
  }
  voter.SetConfigVersion(snapshot->Version());
  withdrawal.Track(snapshot->Version(), SteadyClock::now());
  regions.clear();
  for (const auto& [id, spec] : snapshot->Content().failureDomains) {
    regions.emplace(id, spec.region);
  }
  metrics.Add(Counter::ConfigAccepted);
  metrics.Set(Gauge::ConfigVersion, static_cast<double>(snapshot->Version()));
  for (auto& it : ChangeNotes(former.get(), *snapshot)) {
    Note(std::move(it));
  }
  hooks.snapshot(*snapshot);
}

void ControlPlane::Impl::StartRead(const ServiceRead& aRead)
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
      self->Apply(actions);
      self->Flush();
    });
}

bool ControlPlane::Impl::IsReader() const
{
  std::vector<InstanceId> live;
  for (const auto& it : membership.Records()) {
    if (it.incarnation != 0 && it.status == MemberStatus::Alive) {
      live.push_back(it.id);
    }
  }
  const auto window =
    UnixMs() / 1000 / static_cast<std::uint64_t>(kReaderWindow.count());
  const auto readers = SelectReaders(window, live);
  return std::find(readers.begin(), readers.end(), settings.instance) !=
         readers.end();
}

void ControlPlane::Impl::TickRoster(TimePoint aNow)
{
  const bool listed = std::any_of(
    membership.Roster().begin(),
    membership.Roster().end(),
    [&](const RosterEntry& aEntry) { return aEntry.id == settings.instance; });
  if (platform.MayReadList(aNow) && (!listed || IsReader())) {
    StartListRead(listed ? kListWait : milliseconds(0));
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
                        self->TakeList(aText);
                      }
                    });
}

void ControlPlane::Impl::TakeList(const std::string& aText)
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
  Note({ AuditKind::RosterChanged,
         0,
         fmt::format("revision {} lists {} instances, {} servers leaving",
                     list->revision,
                     list->instances.size(),
                     list->leavingServers.size()) });
  for (const auto& it : list->leavingServers) {
    if (!leavingServers.contains(it)) {
      Note({ AuditKind::ServerLeaving, 0, it });
    }
  }
  leavingServers = list->leavingServers;
  adminAddresses = list->adminAddresses;
  listText = aText;
  membership.SetRoster(list->revision, std::move(list->instances), now);
  voter.SetRoster(membership.CurrentRosterRevision(), membership.Roster(), now);
  hooks.leavingServers(leavingServers);
  publishedEpoch = ~0ULL;
}

void ControlPlane::Impl::Note(AuditNote aNote)
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
    impl->Note({ AuditKind::ProcessStarted,
                 0,
                 fmt::format("incarnation {}", impl->incarnation) });
    impl->ArmTimer();
  });
}

void ControlPlane::Stop()
{
  boost::asio::post(mImpl->strand, [impl = mImpl] {
    impl->stopped = true;
    impl->timer.cancel();
  });
}

void ControlPlane::Receive(peer::Envelope&& aEnvelope)
{
  boost::asio::post(mImpl->strand,
                    [impl = mImpl, envelope = std::move(aEnvelope)]() mutable {
                      if (!impl->stopped) {
                        impl->ReceiveAll(std::move(envelope));
                        impl->Flush();
                      }
                    });
}

void ControlPlane::BeginLeaving()
{
  boost::asio::post(mImpl->strand, [impl = mImpl] {
    impl->leaving = true;
    impl->Note({ AuditKind::Leaving, 0, "graceful shutdown" });
    impl->UpdateSelf();
    impl->publishedEpoch = ~0ULL;
  });
}

bool ControlPlane::Released() const noexcept
{
  return mImpl->released.load();
}

void ControlPlane::State(std::function<void(std::string)> aHandler)
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

void ControlPlane::Withdrawal(ConfigVersion aVersion,
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

void ControlPlane::Audit(AuditKind aKind, std::string aDetail)
{
  boost::asio::post(mImpl->strand,
                    [impl = mImpl, aKind, detail = std::move(aDetail)] {
                      impl->Note({ aKind, 0, detail });
                    });
}

} // namespace bronzedeal::daemon
