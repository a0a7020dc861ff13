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
/// innocent contents: a whole success clears a suspicion; crashes of more than
/// `massLossServers` servers within `massLossWindow` (a lost rack) make
/// contents suspect only; and renewal ends `maxQuarantine` after the last
/// crash, when the content gets one more trial as a suspect.
/// Not thread safe: guarded by the caller.
class Quarantine
{
public:
  struct Options
  {
    Duration suspicion = std::chrono::seconds(60);
    Duration quarantine = std::chrono::seconds(60);
    Duration maxQuarantine = std::chrono::minutes(10);
    Duration massLossWindow = std::chrono::seconds(1);
    std::size_t massLossServers = 3;
    std::size_t maxEntries = 4096;
    /// How long a success counts as recent.
    Duration successAge = std::chrono::minutes(5);
    std::size_t maxSuccesses = 65'536;
  };

  Quarantine();
  explicit Quarantine(const Options& aOptions);

  /// The state of a content that is about to run; an attempt on a quarantined
  /// content renews its quarantine.
  [[nodiscard]] ContentState Admit(const Fingerprint& aContent, TimePoint aNow);

  /// The state without a renewal.
  [[nodiscard]] ContentState StateOf(const Fingerprint& aContent,
                                     TimePoint aNow) const;

  /// The connections of `aServer` broke with the contents in flight.
  void NoteCrash(std::span<const Fingerprint> aContents,
                 const ServerId& aServer,
                 TimePoint aNow);

  /// A query or operation ended without a lost server. Only one that ran on
  /// all of its shards (`aWhole`) clears a suspicion: the shard that crashes
  /// may be a missing one.
  void NoteSuccess(const Fingerprint& aContent, bool aWhole, TimePoint aNow);

  /// Forgets all successes, after a new index version: a content that is safe
  /// on one version may crash servers on another.
  void ForgetSuccesses() noexcept;

  /// Adds what a peer knows. True when something was new.
  bool Merge(const QuarantineEntry& aEntry, TimePoint aNow);

  /// Entries changed since the last call, for peers; at most `aMax`.
  [[nodiscard]] std::vector<QuarantineEntry> TakeNotices(std::size_t aMax,
                                                         TimePoint aNow);
  /// All entries, for a peer that has just joined.
  [[nodiscard]] std::vector<QuarantineEntry> Entries(TimePoint aNow) const;

  /// Forgets expired entries and successes.
  void Expire(TimePoint aNow);

  [[nodiscard]] std::size_t size() const noexcept { return mEntries.size(); }
  [[nodiscard]] std::size_t Successes() const noexcept
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
    TimePoint noticed{};
    bool changed = false;
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

  [[nodiscard]] bool MassLoss(const ServerId& aServer, TimePoint aNow);
  void Record(const Fingerprint& aContent,
              const ServerId& aServer,
              bool aMassLoss,
              TimePoint aNow);
  void MakeRoom(TimePoint aNow);
  void Extend(Entry& aEntry, TimePoint aUntil);
  void DropOldestSuccess();
  [[nodiscard]] static QuarantineEntry NoticeOf(const Fingerprint& aContent,
                                                const Entry& aEntry,
                                                TimePoint aNow);

  Options mOptions;
  std::unordered_map<Fingerprint, Entry, Hash> mEntries;
  std::deque<Crash> mCrashes;
  std::unordered_map<Fingerprint, TimePoint, Hash> mSuccesses;
  std::deque<Success> mSuccessOrder;
};

} // namespace bronzedeal::request
