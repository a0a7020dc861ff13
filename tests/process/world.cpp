#include "world.hpp"

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

constexpr milliseconds kTick{ 50 };
constexpr milliseconds kStartPhase{ 6000 };
constexpr milliseconds kMaxWork{ 1000 };
// Two replacements within this time could exceed the tolerated difference of
// witness sets.
constexpr milliseconds kReplaceGap{ 6000 };

struct Read
{
  std::size_t instance;
  std::uint64_t process;
  std::uint64_t token;
  ConfigVersion after;
};

struct Work
{
  std::uint64_t process;
  SliceId slice;
  ConfigVersion version;
  TimePoint end;
};

} // namespace

ConfigHash HashFor(std::string_view aText)
{
  ConfigHash hash{};
  for (std::size_t i = 0; i < aText.size(); ++i) {
    hash[i % 15] = static_cast<std::uint8_t>(hash[i % 15] * 31 + aText[i]);
  }
  hash[15] = 1;
  return hash;
}

ConfigFunctions TextFunctions()
{
  return { [](std::string_view aText) {
            ValidationResult result;
            auto& document = result.document;
            std::from_chars(
              aText.data(), aText.data() + aText.size(), document.version);
            document.hash = HashFor(aText);
            document.text = aText;
            result.valid = aText.find("bad") == std::string_view::npos;
            result.reason = result.valid ? "" : "the text is bad";
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

struct World::Impl
{
  struct Instance
  {
    std::size_t index = 0;
    InstanceId id;
    FailureDomain failureDomain;
    Incarnation incarnation = 0;
    std::uint64_t process = 0;
    unsigned generation = 0;
    double rate = 1;
    Duration offset{ 0 };
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
    ConfigVersion highest = 0;
    TimePoint nextReport{};
  };

  WorldOptions options;
  std::mt19937_64 random;
  TimePoint now{};
  std::vector<Instance> instances;
  std::vector<RosterEntry> roster;
  RosterRevision revision = 0;
  std::vector<SliceId> slices;
  std::map<FailureDomain, std::string> regions;
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<Work> work;
  std::vector<Read> reads;
  ConfigVersion published = 1;
  int serviceDown = 0;
  int serviceStale = 0;
  double loss = 0;
  milliseconds delay{ 0 };
  std::multiset<std::pair<std::size_t, std::size_t>> cuts;
  std::multiset<std::size_t> isolated;
  ConfigVersion complete = 0;
  std::map<SliceId, TimePoint> lastOwned;
  Duration longestGap{ 0 };
  std::optional<TimePoint> lastReplace;
  std::uint64_t processes = 0;
  std::vector<std::string> violations;
  std::map<std::string, int> counts;

  std::uint64_t Below(std::uint64_t aLimit) { return random() % aLimit; }
  bool Chance(double aShare)
  {
    return static_cast<double>(Below(1000000)) < aShare * 1e6;
  }

  void Violation(const std::string& aText)
  {
    violations.push_back(fmt::format(
      "at {} ms: {}",
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count(),
      aText));
  }

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    events.emplace(std::max(aTime, now), std::move(aAction));
  }

  TimePoint Local(const Instance& aIt) const
  {
    return TimePoint(
      aIt.offset +
      std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(now.time_since_epoch()) * aIt.rate));
  }

  void Setup()
  {
    for (std::size_t i = 0; i < options.instances; ++i) {
      Instance it;
      it.index = i;
      it.id = fmt::format("entry-{}", i);
      it.failureDomain = fmt::format("fd-{}", i % 3);
      // Rates between 0.995 and 1.005 differ by at most 1%.
      it.rate = 0.995 + 0.01 * static_cast<double>(Below(1001)) / 1000;
      it.offset = milliseconds(Below(1000000));
      instances.push_back(std::move(it));
    }
    for (const auto* domain : { "fd-0", "fd-1", "fd-2" }) {
      regions[domain] = "r1";
      slices.push_back({ domain, 0 });
      slices.push_back({ domain, 1 });
    }
    PublishRoster();
    for (auto& it : instances) {
      At(now + milliseconds(Below(1000)), [this, &it] { Start(it); });
    }
    const auto begin = now + kStartPhase;
    At(begin, [this] {
      cuts.insert(options.permanentCuts.begin(), options.permanentCuts.end());
    });
    for (const auto& fault : options.faults) {
      At(begin + fault.at, [this, fault] { Begin(fault); });
      At(begin + std::min(fault.at + fault.length, options.faultsEnd),
         [this, fault] { End(fault); });
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
      At(now + milliseconds(Below(1500)),
         [this, &it, process = it.process, list = roster, n = revision] {
           if (it.process == process && it.running) {
             Later(it, [this, &it, list, n] { TakeRoster(it, n, list); });
           }
         });
    }
  }

  // Runs an action in the instance's process, after a pause if need be.
  void Later(Instance& aIt, std::function<void()> aAction)
  {
    if (aIt.paused) {
      aIt.deferred.push_back(std::move(aAction));
    } else if (aIt.running) {
      aAction();
    }
  }

  void TakeRoster(Instance& aIt,
                  RosterRevision aRevision,
                  const std::vector<RosterEntry>& aList)
  {
    const auto local = Local(aIt);
    aIt.membership->SetRoster(aRevision, aList, local);
    aIt.voter->SetRoster(aRevision, aList, local);
  }

  void Start(Instance& aIt)
  {
    const auto local = Local(aIt);
    aIt.process = ++processes;
    aIt.running = true;
    aIt.paused = false;
    aIt.deferred.clear();
    aIt.highest = 0;
    if (options.off != Guard::NewIncarnation || aIt.incarnation == 0) {
      aIt.incarnation =
        (static_cast<Incarnation>(now.time_since_epoch() / milliseconds(1)) + 1)
          << 20 |
        Below(1 << 20);
    }
    LeaseOptions lease;
    if (options.off == Guard::LeaseMargin) {
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
    const bool forgets = options.off == Guard::FreshWait;
    aIt.voter.emplace(
      aIt.id, forgets ? local - std::chrono::seconds(60) : local, lease);
    ConfigOptions config;
    config.seed = options.seed;
    aIt.distributor.emplace(aIt.id, TextFunctions(), config);
    aIt.fence.emplace(local);
    if (options.off == Guard::ReportWait) {
      lease.duration = milliseconds(0);
    }
    aIt.report.emplace(lease);
    if (forgets) {
      aIt.voter->SetRoster(revision, roster, local - std::chrono::seconds(60));
    }
    TakeRoster(aIt, revision, roster);
    Tick(aIt, aIt.process);
  }

  void Tick(Instance& aIt, std::uint64_t aProcess)
  {
    if (aIt.process != aProcess || !aIt.running) {
      return;
    }
    if (!aIt.paused) {
      TickOnce(aIt);
      CheckSenders();
    }
    At(now + kTick, [this, &aIt, aProcess] { Tick(aIt, aProcess); });
  }

  void TickOnce(Instance& aIt)
  {
    const auto local = Local(aIt);
    // The sender checks the clock itself, before any tick.
    SendWork(aIt, local);
    std::vector<OutgoingMessage> out;
    if (aIt.membership->Tick(local, out).pauseDetected) {
      aIt.distributor->Rejoin();
      aIt.holder->DropAll(local);
      ++counts["pauses noticed"];
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
    Apply(aIt, actions);
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
    Report(aIt, local);
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
          return aWork.process == aIt.process && aWork.slice == slice;
        });
      if (!busy && options.off != Guard::DrainedReport) {
        aIt.holder->MarkDrained(slice);
        ++counts["handovers"];
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
      options.off == Guard::TakeoverWait ? milliseconds(0) : kMaxWork;
    inputs.active = aIt.distributor->IsReady() && !aIt.fence->IsFenced();
    aIt.holder->Tick(aLocal, inputs, aOut);
  }

  ConfigVersion OldestActive(const Instance& aIt, ConfigVersion aVersion) const
  {
    ConfigVersion oldest = aVersion;
    for (const auto& it : work) {
      if (it.process == aIt.process) {
        oldest = std::min(oldest, it.version);
      }
    }
    return oldest < aVersion ? oldest : 0;
  }

  // Starts work on every slice that the instance believes it may send to.
  void SendWork(Instance& aIt, TimePoint aLocal)
  {
    std::erase_if(work, [&](const auto& aWork) { return aWork.end <= now; });
    for (const auto& [slice, until] : aIt.holder->SendableSlices()) {
      if (aLocal >= until) {
        continue;
      }
      for (const auto& it : work) {
        if (it.slice == slice && it.process != aIt.process) {
          Violation(fmt::format("{} sends to {} while work of another "
                                "instance is running",
                                aIt.id,
                                ToString(slice)));
        }
      }
      const auto* current = aIt.distributor->CurrentDocument();
      const auto version = current == nullptr ? 0 : current->version;
      if (version < complete) {
        Violation(fmt::format("{} sends under version {} after the claim for "
                              "version {}",
                              aIt.id,
                              version,
                              complete));
      }
      const auto length = Chance(0.3) ? kMaxWork : milliseconds(1 + Below(100));
      work.push_back(
        { aIt.process,
          slice,
          version,
          now + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(length) / aIt.rate) });
      ++counts["sends"];
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
        if (Local(it) >= until) {
          continue;
        }
        if (const auto last = lastOwned.find(slice);
            last != lastOwned.end() && now > TimePoint(kStartPhase)) {
          longestGap = std::max(longestGap, now - last->second);
        }
        lastOwned[slice] = now;
        const auto [other, fresh] = senders.emplace(slice, it.id);
        if (!fresh) {
          Violation(fmt::format("{} and {} may both send to {}",
                                other->second,
                                it.id,
                                ToString(slice)));
        }
      }
    }
  }

  void Report(Instance& aIt, TimePoint aLocal)
  {
    WithdrawalInputs inputs;
    inputs.rosterRevision = aIt.membership->CurrentRosterRevision();
    inputs.roster = aIt.membership->Roster();
    inputs.members = aIt.membership->Records();
    inputs.epoch = aIt.membership->Epoch();
    inputs.slices = slices;
    inputs.maxSubrequest =
      options.off == Guard::ReportWait ? milliseconds(0) : kMaxWork;
    aIt.report->Observe(inputs, aLocal);
    if (aLocal < aIt.nextReport || published <= complete) {
      return;
    }
    aIt.nextReport = aLocal + milliseconds(200);
    if (!aIt.report->Evaluate(published, aLocal).complete) {
      return;
    }
    complete = published;
    ++counts["claims"];
    for (const auto& it : work) {
      if (it.version < complete && it.end > now) {
        Violation(fmt::format("{} claims version {} while work under version "
                              "{} is running on {}",
                              aIt.id,
                              complete,
                              it.version,
                              ToString(it.slice)));
        return;
      }
    }
  }

  void Apply(Instance& aIt, ConfigActions& aActions)
  {
    for (const auto& it : aActions.accepted) {
      if (it.version <= aIt.highest) {
        Violation(fmt::format("{} puts version {} in force after {}",
                              aIt.id,
                              it.version,
                              aIt.highest));
      }
      aIt.highest = it.version;
      aIt.report->Track(it.version, Local(aIt));
    }
    if (aActions.cancelRead) {
      ++aIt.readToken;
    }
    if (aActions.read) {
      reads.push_back({ aIt.index,
                        aIt.process,
                        ++aIt.readToken,
                        aActions.read->afterVersion });
      ++counts["reads"];
      AnswerReads();
    }
    SendAll(aIt, aActions.messages);
  }

  void AnswerReads()
  {
    std::erase_if(reads, [&](const Read& aRead) {
      const bool stale = serviceStale > 0 && published > 1;
      const bool reachable =
        serviceDown == 0 && !isolated.contains(aRead.instance);
      if (reachable && !stale && aRead.after >= published) {
        return false;
      }
      ServiceReadResult answer;
      if (reachable) {
        answer = { ServiceReadStatus::Document,
                   std::to_string(published - (stale ? 1 : 0)) };
      }
      At(now + milliseconds(2 + Below(5)), [this, aRead, answer] {
        auto& it = instances[aRead.instance];
        if (it.process == aRead.process && it.readToken == aRead.token) {
          Later(it, [this, &it, answer] {
            ConfigActions actions;
            if (options.off == Guard::VersionOrder) {
              it.distributor.emplace(it.id, TextFunctions());
            }
            it.distributor->OnServiceReadResult(answer, Local(it), actions);
            Apply(it, actions);
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
      const bool self = to->index == aFrom.index;
      if (!self &&
          (Chance(loss) || cuts.contains({ aFrom.index, to->index }))) {
        continue;
      }
      Duration travel = milliseconds(1 + Below(3));
      if (delay.count() > 0 && Chance(0.3)) {
        travel +=
          milliseconds(Below(static_cast<std::uint64_t>(delay.count())));
      }
      At(now + (self ? Duration(0) : travel),
         [this,
          &target = *to,
          from = aFrom.id,
          incarnation = aFrom.incarnation,
          process = to->process,
          body = std::move(it.body)] {
           if (target.process == process) {
             Later(target, [this, &target, from, incarnation, body] {
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
    const auto local = Local(aIt);
    std::vector<OutgoingMessage> out;
    if (const auto* gossip = std::get_if<GossipMessage>(&aBody)) {
      aIt.membership->Receive(aFrom, aIncarnation, *gossip, local, out);
      SendAll(aIt, out);
      return;
    }
    if (aIt.membership->AdmitSender(aFrom, aIncarnation, local) !=
        SenderStatus::Accepted) {
      ++counts["refused"];
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
    Apply(aIt, actions);
    SendAll(aIt, out);
  }

  // Cuts an instance off from its peers and from the service.
  void CutAll(std::size_t aIndex, bool aCut)
  {
    if (aCut) {
      isolated.insert(aIndex);
    } else {
      isolated.erase(isolated.find(aIndex));
    }
    AnswerReads();
    for (std::size_t i = 0; i < instances.size(); ++i) {
      for (const auto& link :
           { std::pair{ i, aIndex }, std::pair{ aIndex, i } }) {
        if (i != aIndex && aCut) {
          cuts.insert(link);
        } else if (const auto it = cuts.find(link); it != cuts.end()) {
          cuts.erase(it);
        }
      }
    }
  }

  void Wake(Instance& aIt)
  {
    if (!aIt.paused) {
      return;
    }
    aIt.paused = false;
    // The messages of the pause may be handled before or after the first tick.
    if (Chance(0.5)) {
      TickOnce(aIt);
    } else {
      SendWork(aIt, Local(aIt));
    }
    for (auto deferred = std::exchange(aIt.deferred, {});
         const auto& it : deferred) {
      Later(aIt, it);
    }
  }

  void Replace(Instance& aIt, const Fault& aFault)
  {
    if (options.instances < 6 ||
        (lastReplace && now - *lastReplace < kReplaceGap)) {
      return;
    }
    lastReplace = now;
    ++counts["replacements"];
    // The old process may go on for a while after the list has dropped it; it
    // stays in `instances` under its index and is stopped when the new starts.
    if (aFault.second % 2 == 0) {
      aIt.running = false;
    }
    const auto old = aIt.id;
    aIt.id = fmt::format("entry-{}-{}", aIt.index, ++aIt.generation);
    PublishRoster();
    aIt.id = old;
    At(now + milliseconds(1600), [this, &aIt] {
      aIt.running = false;
      aIt.id = fmt::format("entry-{}-{}", aIt.index, aIt.generation);
      Start(aIt);
    });
  }

  void Begin(const Fault& aFault)
  {
    const auto a = aFault.first % instances.size();
    const auto b = aFault.second % instances.size();
    auto& it = instances[a];
    switch (aFault.kind) {
      case FaultKind::Loss:
        loss = 0.1 + 0.1 * (aFault.first % 4);
        break;
      case FaultKind::Delay:
        delay = milliseconds(500 + 500 * (aFault.first % 6));
        break;
      case FaultKind::Cut:
        cuts.insert({ a, b });
        break;
      case FaultKind::Isolate:
        CutAll(a, true);
        break;
      case FaultKind::Pause:
        it.paused = it.running;
        break;
      case FaultKind::Crash:
        it.running = false;
        break;
      case FaultKind::Publish:
        ++published;
        ++counts["versions"];
        AnswerReads();
        break;
      case FaultKind::ServiceDown:
        ++serviceDown;
        AnswerReads();
        break;
      case FaultKind::Replace:
        Replace(it, aFault);
        break;
      case FaultKind::ServiceStale:
        ++serviceStale;
        AnswerReads();
        break;
    }
  }

  void End(const Fault& aFault)
  {
    const auto a = aFault.first % instances.size();
    const auto b = aFault.second % instances.size();
    auto& it = instances[a];
    switch (aFault.kind) {
      case FaultKind::Loss:
        loss = 0;
        break;
      case FaultKind::Delay:
        delay = milliseconds(0);
        break;
      case FaultKind::Cut:
        if (const auto link = cuts.find({ a, b }); link != cuts.end()) {
          cuts.erase(link);
        }
        break;
      case FaultKind::Isolate:
        CutAll(a, false);
        break;
      case FaultKind::Pause:
        Wake(it);
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
        --serviceDown;
        break;
      case FaultKind::ServiceStale:
        --serviceStale;
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

  void CheckRecovery(TimePoint aFaultsEnd)
  {
    for (const auto& it : slices) {
      if (!lastOwned.contains(it) || lastOwned[it] <= aFaultsEnd) {
        Violation("no owner of " + ToString(it) + " after the faults");
      }
    }
    for (const auto& it : instances) {
      if (it.highest != published) {
        Violation(fmt::format(
          "{} has version {}, {} is published", it.id, it.highest, published));
      }
    }
    if (complete != published) {
      Violation(fmt::format("no claim for version {}", published));
    }
  }
};

World::World(WorldOptions aOptions)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->options = std::move(aOptions);
  mImpl->random.seed(mImpl->options.seed);
}

World::~World() = default;

std::vector<std::string> World::Run()
{
  auto& impl = *mImpl;
  impl.Setup();
  const auto faultsEnd = TimePoint(kStartPhase + impl.options.faultsEnd);
  impl.RunUntil(faultsEnd + impl.options.recovery);
  if (impl.violations.empty()) {
    impl.CheckRecovery(faultsEnd);
  }
  return impl.violations;
}

milliseconds World::LongestGap() const
{
  return std::chrono::duration_cast<milliseconds>(mImpl->longestGap);
}

const std::map<std::string, int>& World::Counts() const
{
  return mImpl->counts;
}

} // namespace bronzedeal::process
