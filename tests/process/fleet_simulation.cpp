#include "fleet_simulation.hpp"

#include "bronzedeal/process/fence.hpp"
#include "bronzedeal/process/lease.hpp"
#include "bronzedeal/process/membership.hpp"
#include "bronzedeal/process/withdrawal_report.hpp"

#include <algorithm>
#include <charconv>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <random>
#include <set>
#include <utility>

namespace bronzedeal::process {
namespace {

constexpr milliseconds kTickInterval{ 50 };
constexpr milliseconds kStartPhase{ 6000 };
constexpr milliseconds kMaxWork{ 1000 };
// Two replacements within this time could exceed the tolerated difference of
// the witness sets.
constexpr milliseconds kMinReplaceInterval{ 6000 };

// A read of the configuration service that is not answered yet.
struct OpenRead
{
  std::size_t instance;
  std::uint64_t processNumber;
  std::uint64_t token;
  ConfigVersion afterVersion;
};

// Work on a backend server, sent by a process under a lease and a version.
struct RunningWork
{
  std::uint64_t processNumber;
  SliceId slice;
  ConfigVersion version;
  TimePoint end;
};

} // namespace

ConfigHash HashOfTestDocument(std::string_view aText)
{
  ConfigHash hash{};
  for (std::size_t i = 0; i < aText.size(); ++i) {
    hash[i % 15] = static_cast<std::uint8_t>(hash[i % 15] * 31 + aText[i]);
  }
  hash[15] = 1;
  return hash;
}

ConfigFunctions TestConfigFunctions()
{
  return { [](std::string_view aText) {
            ValidationResult result;
            auto& document = result.document;
            std::from_chars(
              aText.data(), aText.data() + aText.size(), document.version);
            document.hash = HashOfTestDocument(aText);
            document.text = aText;
            result.valid = aText.find("bad") == std::string_view::npos;
            result.reason = result.valid ? "" : "the document is marked as bad";
            return result;
          },
           [](std::string_view aFrom, std::string_view aTo) {
             return fmt::format("{}>{}", aFrom.substr(0, 2), aTo.substr(0, 4));
           },
           [](std::string_view, std::string_view aPatch) {
             const auto n = aPatch.find('>');
             return n == std::string_view::npos
                      ? std::nullopt
                      : std::optional(std::string(aPatch.substr(n + 1)));
           } };
}

struct FleetSimulation::Impl
{
  struct Instance
  {
    std::size_t index = 0;
    InstanceId id;
    FailureDomain failureDomain;
    Incarnation incarnation = 0;
    std::uint64_t processNumber = 0;
    unsigned replacementCount = 0;
    double clockRate = 1;
    Duration clockOffset{ 0 };
    bool running = false;
    bool paused = false;
    std::deque<std::function<void()>> deferred;
    std::optional<Membership> membership;
    std::optional<LeaseVoter> voter;
    std::optional<LeaseHolder> holder;
    std::optional<ConfigDistributor> distributor;
    std::optional<Fence> fence;
    std::optional<WithdrawalReport> report;
    std::uint64_t readToken = 0;
    ConfigVersion highestVersion = 0;
    TimePoint nextReport{};
  };

  SimulationOptions options;
  std::mt19937_64 random;
  TimePoint now{};
  std::vector<Instance> instances;
  std::vector<RosterEntry> roster;
  RosterRevision revision = 0;
  std::vector<SliceId> slices;
  std::map<FailureDomain, std::string> regions;
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<RunningWork> work;
  std::vector<OpenRead> reads;
  ConfigVersion publishedVersion = 1;
  int serviceDownFaults = 0;
  int serviceStaleFaults = 0;
  double lossProbability = 0;
  milliseconds maxDelay{ 0 };
  std::multiset<std::pair<std::size_t, std::size_t>> cutLinks;
  std::multiset<std::size_t> isolatedInstances;
  ConfigVersion completeVersion = 0;
  std::map<SliceId, TimePoint> lastOwnedAt;
  Duration longestUnownedTime{ 0 };
  std::optional<TimePoint> lastReplaceAt;
  std::uint64_t lastProcessNumber = 0;
  std::vector<std::string> violations;
  std::map<std::string, int> eventCounts;

  std::uint64_t RandomBelow(std::uint64_t aLimit) { return random() % aLimit; }
  bool Chance(double aShare)
  {
    return static_cast<double>(RandomBelow(1000000)) < aShare * 1e6;
  }

  void AddViolation(const std::string& aText)
  {
    violations.push_back(fmt::format(
      "at {} ms: {}",
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count(),
      aText));
  }

  void Schedule(TimePoint aTime, std::function<void()> aAction)
  {
    events.emplace(std::max(aTime, now), std::move(aAction));
  }

  TimePoint LocalTime(const Instance& aIt) const
  {
    return TimePoint(
      aIt.clockOffset +
      std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(now.time_since_epoch()) * aIt.clockRate));
  }

  void Setup()
  {
    for (std::size_t i = 0; i < options.instances; ++i) {
      Instance it;
      it.index = i;
      it.id = fmt::format("entry-{}", i);
      it.failureDomain = fmt::format("fd-{}", i % 3);
      // Clock rates from 0.995 to 1.005 differ by at most the assumed 1%.
      it.clockRate =
        0.995 + 0.01 * static_cast<double>(RandomBelow(1001)) / 1000;
      it.clockOffset = milliseconds(RandomBelow(1000000));
      instances.push_back(std::move(it));
    }
    for (const auto* domain : { "fd-0", "fd-1", "fd-2" }) {
      regions[domain] = "r1";
      slices.push_back({ domain, 0 });
      slices.push_back({ domain, 1 });
    }
    PublishRoster();
    for (auto& it : instances) {
      Schedule(now + milliseconds(RandomBelow(1000)),
               [this, &it] { Start(it); });
    }
    const auto begin = now + kStartPhase;
    Schedule(begin, [this] {
      cutLinks.insert(options.permanentLinkCuts.begin(),
                      options.permanentLinkCuts.end());
    });
    for (const auto& fault : options.faults) {
      Schedule(begin + fault.startsAt, [this, fault] { BeginFault(fault); });
      Schedule(begin +
                 std::min(fault.startsAt + fault.length, options.faultsEndAt),
               [this, fault] { EndFault(fault); });
    }
  }

  void PublishRoster()
  {
    ++revision;
    roster.clear();
    for (const auto& it : instances) {
      roster.push_back({ it.id, "", "", it.failureDomain, "r1", false });
    }
    for (auto& it : instances) {
      Schedule(
        now + milliseconds(RandomBelow(1500)),
        [this, &it, process = it.processNumber, list = roster, n = revision] {
          if (it.processNumber == process && it.running) {
            RunInProcess(it,
                         [this, &it, list, n] { ApplyRoster(it, n, list); });
          }
        });
    }
  }

  // Runs an action in the process of an instance: at once, or after its pause.
  // The action is dropped when the process is not running.
  void RunInProcess(Instance& aIt, std::function<void()> aAction)
  {
    if (aIt.paused) {
      aIt.deferred.push_back(std::move(aAction));
    } else if (aIt.running) {
      aAction();
    }
  }

  void ApplyRoster(Instance& aIt,
                   RosterRevision aRevision,
                   const std::vector<RosterEntry>& aList)
  {
    const auto local = LocalTime(aIt);
    aIt.membership->SetRoster(aRevision, aList, local);
    aIt.voter->SetRoster(aRevision, aList, local);
  }

  void Start(Instance& aIt)
  {
    const auto local = LocalTime(aIt);
    aIt.processNumber = ++lastProcessNumber;
    aIt.running = true;
    aIt.paused = false;
    aIt.deferred.clear();
    aIt.highestVersion = 0;
    if (options.disabled != Safeguard::NewIncarnation || aIt.incarnation == 0) {
      aIt.incarnation =
        (static_cast<Incarnation>(now.time_since_epoch() / milliseconds(1)) + 1)
          << 20 |
        RandomBelow(1 << 20);
    }
    LeaseOptions lease;
    if (options.disabled == Safeguard::LeaseMargin) {
      lease.maxClockDrift = -2.0;
    }
    MembershipOptions membership;
    membership.seed = options.seed;
    aIt.membership.emplace(
      RosterEntry{ aIt.id, "", "", aIt.failureDomain, "r1", false },
      aIt.incarnation,
      membership);
    aIt.holder.emplace(aIt.id, lease);
    lease.maxClockDrift = 0.01;
    const bool skipsWait = options.disabled == Safeguard::FreshWait;
    aIt.voter.emplace(
      aIt.id, skipsWait ? local - std::chrono::seconds(60) : local, lease);
    ConfigOptions config;
    config.seed = options.seed;
    aIt.distributor.emplace(aIt.id, TestConfigFunctions(), config);
    aIt.fence.emplace(local);
    if (options.disabled == Safeguard::ReportWait) {
      lease.duration = milliseconds(0);
    }
    aIt.report.emplace(lease);
    if (skipsWait) {
      aIt.voter->SetRoster(revision, roster, local - std::chrono::seconds(60));
    }
    ApplyRoster(aIt, revision, roster);
    Tick(aIt, aIt.processNumber);
  }

  void Tick(Instance& aIt, std::uint64_t aProcess)
  {
    if (aIt.processNumber != aProcess || !aIt.running) {
      return;
    }
    if (!aIt.paused) {
      TickOnce(aIt);
      CheckSenders();
    }
    Schedule(now + kTickInterval,
             [this, &aIt, aProcess] { Tick(aIt, aProcess); });
  }

  void TickOnce(Instance& aIt)
  {
    const auto local = LocalTime(aIt);
    // Senders check the time limit of a lease themselves, also before the tick.
    SendWork(aIt, local);
    std::vector<OutgoingMessage> out;
    if (aIt.membership->Tick(local, out).pauseDetected) {
      aIt.distributor->Rejoin();
      aIt.holder->DropAll(local);
      ++eventCounts["detected pauses"];
    }
    const auto contact = aIt.membership->CountContacts(local);
    aIt.fence->Update(contact, local);
    const auto seconds = static_cast<std::uint64_t>(now.time_since_epoch() /
                                                    std::chrono::seconds(1));
    ConfigActions actions;
    for (const auto& peer : aIt.holder->TakeNewerPeers()) {
      aIt.distributor->OnPeerVersion(peer.id, peer.configVersion);
    }
    aIt.distributor->Tick(
      local, { aIt.membership->Records(), contact, seconds / 10 }, actions);
    ApplyActions(aIt, actions);
    const auto* current = aIt.distributor->CurrentDocument();
    const auto version = current == nullptr ? 0 : current->version;
    aIt.voter->SetReady(aIt.distributor->IsReady());
    aIt.voter->SetConfigVersion(version);
    TickHolder(aIt, local, version, out);
    aIt.membership->UpdateSelf(
      { version,
        current == nullptr ? ConfigHash{} : current->hash,
        aIt.fence->IsFenced(),
        false,
        aIt.holder->OwnedSlices(),
        OldestActive(aIt, version) });
    UpdateReport(aIt, local);
    SendAll(aIt, out);
  }

  void TickHolder(Instance& aIt,
                  TimePoint aLocal,
                  ConfigVersion aVersion,
                  std::vector<OutgoingMessage>& aOut)
  {
    for (const auto& slice : aIt.holder->DrainingSlices()) {
      const bool busy =
        std::any_of(work.begin(), work.end(), [&](const auto& aWork) {
          return aWork.processNumber == aIt.processNumber &&
                 aWork.slice == slice;
        });
      if (!busy && options.disabled != Safeguard::DrainedReport) {
        aIt.holder->MarkDrained(slice);
        ++eventCounts["handovers"];
      }
    }
    const auto candidates = aIt.membership->Candidates();
    std::vector<SliceId> announced;
    for (const auto& it : aIt.membership->Records()) {
      if (it.id != aIt.id && it.status != MemberStatus::Dead) {
        announced.insert(announced.end(), it.slices.begin(), it.slices.end());
      }
    }
    LeaseInputs inputs;
    inputs.configVersion = aVersion;
    inputs.rosterRevision = aIt.membership->CurrentRosterRevision();
    inputs.roster = aIt.membership->Roster();
    inputs.candidates = candidates;
    inputs.candidateEpoch = aIt.membership->CandidateEpoch();
    inputs.slices = slices;
    inputs.regionByDomain = &regions;
    inputs.announcedByOthers = announced;
    inputs.maxSubrequest =
      options.disabled == Safeguard::TakeoverWait ? milliseconds(0) : kMaxWork;
    inputs.active = aIt.distributor->IsReady() && !aIt.fence->IsFenced();
    aIt.holder->Tick(aLocal, inputs, aOut);
  }

  ConfigVersion OldestActive(const Instance& aIt, ConfigVersion aVersion) const
  {
    ConfigVersion oldest = aVersion;
    for (const auto& it : work) {
      if (it.processNumber == aIt.processNumber) {
        oldest = std::min(oldest, it.version);
      }
    }
    return oldest < aVersion ? oldest : 0;
  }

  // Starts work on every slice that the instance may send to by its own state.
  void SendWork(Instance& aIt, TimePoint aLocal)
  {
    std::erase_if(work, [&](const auto& aWork) { return aWork.end <= now; });
    for (const auto& [slice, until] : aIt.holder->SendableSlices()) {
      if (aLocal >= until) {
        continue;
      }
      for (const auto& it : work) {
        if (it.slice == slice && it.processNumber != aIt.processNumber) {
          AddViolation(fmt::format("{} sends to {} while work of another "
                                   "instance is running",
                                   aIt.id,
                                   ToString(slice)));
        }
      }
      const auto* current = aIt.distributor->CurrentDocument();
      const auto version = current == nullptr ? 0 : current->version;
      if (version < completeVersion) {
        AddViolation(fmt::format("{} sends under version {} after the claim "
                                 "that withdrawal is complete for "
                                 "version {}",
                                 aIt.id,
                                 version,
                                 completeVersion));
      }
      const auto length =
        Chance(0.3) ? kMaxWork : milliseconds(1 + RandomBelow(100));
      work.push_back(
        { aIt.processNumber,
          slice,
          version,
          now + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(length) / aIt.clockRate) });
      ++eventCounts["sends"];
    }
  }

  void CheckSenders()
  {
    std::map<SliceId, InstanceId> senders;
    for (const auto& it : instances) {
      if (!it.running) {
        continue;
      }
      for (const auto& [slice, until] : it.holder->SendableSlices()) {
        if (LocalTime(it) >= until) {
          continue;
        }
        if (const auto last = lastOwnedAt.find(slice);
            last != lastOwnedAt.end() && now > TimePoint(kStartPhase)) {
          longestUnownedTime = std::max(longestUnownedTime, now - last->second);
        }
        lastOwnedAt[slice] = now;
        const auto [other, fresh] = senders.emplace(slice, it.id);
        if (!fresh) {
          AddViolation(fmt::format("{} and {} may both send to {}",
                                   other->second,
                                   it.id,
                                   ToString(slice)));
        }
      }
    }
  }

  void UpdateReport(Instance& aIt, TimePoint aLocal)
  {
    WithdrawalInputs inputs;
    inputs.rosterRevision = aIt.membership->CurrentRosterRevision();
    inputs.roster = aIt.membership->Roster();
    inputs.members = aIt.membership->Records();
    inputs.epoch = aIt.membership->Epoch();
    inputs.slices = slices;
    inputs.maxSubrequest =
      options.disabled == Safeguard::ReportWait ? milliseconds(0) : kMaxWork;
    aIt.report->Observe(inputs, aLocal);
    if (aLocal < aIt.nextReport || publishedVersion <= completeVersion) {
      return;
    }
    aIt.nextReport = aLocal + milliseconds(200);
    if (!aIt.report->Evaluate(publishedVersion, aLocal).complete) {
      return;
    }
    completeVersion = publishedVersion;
    ++eventCounts["claims of completion"];
    for (const auto& it : work) {
      if (it.version < completeVersion && it.end > now) {
        AddViolation(
          fmt::format("{} claims version {} while work under version "
                      "{} is running on {}",
                      aIt.id,
                      completeVersion,
                      it.version,
                      ToString(it.slice)));
        return;
      }
    }
  }

  void ApplyActions(Instance& aIt, ConfigActions& aActions)
  {
    for (const auto& it : aActions.accepted) {
      if (it.version <= aIt.highestVersion) {
        AddViolation(fmt::format("{} puts version {} in force after {}",
                                 aIt.id,
                                 it.version,
                                 aIt.highestVersion));
      }
      aIt.highestVersion = it.version;
      aIt.report->Track(it.version, LocalTime(aIt));
    }
    if (aActions.cancelRead) {
      ++aIt.readToken;
    }
    if (aActions.read) {
      reads.push_back({ aIt.index,
                        aIt.processNumber,
                        ++aIt.readToken,
                        aActions.read->afterVersion });
      ++eventCounts["reads"];
      AnswerReads();
    }
    SendAll(aIt, aActions.messages);
  }

  void AnswerReads()
  {
    std::erase_if(reads, [&](const OpenRead& aRead) {
      const bool stale = serviceStaleFaults > 0 && publishedVersion > 1;
      const bool reachable =
        serviceDownFaults == 0 && !isolatedInstances.contains(aRead.instance);
      if (reachable && !stale && aRead.afterVersion >= publishedVersion) {
        return false;
      }
      ServiceReadResult answer;
      if (reachable) {
        answer = { ServiceReadStatus::Document,
                   std::to_string(publishedVersion - (stale ? 1 : 0)) };
      }
      Schedule(now + milliseconds(2 + RandomBelow(5)), [this, aRead, answer] {
        auto& it = instances[aRead.instance];
        if (it.processNumber == aRead.processNumber &&
            it.readToken == aRead.token) {
          RunInProcess(it, [this, &it, answer] {
            ConfigActions actions;
            if (options.disabled == Safeguard::VersionOrder) {
              it.distributor.emplace(it.id, TestConfigFunctions());
            }
            it.distributor->OnServiceReadResult(answer, LocalTime(it), actions);
            ApplyActions(it, actions);
          });
        }
      });
      return true;
    });
  }

  void SendAll(Instance& aFrom, std::vector<OutgoingMessage>& aOut)
  {
    for (auto& it : aOut) {
      const auto to =
        std::find_if(instances.begin(), instances.end(), [&](const auto& aIt) {
          return aIt.id == it.to;
        });
      if (to == instances.end()) {
        continue;
      }
      const bool toSelf = to->index == aFrom.index;
      if (!toSelf && (Chance(lossProbability) ||
                      cutLinks.contains({ aFrom.index, to->index }))) {
        continue;
      }
      Duration travel = milliseconds(1 + RandomBelow(3));
      if (maxDelay.count() > 0 && Chance(0.3)) {
        travel += milliseconds(
          RandomBelow(static_cast<std::uint64_t>(maxDelay.count())));
      }
      Schedule(now + (toSelf ? Duration(0) : travel),
               [this,
                &target = *to,
                from = aFrom.id,
                incarnation = aFrom.incarnation,
                process = to->processNumber,
                body = std::move(it.body)] {
                 if (target.processNumber == process) {
                   RunInProcess(target,
                                [this, &target, from, incarnation, body] {
                                  Handle(target, from, incarnation, body);
                                });
                 }
               });
    }
    aOut.clear();
  }

  void Handle(Instance& aIt,
              const InstanceId& aFrom,
              Incarnation aIncarnation,
              const Message& aBody)
  {
    const auto local = LocalTime(aIt);
    std::vector<OutgoingMessage> out;
    if (const auto* gossip = std::get_if<GossipMessage>(&aBody)) {
      aIt.membership->Receive(aFrom, aIncarnation, *gossip, local, out);
      SendAll(aIt, out);
      return;
    }
    if (aIt.membership->AdmitSender(aFrom, aIncarnation, local) !=
        SenderStatus::Accepted) {
      ++eventCounts["refused messages"];
      return;
    }
    ConfigActions actions;
    if (const auto* request = std::get_if<LeaseRequestMessage>(&aBody)) {
      out.push_back(
        { aFrom, aIt.voter->Receive(aFrom, aIncarnation, *request, local) });
    } else if (const auto* reply = std::get_if<LeaseReplyMessage>(&aBody)) {
      aIt.holder->Receive(aFrom, *reply, local);
    } else if (const auto* release = std::get_if<LeaseReleaseMessage>(&aBody)) {
      aIt.voter->Release(aFrom, aIncarnation, *release, local);
    } else if (const auto* pull = std::get_if<ConfigPullMessage>(&aBody)) {
      aIt.distributor->Receive(aFrom, *pull, local, actions);
    } else if (const auto* content =
                 std::get_if<ConfigContentMessage>(&aBody)) {
      aIt.distributor->Receive(aFrom, *content, local, actions);
    }
    ApplyActions(aIt, actions);
    SendAll(aIt, out);
  }

  // Isolates an instance from its peers and the service, or reconnects it.
  void SetIsolated(std::size_t aIndex, bool aIsolated)
  {
    if (aIsolated) {
      isolatedInstances.insert(aIndex);
    } else {
      isolatedInstances.erase(isolatedInstances.find(aIndex));
    }
    AnswerReads();
    for (std::size_t i = 0; i < instances.size(); ++i) {
      for (const auto& link :
           { std::pair{ i, aIndex }, std::pair{ aIndex, i } }) {
        if (i != aIndex && aIsolated) {
          cutLinks.insert(link);
        } else if (const auto it = cutLinks.find(link); it != cutLinks.end()) {
          cutLinks.erase(it);
        }
      }
    }
  }

  void Resume(Instance& aIt)
  {
    if (!aIt.paused) {
      return;
    }
    aIt.paused = false;
    // Messages from during the pause may be handled before or after the first
    // tick.
    if (Chance(0.5)) {
      TickOnce(aIt);
    } else {
      SendWork(aIt, LocalTime(aIt));
    }
    for (auto deferred = std::exchange(aIt.deferred, {});
         const auto& it : deferred) {
      RunInProcess(aIt, it);
    }
  }

  void ReplaceInstance(Instance& aIt, const Fault& aFault)
  {
    if (options.instances < 6 ||
        (lastReplaceAt && now - *lastReplaceAt < kMinReplaceInterval)) {
      return;
    }
    lastReplaceAt = now;
    ++eventCounts["replacements"];
    // The old process may run on for a while after it is removed from the
    // roster. It keeps its place in `instances` and is stopped when the new one
    // starts.
    if (aFault.second % 2 == 0) {
      aIt.running = false;
    }
    const auto old = aIt.id;
    aIt.id = fmt::format("entry-{}-{}", aIt.index, ++aIt.replacementCount);
    PublishRoster();
    aIt.id = old;
    Schedule(now + milliseconds(1600), [this, &aIt] {
      aIt.running = false;
      aIt.id = fmt::format("entry-{}-{}", aIt.index, aIt.replacementCount);
      Start(aIt);
    });
  }

  void BeginFault(const Fault& aFault)
  {
    const auto a = aFault.first % instances.size();
    const auto b = aFault.second % instances.size();
    auto& it = instances[a];
    switch (aFault.kind) {
      case FaultKind::Loss:
        lossProbability = 0.1 + 0.1 * (aFault.first % 4);
        break;
      case FaultKind::Delay:
        maxDelay = milliseconds(500 + 500 * (aFault.first % 6));
        break;
      case FaultKind::Cut:
        cutLinks.insert({ a, b });
        break;
      case FaultKind::Isolate:
        SetIsolated(a, true);
        break;
      case FaultKind::Pause:
        it.paused = it.running;
        break;
      case FaultKind::Crash:
        it.running = false;
        break;
      case FaultKind::Publish:
        ++publishedVersion;
        ++eventCounts["published versions"];
        AnswerReads();
        break;
      case FaultKind::ServiceDown:
        ++serviceDownFaults;
        AnswerReads();
        break;
      case FaultKind::Replace:
        ReplaceInstance(it, aFault);
        break;
      case FaultKind::ServiceStale:
        ++serviceStaleFaults;
        AnswerReads();
        break;
    }
  }

  void EndFault(const Fault& aFault)
  {
    const auto a = aFault.first % instances.size();
    const auto b = aFault.second % instances.size();
    auto& it = instances[a];
    switch (aFault.kind) {
      case FaultKind::Loss:
        lossProbability = 0;
        break;
      case FaultKind::Delay:
        maxDelay = milliseconds(0);
        break;
      case FaultKind::Cut:
        if (const auto link = cutLinks.find({ a, b }); link != cutLinks.end()) {
          cutLinks.erase(link);
        }
        break;
      case FaultKind::Isolate:
        SetIsolated(a, false);
        break;
      case FaultKind::Pause:
        Resume(it);
        break;
      case FaultKind::Crash:
        if (!it.running) {
          Start(it);
        }
        break;
      case FaultKind::Publish:
      case FaultKind::Replace:
        break;
      case FaultKind::ServiceDown:
        --serviceDownFaults;
        break;
      case FaultKind::ServiceStale:
        --serviceStaleFaults;
        AnswerReads();
        break;
    }
  }

  void RunUntil(TimePoint aEnd)
  {
    while (!events.empty() && events.begin()->first <= aEnd &&
           violations.empty()) {
      auto event = events.extract(events.begin());
      now = event.key();
      event.mapped()();
    }
    now = aEnd;
  }

  void CheckRecovery(TimePoint aFaultsEndAt)
  {
    for (const auto& it : slices) {
      if (!lastOwnedAt.contains(it) || lastOwnedAt[it] <= aFaultsEndAt) {
        AddViolation("no owner of " + ToString(it) + " after the last fault");
      }
    }
    for (const auto& it : instances) {
      if (it.highestVersion != publishedVersion) {
        AddViolation(fmt::format("{} has version {}, {} is published",
                                 it.id,
                                 it.highestVersion,
                                 publishedVersion));
      }
    }
    if (completeVersion != publishedVersion) {
      AddViolation(fmt::format("no claim for version {}", publishedVersion));
    }
  }
};

FleetSimulation::FleetSimulation(SimulationOptions aOptions)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->options = std::move(aOptions);
  mImpl->random.seed(mImpl->options.seed);
}

FleetSimulation::~FleetSimulation() = default;

std::vector<std::string> FleetSimulation::Run()
{
  auto& impl = *mImpl;
  impl.Setup();
  const auto faultsEndAt = TimePoint(kStartPhase + impl.options.faultsEndAt);
  impl.RunUntil(faultsEndAt + impl.options.recoveryTime);
  if (impl.violations.empty()) {
    impl.CheckRecovery(faultsEndAt);
  }
  return impl.violations;
}

milliseconds FleetSimulation::LongestUnownedTime() const
{
  return std::chrono::duration_cast<milliseconds>(mImpl->longestUnownedTime);
}

const std::map<std::string, int>& FleetSimulation::EventCounts() const
{
  return mImpl->eventCounts;
}

} // namespace bronzedeal::process
