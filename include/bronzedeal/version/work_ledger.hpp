#pragma once

#include "bronzedeal/types.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::version {

enum class WorkKind : std::uint8_t
{
  Admitted,    ///< accepted from a caller, not yet sent anywhere
  Queued,      ///< waits at the owner
  InFlight,    ///< sent to a backend server
  Hedged,      ///< further attempt, sent to a backend server
  Forwarded,   ///< sent to the owner
  Unconfirmed, ///< cancelled; the server has not confirmed the end
};

inline constexpr std::size_t kWorkKindCount = 6;

/// The name of a kind in JSON and metrics, such as `in_flight`.
[[nodiscard]] std::string_view ToString(WorkKind aKind) noexcept;

/// Unfinished work of one kind under one version, selector and failure domain.
struct WorkCount
{
  ConfigVersion version = 0;
  std::string selector;
  FailureDomain failureDomain;
  WorkKind kind = WorkKind::Admitted;
  std::uint64_t count = 0;

  bool operator==(const WorkCount&) const = default;
};

/// Counts unfinished work. Thread safe.
///
/// A reader that proves the end of former work stores the newer snapshot first
/// and calls `CountsBelow` next. Senders call `Begin` first, check the snapshot
/// in force next and send last. A sender then either is in the counts or sees
/// the newer version.
class WorkLedger
{
  struct Cell;

public:
  /// Ends one count when destroyed. Movable; must not outlive the ledger. One
  /// token is used by one thread at a time.
  class [[nodiscard]] Token
  {
  public:
    Token() = default;
    Token(Token&& aOther) noexcept;
    Token& operator=(Token&& aOther) noexcept;
    Token(const Token&) = delete;
    Token& operator=(const Token&) = delete;
    ~Token();

    /// Moves the count to another kind; at no moment is the work uncounted. No
    /// effect on an empty token.
    void Change(WorkKind aKind) noexcept;
    /// Ends the count early; the token is then empty.
    void End() noexcept;

    [[nodiscard]] explicit operator bool() const noexcept
    {
      return mCell != nullptr;
    }
    [[nodiscard]] WorkKind Kind() const noexcept { return mKind; }

  private:
    friend class WorkLedger;
    Token(Cell* aCell, WorkKind aKind) noexcept;

    Cell* mCell = nullptr;
    WorkKind mKind = WorkKind::Admitted;
  };

  WorkLedger();
  ~WorkLedger();
  WorkLedger(const WorkLedger&) = delete;
  WorkLedger& operator=(const WorkLedger&) = delete;

  Token Begin(ConfigVersion aVersion,
              std::string_view aSelector,
              std::string_view aDomain,
              WorkKind aKind);

  /// All counts above zero under versions below `aVersion`, sorted by version,
  /// selector, failure domain and kind. Every token that exists during the
  /// whole call is counted; the split by kind may lag behind concurrent
  /// changes.
  [[nodiscard]] std::vector<WorkCount> CountsBelow(
    ConfigVersion aVersion) const;
  /// All counts above zero.
  [[nodiscard]] std::vector<WorkCount> Counts() const;
  /// The lowest version with unfinished work.
  [[nodiscard]] std::optional<ConfigVersion> OldestVersion() const;
  /// Number of live tokens.
  [[nodiscard]] std::uint64_t Total() const;

private:
  struct Table;
  std::unique_ptr<Table> mTable;
};

} // namespace bronzedeal::version
