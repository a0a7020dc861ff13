#include "bronzedeal/process/lease.hpp"

#include <algorithm>
#include <deque>
#include <utility>

namespace bronzedeal::process {
namespace {

// The latest promise of this witness on a slice.
struct Promise
{
  InstanceId holder;
  Incarnation incarnation = 0;
  TimePoint expiry;
  /// Requests up to this id belong to a lease that was released.
  std::uint64_t releasedUpToRequestId = 0;
  std::uint64_t lastRequestId = 0;
  bool isReleased = false;
  bool isCleanRelease = false;
  milliseconds maxWork{ 0 };
  /// Until when work of holders before `holder` may run.
  TimePoint formerWorkUntil;
};

// A roster and when this instance adopted it.
struct AdoptedRoster
{
  TimePoint adoptedAt;
  std::vector<RosterEntry> roster;
};

// Since when this instance has been a witness of a slice, as of one roster
// revision; nullopt when it is none.
struct WitnessView
{
  RosterRevision revision = 0;
  std::optional<TimePoint> witnessSince;
};

} // namespace

struct LeaseVoter::Impl
{
  InstanceId self;
  TimePoint start;
  LeaseOptions options;
  ConfigVersion configVersion = 0;
  RosterRevision rosterRevision = 0;
  bool isReady = false;
  std::deque<AdoptedRoster> rosters;
  std::map<SliceId, Promise> promises;
  std::map<SliceId, WitnessView> views;

  // Lengthens a duration measured on another clock by the assumed drift.
  Duration AddClockDrift(Duration aDuration) const
  {
    return aDuration +
           std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(aDuration) * options.maxClockDrift);
  }

  // How long a promise of an earlier incarnation, or of the witness that this
  // one replaces, may still be valid.
  Duration NewWitnessWait() const { return AddClockDrift(options.duration); }

  bool IsWitness(const SliceId& aSlice, const AdoptedRoster& aRoster) const
  {
    const auto witnesses = WitnessSet(aSlice, aRoster.roster);
    return std::find(witnesses.begin(), witnesses.end(), self) !=
           witnesses.end();
  }

  // Since when this instance has been a witness of the slice continuously.
  std::optional<TimePoint> WitnessSince(const SliceId& aSlice)
  {
    auto& view = views[aSlice];
    if (view.revision == rosterRevision) {
      return view.witnessSince;
    }
    view.revision = rosterRevision;
    view.witnessSince.reset();
    for (auto it = rosters.rbegin();
         it != rosters.rend() && IsWitness(aSlice, *it);
         ++it) {
      view.witnessSince = it->adoptedAt;
    }
    return view.witnessSince;
  }

  // Makes the promise to the sender, or extends it.
  void Grant(Promise& aPromise,
             const InstanceId& aFrom,
             Incarnation aIncarnation,
             const LeaseRequestMessage& aRequest,
             TimePoint aNow) const
  {
    const bool sameIncarnation =
      aPromise.holder == aFrom && aPromise.incarnation == aIncarnation;
    if (!sameIncarnation) {
      if (!aPromise.holder.empty() && !aPromise.isCleanRelease) {
        aPromise.formerWorkUntil =
          std::max(aPromise.formerWorkUntil,
                   aPromise.expiry + AddClockDrift(aPromise.maxWork));
      }
      aPromise.holder = aFrom;
      aPromise.incarnation = aIncarnation;
      aPromise.expiry = aNow;
      aPromise.releasedUpToRequestId = 0;
      aPromise.lastRequestId = 0;
      aPromise.maxWork = aRequest.maxWork;
    }
    aPromise.isReleased = false;
    aPromise.isCleanRelease = false;
    aPromise.expiry = std::max(aPromise.expiry, aNow + aRequest.duration);
    aPromise.lastRequestId =
      std::max(aPromise.lastRequestId, aRequest.requestId);
    aPromise.maxWork = std::max(aPromise.maxWork, aRequest.maxWork);
  }
};

LeaseVoter::LeaseVoter(InstanceId aSelf,
                       TimePoint aStart,
                       LeaseOptions aOptions)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->self = std::move(aSelf);
  mImpl->start = aStart;
  mImpl->options = aOptions;
}

LeaseVoter::~LeaseVoter() = default;
LeaseVoter::LeaseVoter(LeaseVoter&&) noexcept = default;
LeaseVoter& LeaseVoter::operator=(LeaseVoter&&) noexcept = default;

void LeaseVoter::SetReady(bool aReady) noexcept
{
  mImpl->isReady = aReady;
}

void LeaseVoter::SetConfigVersion(ConfigVersion aVersion) noexcept
{
  mImpl->configVersion = std::max(mImpl->configVersion, aVersion);
}

void LeaseVoter::SetRoster(RosterRevision aRevision,
                           std::span<const RosterEntry> aRoster,
                           TimePoint aNow)
{
  auto& impl = *mImpl;
  if (aRevision <= impl.rosterRevision) {
    return;
  }
  impl.rosterRevision = aRevision;
  impl.rosters.push_back({ aNow, { aRoster.begin(), aRoster.end() } });
  // Older rosters matter only while a witness added after them must wait. The
  // oldest one kept covers that whole wait.
  while (impl.rosters.size() > 2 &&
         aNow - impl.rosters[1].adoptedAt > 4 * impl.NewWitnessWait()) {
    impl.rosters.pop_front();
  }
}

LeaseReplyMessage LeaseVoter::Receive(const InstanceId& aFrom,
                                      Incarnation aIncarnation,
                                      const LeaseRequestMessage& aRequest,
                                      TimePoint aNow)
{
  auto& impl = *mImpl;
  LeaseReplyMessage reply{ aRequest.slice,        aRequest.requestId,
                           LeaseAnswer::NotReady, impl.configVersion,
                           impl.rosterRevision,   false,
                           milliseconds(0) };
  if (aRequest.configVersion < impl.configVersion) {
    reply.answer = LeaseAnswer::StaleConfiguration;
    return reply;
  }
  if (aRequest.rosterRevision < impl.rosterRevision) {
    reply.answer = LeaseAnswer::StaleRoster;
    return reply;
  }
  const auto witnessSince = impl.WitnessSince(aRequest.slice);
  if (!impl.isReady || !witnessSince ||
      aRequest.duration > impl.options.duration) {
    return reply;
  }
  const auto since = std::max(*witnessSince, impl.start);
  if (aNow - since < impl.NewWitnessWait()) {
    return reply;
  }
  auto& promise = impl.promises[aRequest.slice];
  const bool sameHolder = promise.holder == aFrom;
  const bool sameIncarnation =
    sameHolder && promise.incarnation == aIncarnation;
  if (sameIncarnation && aRequest.requestId <= promise.releasedUpToRequestId) {
    return reply;
  }
  if (sameHolder && aIncarnation < promise.incarnation) {
    return reply;
  }
  if (!promise.holder.empty() && !sameIncarnation && !promise.isReleased &&
      aNow < promise.expiry) {
    reply.answer = LeaseAnswer::HeldByAnother;
    return reply;
  }
  impl.Grant(promise, aFrom, aIncarnation, aRequest, aNow);
  // Work of holders from before this instance became a witness may run until
  // then.
  const auto unseenWorkUntil =
    since + impl.NewWitnessWait() + impl.AddClockDrift(aRequest.maxWork);
  const auto formerWorkUntil =
    std::max(promise.formerWorkUntil, unseenWorkUntil);
  reply.answer = LeaseAnswer::Granted;
  reply.cleanHandover = aNow >= formerWorkUntil;
  if (!reply.cleanHandover) {
    reply.wait = std::chrono::ceil<milliseconds>(
      impl.AddClockDrift(formerWorkUntil - aNow));
  }
  return reply;
}

void LeaseVoter::Release(const InstanceId& aFrom,
                         Incarnation aIncarnation,
                         const LeaseReleaseMessage& aRelease,
                         TimePoint aNow)
{
  auto& impl = *mImpl;
  const auto it = impl.promises.find(aRelease.slice);
  if (it == impl.promises.end()) {
    return;
  }
  auto& promise = it->second;
  if (promise.holder != aFrom || promise.incarnation != aIncarnation ||
      aRelease.requestId < promise.lastRequestId || promise.isReleased) {
    return;
  }
  promise.isReleased = true;
  promise.isCleanRelease = aRelease.clean;
  promise.releasedUpToRequestId = aRelease.requestId;
  // The holder sends nothing after a release, so no work starts later.
  promise.expiry = std::min(promise.expiry, aNow);
}

std::size_t LeaseVoter::PromiseCount() const noexcept
{
  return mImpl->promises.size();
}

} // namespace bronzedeal::process
