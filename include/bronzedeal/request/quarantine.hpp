#pragma once

#include "bronzedeal/request/attempt.hpp"
#include "bronzedeal/types.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzedeal::request {

/// XXH3 128-bit hash of a request's kind and content, in canonical (big-endian)
/// byte order.
using Fingerprint = std::array<std::uint8_t, 16>;

/// Returns the fingerprint of a request. `aContent` is its canonical JSON text,
/// see `CanonicalJson`.
[[nodiscard]] Fingerprint FingerprintOf(std::string_view aKind,
                                        std::string_view aContent) noexcept;

/// What one instance tells its peers about a content.
struct QuarantineEntry
{
  Fingerprint fingerprint{};
  /// Distinct servers that crashed while the content was in flight.
  std::vector<ServerId> servers;
  /// Time until the entry expires.
  milliseconds remaining{};
};

/// Tracks the contents that were in flight on crashed servers, and the contents
/// that recently ran without a crash.
///
/// One crash makes a content suspect. Crashes of two different servers make it
/// quarantined for `quarantineDuration`, which each attempt renews. Three rules
/// limit the harm to contents that caused no crash: a success on all shards
/// clears a suspicion; when more than `maxIndependentCrashes` servers crash
/// within `correlatedCrashWindow` (the loss of a rack), the contents become
/// suspect only; and the renewal ends `maxQuarantineDuration` after the last
/// crash, when the content gets one more trial as a suspect.
/// Not thread safe: the caller synchronizes access.
class Quarantine
{
public:
  struct Options
  {
    /// How long a content stays suspect after a crash.
    Duration suspectDuration = std::chrono::seconds(60);
    /// How long a content stays quarantined after a crash or an attempt.
    Duration quarantineDuration = std::chrono::seconds(60);
    /// Longest quarantine after the last crash, renewals included.
    Duration maxQuarantineDuration = std::chrono::minutes(10);
    /// Crashes of more than `maxIndependentCrashes` servers within this window
    /// are attributed to the infrastructure and not to the contents.
    Duration correlatedCrashWindow = std::chrono::seconds(1);
    std::size_t maxIndependentCrashes = 3;
    /// Suspect and quarantined contents kept.
    std::size_t maxEntries = 4096;
    /// How long a success counts as recent.
    Duration successLifetime = std::chrono::minutes(5);
    /// Recent successes kept.
    std::size_t maxSuccesses = 65'536;
  };

  Quarantine();
  explicit Quarantine(const Options& aOptions);

  /// Returns the state of a content that is about to run. An attempt to run a
  /// quarantined content renews its quarantine.
  [[nodiscard]] ContentState CheckAndRenew(const Fingerprint& aContent,
                                           TimePoint aNow);

  /// Returns the state without renewing a quarantine.
  [[nodiscard]] ContentState StateOf(const Fingerprint& aContent,
                                     TimePoint aNow) const;

  /// Records that the connections of `aServer` broke while the contents were in
  /// flight.
  void RecordCrash(std::span<const Fingerprint> aContents,
                   const ServerId& aServer,
                   TimePoint aNow);

  /// Records a query or operation that ended without a lost server. Only one
  /// that ran on all of its shards (`aAllShardsRan`) clears a suspicion, since
  /// the shard that crashes may be a missing one. A quarantined content stays
  /// quarantined.
  void RecordSuccess(const Fingerprint& aContent,
                     bool aAllShardsRan,
                     TimePoint aNow);

  /// Removes all successes, after a change of the index version: a content that
  /// is safe on one version may crash servers on another.
  void ClearSuccesses() noexcept;

  /// Merges an entry of a peer. Returns true when it added a server or extended
  /// the entry.
  bool Merge(const QuarantineEntry& aEntry, TimePoint aNow);

  /// Returns at most `aMax` entries that have changed since peers were last
  /// told, and marks them as sent.
  [[nodiscard]] std::vector<QuarantineEntry> TakeChangedEntries(
    std::size_t aMax,
    TimePoint aNow);
  /// Returns all entries that have not expired, for a peer that has just
  /// joined.
  [[nodiscard]] std::vector<QuarantineEntry> Entries(TimePoint aNow) const;

  /// Removes expired entries and successes.
  void Expire(TimePoint aNow);

  /// Suspect and quarantined contents; expired ones count until `Expire`.
  [[nodiscard]] std::size_t size() const noexcept { return mEntries.size(); }
  [[nodiscard]] std::size_t SuccessCount() const noexcept
  {
    return mSuccesses.size();
  }

private:
  struct Entry
  {
    std::vector<ServerId> servers;
    TimePoint lastCrash{};
    TimePoint expires{};
    /// Expiry that peers were last told.
    TimePoint announcedExpiry{};
    bool hasUnsentChange = false;
  };
  struct Crash
  {
    ServerId server;
    TimePoint at;
  };
  struct Success
  {
    Fingerprint content;
    TimePoint at;
  };
  struct Hash
  {
    std::size_t operator()(const Fingerprint& aContent) const noexcept;
  };

  /// Records a crash of a server. Returns true when more than
  /// `maxIndependentCrashes` servers have crashed within the window. The crash
  /// that exceeds the limit also reduces the quarantined contents of the window
  /// to suspects.
  [[nodiscard]] bool RecordServerCrash(const ServerId& aServer, TimePoint aNow);
  void RecordContentCrash(const Fingerprint& aContent,
                          const ServerId& aServer,
                          bool aIsCorrelated,
                          TimePoint aNow);
  /// Removes one entry when the table is full.
  void EvictIfFull(TimePoint aNow);
  /// Moves the expiry forward. Peers are told when it has moved by a quarter of
  /// `quarantineDuration`.
  void ExtendExpiry(Entry& aEntry, TimePoint aUntil);
  void DropOldestSuccess();
  [[nodiscard]] static QuarantineEntry ExportEntry(const Fingerprint& aContent,
                                                   const Entry& aEntry,
                                                   TimePoint aNow);

  Options mOptions;
  std::unordered_map<Fingerprint, Entry, Hash> mEntries;
  std::deque<Crash> mRecentCrashes;
  /// Time of the last recorded success of each content.
  std::unordered_map<Fingerprint, TimePoint, Hash> mSuccesses;
  /// Recorded successes, oldest first; one that was recorded again later is
  /// stale.
  std::deque<Success> mSuccessOrder;
};

} // namespace bronzedeal::request
