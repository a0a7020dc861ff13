#include "bronzedeal/request/quarantine.hpp"

#include <algorithm>
#include <cstring>
#include <utility>
#include <xxhash.h>

namespace bronzedeal::request {

namespace {

/// Servers kept per entry; two are enough for a quarantine.
constexpr std::size_t kMaxServersPerEntry = 4;
/// A success is recorded again only after `successLifetime` divided by this,
/// because a popular content succeeds many times a second.
constexpr int kSuccessRenewalDivisor = 8;

} // namespace

Fingerprint FingerprintOf(std::string_view aKind,
                          std::string_view aContent) noexcept
{
  // The hash of the kind is the seed, so that kind and content need no
  // separator between them.
  const auto seed = XXH3_64bits(aKind.data(), aKind.size());
  const auto hash =
    XXH3_128bits_withSeed(aContent.data(), aContent.size(), seed);
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  Fingerprint fingerprint;
  static_assert(sizeof(canonical.digest) == sizeof(fingerprint));
  std::memcpy(fingerprint.data(), &canonical.digest, fingerprint.size());
  return fingerprint;
}

std::size_t Quarantine::Hash::operator()(
  const Fingerprint& aContent) const noexcept
{
  std::size_t n = 0;
  std::memcpy(&n, aContent.data(), sizeof(n));
  return n;
}

Quarantine::Quarantine()
  : Quarantine(Options{})
{
}

Quarantine::Quarantine(const Options& aOptions)
  : mOptions(aOptions)
{
}

ContentState Quarantine::StateOf(const Fingerprint& aContent,
                                 TimePoint aNow) const
{
  if (const auto it = mEntries.find(aContent);
      it != mEntries.end() && aNow < it->second.expires) {
    // After the longest quarantine, a content that caused no crash can clear
    // itself in a trial as a suspect.
    const auto& entry = it->second;
    return entry.servers.size() > 1 &&
               aNow < entry.lastCrash + mOptions.maxQuarantineDuration
             ? ContentState::Quarantined
             : ContentState::Suspect;
  }
  const auto it = mSuccesses.find(aContent);
  return it != mSuccesses.end() && aNow - it->second < mOptions.successLifetime
           ? ContentState::Proven
           : ContentState::Unproven;
}

ContentState Quarantine::CheckAndRenew(const Fingerprint& aContent,
                                       TimePoint aNow)
{
  const auto state = StateOf(aContent, aNow);
  if (state != ContentState::Quarantined) {
    return state;
  }
  auto& entry = mEntries.find(aContent)->second;
  ExtendExpiry(entry,
               std::min(aNow + mOptions.quarantineDuration,
                        entry.lastCrash + mOptions.maxQuarantineDuration +
                          mOptions.suspectDuration));
  return state;
}

void Quarantine::ExtendExpiry(Entry& aEntry, TimePoint aUntil)
{
  aEntry.expires = std::max(aEntry.expires, aUntil);
  if (aEntry.expires - aEntry.announcedExpiry >=
      mOptions.quarantineDuration / 4) {
    aEntry.hasUnsentChange = true;
  }
}

bool Quarantine::RecordServerCrash(const ServerId& aServer, TimePoint aNow)
{
  while (!mRecentCrashes.empty() &&
         aNow - mRecentCrashes.front().at > mOptions.correlatedCrashWindow) {
    mRecentCrashes.pop_front();
  }
  const bool isCounted =
    std::any_of(mRecentCrashes.begin(),
                mRecentCrashes.end(),
                [&](const Crash& aCrash) { return aCrash.server == aServer; });
  if (!isCounted) {
    mRecentCrashes.push_back({ aServer, aNow });
    if (mRecentCrashes.size() == mOptions.maxIndependentCrashes + 1) {
      // The first crashes of the window may have quarantined contents before
      // the correlation was known; these become suspect again.
      for (auto& [content, entry] : mEntries) {
        if (aNow - entry.lastCrash <= mOptions.correlatedCrashWindow &&
            entry.servers.size() > 1) {
          entry.servers = { entry.servers.back() };
          entry.hasUnsentChange = true;
        }
      }
    }
  }
  return mRecentCrashes.size() > mOptions.maxIndependentCrashes;
}

void Quarantine::RecordContentCrash(const Fingerprint& aContent,
                                    const ServerId& aServer,
                                    bool aIsCorrelated,
                                    TimePoint aNow)
{
  mSuccesses.erase(aContent);
  auto it = mEntries.find(aContent);
  if (it == mEntries.end()) {
    EvictIfFull(aNow);
    it = mEntries.try_emplace(aContent).first;
  }
  auto& entry = it->second;
  if (aNow >= entry.expires || aIsCorrelated) {
    entry.servers.clear();
  }
  if (std::find(entry.servers.begin(), entry.servers.end(), aServer) ==
        entry.servers.end() &&
      entry.servers.size() < kMaxServersPerEntry) {
    entry.servers.push_back(aServer);
  }
  entry.lastCrash = aNow;
  entry.expires =
    std::max(entry.expires,
             aNow + (entry.servers.size() > 1 ? mOptions.quarantineDuration
                                              : mOptions.suspectDuration));
  entry.hasUnsentChange = true;
}

void Quarantine::EvictIfFull(TimePoint aNow)
{
  if (mEntries.size() < mOptions.maxEntries) {
    return;
  }
  Expire(aNow);
  if (mEntries.size() < mOptions.maxEntries) {
    return;
  }
  // Evicts suspect contents before quarantined ones, and among these the one
  // that expires first.
  const auto evicted = std::min_element(
    mEntries.begin(),
    mEntries.end(),
    [](const auto& aLeft, const auto& aRight) {
      const auto evictionOrder = [](const Entry& aEntry) {
        return std::pair(aEntry.servers.size() > 1, aEntry.expires);
      };
      return evictionOrder(aLeft.second) < evictionOrder(aRight.second);
    });
  mEntries.erase(evicted);
}

void Quarantine::RecordCrash(std::span<const Fingerprint> aContents,
                             const ServerId& aServer,
                             TimePoint aNow)
{
  const bool isCorrelated = RecordServerCrash(aServer, aNow);
  for (const auto& it : aContents) {
    RecordContentCrash(it, aServer, isCorrelated, aNow);
  }
}

void Quarantine::RecordSuccess(const Fingerprint& aContent,
                               bool aAllShardsRan,
                               TimePoint aNow)
{
  const auto state = StateOf(aContent, aNow);
  if (state == ContentState::Quarantined ||
      (state == ContentState::Suspect && !aAllShardsRan)) {
    return;
  }
  mEntries.erase(aContent);
  auto& at = mSuccesses[aContent];
  if (at == TimePoint{} ||
      aNow - at >= mOptions.successLifetime / kSuccessRenewalDivisor) {
    at = aNow;
    mSuccessOrder.push_back({ aContent, aNow });
    while (mSuccessOrder.size() > mOptions.maxSuccesses) {
      DropOldestSuccess();
    }
  }
}

void Quarantine::DropOldestSuccess()
{
  const auto& oldest = mSuccessOrder.front();
  const auto it = mSuccesses.find(oldest.content);
  if (it != mSuccesses.end() && it->second == oldest.at) {
    mSuccesses.erase(it);
  }
  mSuccessOrder.pop_front();
}

void Quarantine::ClearSuccesses() noexcept
{
  mSuccesses.clear();
  mSuccessOrder.clear();
}

bool Quarantine::Merge(const QuarantineEntry& aEntry, TimePoint aNow)
{
  const Duration left =
    std::min<Duration>(aEntry.remaining, mOptions.quarantineDuration);
  if (left <= Duration{} || aEntry.servers.empty()) {
    return false;
  }
  // Only recent entries with one server count as a new crash: an entry with
  // several servers may be an old one that was renewed.
  const bool isFresh =
    aEntry.servers.size() == 1 &&
    left >= mOptions.suspectDuration - mOptions.correlatedCrashWindow;
  const bool isCorrelated =
    isFresh && RecordServerCrash(aEntry.servers.front(), aNow);

  const auto it = mEntries.find(aEntry.fingerprint);
  const bool isKnown = it != mEntries.end() && aNow < it->second.expires;
  bool addsServer = false;
  for (const auto& server : aEntry.servers) {
    if (isKnown && std::find(it->second.servers.begin(),
                             it->second.servers.end(),
                             server) != it->second.servers.end()) {
      continue;
    }
    if (isKnown && it->second.servers.size() >= kMaxServersPerEntry) {
      continue;
    }
    addsServer = true;
  }
  if (addsServer) {
    for (const auto& server : aEntry.servers) {
      RecordContentCrash(aEntry.fingerprint, server, isCorrelated, aNow);
    }
    auto& entry = mEntries.find(aEntry.fingerprint)->second;
    if (!isKnown) {
      entry.expires = aNow + left;
    }
    return true;
  }
  auto& entry = it->second;
  if (aNow + left - entry.expires < mOptions.quarantineDuration / 4) {
    return false;
  }
  ExtendExpiry(
    entry,
    std::min(aNow + left, entry.lastCrash + mOptions.maxQuarantineDuration));
  return true;
}

QuarantineEntry Quarantine::ExportEntry(const Fingerprint& aContent,
                                        const Entry& aEntry,
                                        TimePoint aNow)
{
  return { aContent,
           aEntry.servers,
           std::chrono::ceil<milliseconds>(aEntry.expires - aNow) };
}

std::vector<QuarantineEntry> Quarantine::TakeChangedEntries(std::size_t aMax,
                                                            TimePoint aNow)
{
  std::vector<QuarantineEntry> entries;
  for (auto& [content, entry] : mEntries) {
    if (entries.size() >= aMax) {
      break;
    }
    if (!entry.hasUnsentChange || aNow >= entry.expires) {
      continue;
    }
    entry.hasUnsentChange = false;
    entry.announcedExpiry = entry.expires;
    entries.push_back(ExportEntry(content, entry, aNow));
  }
  return entries;
}

std::vector<QuarantineEntry> Quarantine::Entries(TimePoint aNow) const
{
  std::vector<QuarantineEntry> entries;
  for (const auto& [content, entry] : mEntries) {
    if (aNow < entry.expires) {
      entries.push_back(ExportEntry(content, entry, aNow));
    }
  }
  return entries;
}

void Quarantine::Expire(TimePoint aNow)
{
  std::erase_if(mEntries, [aNow](const auto& aItem) {
    return aNow >= aItem.second.expires;
  });
  while (!mSuccessOrder.empty() &&
         aNow - mSuccessOrder.front().at >= mOptions.successLifetime) {
    DropOldestSuccess();
  }
}

} // namespace bronzedeal::request
