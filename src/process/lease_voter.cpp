#include "bronzedeal/process/lease.hpp"

#include <algorithm>
#include <deque>
#include <utility>

namespace bronzedeal::process {
namespace {

struct Promise
{
  InstanceId holder;
  Incarnation incarnation = 0;
  TimePoint expiry;
  /// Requests up to this one belong to a lease that was released.
  std::uint64_t releasedUpTo = 0;
  std::uint64_t lastRequest = 0;
  bool released = false;
  bool clean = false;
  milliseconds maxWork{ 0 };
  /// Until when work of earlier holders may run.
  TimePoint busyUntil;
};

struct Adopted
{
  TimePoint at;
  std::vector<RosterEntry> roster;
};

// Since when this instance has been a witness of a slice, by one roster.
struct View
{
  RosterRevision revision = 0;
  std::optional<TimePoint> since;
};

} // namespace

struct LeaseVoter::Impl
{
  InstanceId self;
  TimePoint start;
  LeaseOptions options;
  ConfigVersion configVersion = 0;
  RosterRevision revision = 0;
  bool ready = false;
  std::deque<Adopted> rosters;
  std::map<SliceId, Promise> promises;
  std::map<SliceId, View> views;

  Duration Stretch(Duration aDuration) const
  {
    return aDuration +
           std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(aDuration) * options.maxClockDrift);
  }

  // A promise of an earlier incarnation, or of the witness that this one
  // replaces, may still be in force for this long.
  Duration FreshWait() const { return Stretch(options.duration); }

  bool IsWitness(const SliceId& aSlice, const Adopted& aAdopted) const
  {
    const auto witnesses = WitnessSet(aSlice, aAdopted.roster);
    return std::find(witnesses.begin(), witnesses.end(), self) !=
           witnesses.end();
  }

  // From when on this instance has been a witness without interruption.
  std::optional<TimePoint> WitnessSince(const SliceId& aSlice)
  {
    auto& view = views[aSlice];
    if (view.revision == revision) {
      return view.since;
    }
    view.revision = revision;
    view.since.reset();
    for (auto it = rosters.rbegin();
         it != rosters.rend() && IsWitness(aSlice, *it);
         ++it) {
      view.since = it->at;
    }
    return view.since;
  }

  void Grant(Promise& aPromise,
             const InstanceId& aFrom,
             Incarnation aIncarnation,
             const LeaseRequestMessage& aRequest,
             TimePoint aNow) const
  {
    const bool same =
      aPromise.holder == aFrom && aPromise.incarnation == aIncarnation;
    if (!same) {
      if (!aPromise.holder.empty() && !aPromise.clean) {
        aPromise.busyUntil = std::max(
          aPromise.busyUntil, aPromise.expiry + Stretch(aPromise.maxWork));
      }
      aPromise.holder = aFrom;
      aPromise.incarnation = aIncarnation;
      aPromise.expiry = aNow;
      aPromise.releasedUpTo = 0;
      aPromise.lastRequest = 0;
      aPromise.maxWork = aRequest.maxWork;
    }
    aPromise.released = false;
    aPromise.clean = false;
    aPromise.expiry = std::max(aPromise.expiry, aNow + aRequest.duration);
    aPromise.lastRequest = std::max(aPromise.lastRequest, aRequest.requestId);
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
  mImpl->ready = aReady;
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
  if (aRevision <= impl.revision) {
    return;
  }
  impl.revision = aRevision;
  impl.rosters.push_back({ aNow, { aRoster.begin(), aRoster.end() } });
  // Older lists only matter while a witness added since then is fresh. The
  // oldest one kept was in force for the whole wait.
  while (impl.rosters.size() > 2 &&
         aNow - impl.rosters[1].at > 4 * impl.FreshWait()) {
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
                           impl.revision,         false,
                           milliseconds(0) };
  if (aRequest.configVersion < impl.configVersion) {
    reply.answer = LeaseAnswer::StaleConfiguration;
    return reply;
  }
  if (aRequest.rosterRevision < impl.revision) {
    reply.answer = LeaseAnswer::StaleRoster;
    return reply;
  }
  const auto listed = impl.WitnessSince(aRequest.slice);
  if (!impl.ready || !listed || aRequest.duration > impl.options.duration) {
    return reply;
  }
  const auto since = std::max(*listed, impl.start);
  if (aNow - since < impl.FreshWait()) {
    return reply;
  }
  auto& promise = impl.promises[aRequest.slice];
  const bool sameHolder = promise.holder == aFrom;
  const bool same = sameHolder && promise.incarnation == aIncarnation;
  if (same && aRequest.requestId <= promise.releasedUpTo) {
    return reply;
  }
  if (sameHolder && aIncarnation < promise.incarnation) {
    return reply;
  }
  if (!promise.holder.empty() && !same && !promise.released &&
      aNow < promise.expiry) {
    reply.answer = LeaseAnswer::HeldByAnother;
    return reply;
  }
  impl.Grant(promise, aFrom, aIncarnation, aRequest, aNow);
  // Work of holders that this witness did not see before it was added.
  const auto unseen = since + impl.FreshWait() + impl.Stretch(aRequest.maxWork);
  const auto busyUntil = std::max(promise.busyUntil, unseen);
  reply.answer = LeaseAnswer::Granted;
  reply.cleanHandover = aNow >= busyUntil;
  if (!reply.cleanHandover) {
    reply.wait =
      std::chrono::ceil<milliseconds>(impl.Stretch(busyUntil - aNow));
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
      aRelease.requestId < promise.lastRequest || promise.released) {
    return;
  }
  promise.released = true;
  promise.clean = aRelease.clean;
  promise.releasedUpTo = aRelease.requestId;
  // The holder sends nothing after a release, so its work ends earlier.
  promise.expiry = std::min(promise.expiry, aNow);
}

std::size_t LeaseVoter::PromiseCount() const noexcept
{
  return mImpl->promises.size();
}

} // namespace bronzedeal::process
