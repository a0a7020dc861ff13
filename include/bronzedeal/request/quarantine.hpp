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

/// xxhash128 of kind and content, in canonical byte order.
using Fingerprint = std::array<std::uint8_t, 16>;

/// `aContent` is the canonical JSON text, see `CanonicalJson`.
[[nodiscard]] Fingerprint FingerprintOf(std::string_view aKind,
                                        std::string_view aContent) noexcept;

/// What one instance tells others about a content.
struct QuarantineEntry
{
  Fingerprint fingerprint{};
  /// Distinct servers that crashed with the content in flight.
  std::vector<ServerId> servers;
  /// Until the entry expires.
  milliseconds remaining{};
};

/// Contents that were in flight on crashed servers, and contents that ran
/// recently without a crash.
///
/// One crash makes a content suspect; crashes of two different servers make it
/// quarantined for 60 s, renewed by each attempt. Three rules limit the harm to
/// innocent contents: a whole success clears a suspectDuration; crashes of more
/// than `maxIndependentCrashes` servers within `correlatedCrashWindow` (a lost
/// rack) make contents suspect only; and renewal ends `maxQuarantineDuration`
/// after the last crash, when the content gets one more trial as a suspect. Not
/// thread safe: guarded by the caller.
class Quarantine
{
public:
  struct Options
  {
    Duration suspectDuration = std::chrono::seconds(60);
    Duration quarantineDuration = std::chrono::seconds(60);
    Duration maxQuarantineDuration = std::chrono::minutes(10);
    Duration correlatedCrashWindow = std::chrono::seconds(1);
    std::size_t maxIndependentCrashes = 3;
    std::size_t maxEntries = 4096;
    /// How long a success counts as recent.
    Duration successLifetime = std::chrono::minutes(5);
    std::size_t maxSuccesses = 65'536;
  };

  Quarantine();
  explicit Quarantine(const Options& aOptions);

  /// The state of a content that is about to run; an attempt on a quarantined
  /// content renews its quarantine.
  [[nodiscard]] ContentState CheckAndRenew(const Fingerprint& aContent,
                                           TimePoint aNow);

  /// The state without a renewal.
  [[nodiscard]] ContentState StateOf(const Fingerprint& aContent,
                                     TimePoint aNow) const;

  /// The connections of `aServer` broke with the contents in flight.
  void RecordCrash(std::span<const Fingerprint> aContents,
                   const ServerId& aServer,
                   TimePoint aNow);

  /// A query or operation ended without a lost server. Only one that ran on
  /// all of its shards (`aAllShardsRan`) clears a suspectDuration: the shard
  /// that crashes may be a missing one.
  void RecordSuccess(const Fingerprint& aContent,
                     bool aAllShardsRan,
                     TimePoint aNow);

  /// Forgets all successes, after a new index version: a content that is safe
  /// on one version may crash servers on another.
  void ClearSuccesses() noexcept;

  /// Adds what a peer knows. True when something was new.
  bool Merge(const QuarantineEntry& aEntry, TimePoint aNow);

  /// Entries hasUnsentChange since the last call, for peers; at most `aMax`.
  [[nodiscard]] std::vector<QuarantineEntry> TakeChangedEntries(
    std::size_t aMax,
    TimePoint aNow);
  /// All entries, for a peer that has just joined.
  [[nodiscard]] std::vector<QuarantineEntry> Entries(TimePoint aNow) const;

  /// Forgets expired entries and successes.
  void Expire(TimePoint aNow);

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
    /// Expiry that peers were told last.
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

  [[nodiscard]] bool IsCorrelatedCrash(const ServerId& aServer, TimePoint aNow);
  void RecordContentCrash(const Fingerprint& aContent,
                          const ServerId& aServer,
                          bool aIsCorrelated,
                          TimePoint aNow);
  void EvictIfFull(TimePoint aNow);
  void ExtendExpiry(Entry& aEntry, TimePoint aUntil);
  void DropOldestSuccess();
  [[nodiscard]] static QuarantineEntry ExportEntry(const Fingerprint& aContent,
                                                   const Entry& aEntry,
                                                   TimePoint aNow);

  Options mOptions;
  std::unordered_map<Fingerprint, Entry, Hash> mEntries;
  std::deque<Crash> mRecentCrashes;
  std::unordered_map<Fingerprint, TimePoint, Hash> mSuccesses;
  std::deque<Success> mSuccessOrder;
};

} // namespace bronzedeal::request
