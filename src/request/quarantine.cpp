#include "bronzedeal/request/quarantine.hpp"

#include <algorithm>
#include <cstring>
#include <utility>
#include <xxhash.h>

namespace bronzedeal::request {

namespace {

/// Servers kept by entry; two are enough for a quarantine.
constexpr std::size_t kMaxServers = 4;
/// Successes are noted again only after this part of their age, because a
/// popular content succeeds many times a second.
constexpr int kNoteParts = 8;

} // namespace

Fingerprint FingerprintOf(std::string_view aKind,
                          std::string_view aContent) noexcept
{
  // The hash of the kind is the seed, so that no separator is needed.
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
    // An innocent content clears itself in a trial after the longest time.
    const auto& entry = it->second;
    return entry.servers.size() > 1 &&
               aNow < entry.lastCrash + mOptions.maxQuarantine
             ? ContentState::Quarantined
             : ContentState::Suspect;
  }
  const auto it = mSuccesses.find(aContent);
  return it != mSuccesses.end() && aNow - it->second < mOptions.successAge
           ? ContentState::Proven
           : ContentState::Unproven;
}

ContentState Quarantine::Admit(const Fingerprint& aContent, TimePoint aNow)
{
  const auto state = StateOf(aContent, aNow);
  if (state != ContentState::Quarantined) {
    return state;
  }
  auto& entry = mEntries.find(aContent)->second;
  Extend(
    entry,
    std::min(aNow + mOptions.quarantine,
             entry.lastCrash + mOptions.maxQuarantine + mOptions.suspicion));
  return state;
}

void Quarantine::Extend(Entry& aEntry, TimePoint aUntil)
{
  aEntry.expires = std::max(aEntry.expires, aUntil);
  if (aEntry.expires - aEntry.noticed >= mOptions.quarantine / 4) {
    aEntry.changed = true;
  }
}

bool Quarantine::MassLoss(const ServerId& aServer, TimePoint aNow)
{
  while (!mCrashes.empty() &&
         aNow - mCrashes.front().at > mOptions.massLossWindow) {
    mCrashes.pop_front();
  }
  const bool known =
    std::any_of(mCrashes.begin(), mCrashes.end(), [&](const Crash& aCrash) {
      return aCrash.server == aServer;
    });
  if (!known) {
    mCrashes.push_back({ aServer, aNow });
    if (mCrashes.size() == mOptions.massLossServers + 1) {
      // What the first crashes of the mass loss have quarantined is undone.
      for (auto& [content, entry] : mEntries) {
        if (aNow - entry.lastCrash <= mOptions.massLossWindow &&
            entry.servers.size() > 1) {
          entry.servers = { entry.servers.back() };
          entry.changed = true;
        }
      }
    }
  }
  return mCrashes.size() > mOptions.massLossServers;
}

void Quarantine::Record(const Fingerprint& aContent,
                        const ServerId& aServer,
                        bool aMassLoss,
                        TimePoint aNow)
{
  mSuccesses.erase(aContent);
  auto it = mEntries.find(aContent);
  if (it == mEntries.end()) {
    MakeRoom(aNow);
    it = mEntries.try_emplace(aContent).first;
  }
  auto& entry = it->second;
  if (aNow >= entry.expires || aMassLoss) {
    entry.servers.clear();
  }
  if (std::find(entry.servers.begin(), entry.servers.end(), aServer) ==
        entry.servers.end() &&
      entry.servers.size() < kMaxServers) {
    entry.servers.push_back(aServer);
  }
  entry.lastCrash = aNow;
  entry.expires =
    std::max(entry.expires,
             aNow + (entry.servers.size() > 1 ? mOptions.quarantine
                                              : mOptions.suspicion));
  entry.changed = true;
}

void Quarantine::MakeRoom(TimePoint aNow)
{
  if (mEntries.size() < mOptions.maxEntries) {
    return;
  }
  Expire(aNow);
  if (mEntries.size() < mOptions.maxEntries) {
    return;
  }
  // A suspect gives way before a quarantined content, then the older one.
  const auto victim = std::min_element(
    mEntries.begin(),
    mEntries.end(),
    [](const auto& aLeft, const auto& aRight) {
      const auto rank = [](const Entry& aEntry) {
        return std::pair(aEntry.servers.size() > 1, aEntry.expires);
      };
      return rank(aLeft.second) < rank(aRight.second);
    });
  mEntries.erase(victim);
}

void Quarantine::NoteCrash(std::span<const Fingerprint> aContents,
                           const ServerId& aServer,
                           TimePoint aNow)
{
  const bool massLoss = MassLoss(aServer, aNow);
  for (const auto& it : aContents) {
    Record(it, aServer, massLoss, aNow);
  }
}

void Quarantine::NoteSuccess(const Fingerprint& aContent,
                             bool aWhole,
                             TimePoint aNow)
{
  const auto state = StateOf(aContent, aNow);
  if (state == ContentState::Quarantined ||
      (state == ContentState::Suspect && !aWhole)) {
    return;
  }
  mEntries.erase(aContent);
  auto& at = mSuccesses[aContent];
  if (at == TimePoint{} || aNow - at >= mOptions.successAge / kNoteParts) {
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

void Quarantine::ForgetSuccesses() noexcept
{
  mSuccesses.clear();
  mSuccessOrder.clear();
}

bool Quarantine::Merge(const QuarantineEntry& aEntry, TimePoint aNow)
{
  const Duration left =
    std::min<Duration>(aEntry.remaining, mOptions.quarantine);
  if (left <= Duration{} || aEntry.servers.empty()) {
    return false;
  }
  // Only fresh notices of one server count towards a mass loss: an entry of
  // several servers may be an old one that was renewed.
  const bool fresh = aEntry.servers.size() == 1 &&
                     left >= mOptions.suspicion - mOptions.massLossWindow;
  const bool massLoss = fresh && MassLoss(aEntry.servers.front(), aNow);

  const auto it = mEntries.find(aEntry.fingerprint);
  const bool known = it != mEntries.end() && aNow < it->second.expires;
  bool changed = false;
  for (const auto& server : aEntry.servers) {
    if (known && std::find(it->second.servers.begin(),
                           it->second.servers.end(),
                           server) != it->second.servers.end()) {
      continue;
    }
    if (known && it->second.servers.size() >= kMaxServers) {
      continue;
    }
    changed = true;
  }
  if (changed) {
    for (const auto& server : aEntry.servers) {
      Record(aEntry.fingerprint, server, massLoss, aNow);
    }
    auto& entry = mEntries.find(aEntry.fingerprint)->second;
    if (!known) {
      entry.expires = aNow + left;
    }
    return true;
  }
  auto& entry = it->second;
  if (aNow + left - entry.expires < mOptions.quarantine / 4) {
    return false;
  }
  Extend(entry,
         std::min(aNow + left, entry.lastCrash + mOptions.maxQuarantine));
  return true;
}

QuarantineEntry Quarantine::NoticeOf(const Fingerprint& aContent,
                                     const Entry& aEntry,
                                     TimePoint aNow)
{
  return { aContent,
           aEntry.servers,
           std::chrono::ceil<milliseconds>(aEntry.expires - aNow) };
}

std::vector<QuarantineEntry> Quarantine::TakeNotices(std::size_t aMax,
                                                     TimePoint aNow)
{
  std::vector<QuarantineEntry> notices;
  for (auto& [content, entry] : mEntries) {
    if (notices.size() >= aMax) {
      break;
    }
    if (!entry.changed || aNow >= entry.expires) {
      continue;
    }
    entry.changed = false;
    entry.noticed = entry.expires;
    notices.push_back(NoticeOf(content, entry, aNow));
  }
  return notices;
}

std::vector<QuarantineEntry> Quarantine::Entries(TimePoint aNow) const
{
  std::vector<QuarantineEntry> entries;
  for (const auto& [content, entry] : mEntries) {
    if (aNow < entry.expires) {
      entries.push_back(NoticeOf(content, entry, aNow));
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
         aNow - mSuccessOrder.front().at >= mOptions.successAge) {
    DropOldestSuccess();
  }
}

} // namespace bronzedeal::request
