#include "bronzedeal/version/work_ledger.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <tuple>
#include <utility>

namespace bronzedeal::version {

namespace {

constexpr std::array<std::string_view, kWorkKindCount> kKindNames = {
  "admitted", "queued", "in_flight", "hedged", "forwarded", "unconfirmed"
};

/// The key of a cell; `T` is `std::string`, or `std::string_view` for look-ups.
template<typename T>
struct CellKey
{
  ConfigVersion version;
  T selector;
  T domain;
};

struct CellKeyLess
{
  using is_transparent = void;

  template<typename T, typename U>
  bool operator()(const CellKey<T>& aLeft,
                  const CellKey<U>& aRight) const noexcept
  {
    const auto tie = [](const auto& aKey) {
      return std::tuple<ConfigVersion, std::string_view, std::string_view>(
        aKey.version, aKey.selector, aKey.domain);
    };
    return tie(aLeft) < tie(aRight);
  }
};

} // namespace

std::string_view ToString(WorkKind aKind) noexcept
{
  return kKindNames[static_cast<std::size_t>(aKind)];
}

struct WorkLedger::Cell
{
  /// Number of tokens. It does not change when a token changes its kind, which
  /// makes it exact at any moment, unlike the sum over the kinds.
  std::atomic<std::uint64_t> total{ 0 };
  std::array<std::atomic<std::uint64_t>, kWorkKindCount> kinds{};

  std::atomic<std::uint64_t>& Of(WorkKind aKind) noexcept
  {
    return kinds[static_cast<std::size_t>(aKind)];
  }
};

struct WorkLedger::Table
{
  /// Held shared by `Begin` and readers, exclusively to add and remove cells. A
  /// cell is removed only at a total of zero, so tokens need no lock.
  mutable std::shared_mutex mutex;
  std::map<CellKey<std::string>, Cell, CellKeyLess> cells;

  /// Removes empty cells below a version, so that the number of cells depends
  /// on unfinished work and not on the number of versions seen.
  void RemoveEmptyBelow(ConfigVersion aVersion)
  {
    for (auto it = cells.begin();
         it != cells.end() && it->first.version < aVersion;) {
      it = it->second.total.load() == 0 ? cells.erase(it) : std::next(it);
    }
  }
};

WorkLedger::Token::Token(Cell* aCell, WorkKind aKind) noexcept
  : mCell(aCell)
  , mKind(aKind)
{
}

WorkLedger::Token::Token(Token&& aOther) noexcept
  : mCell(std::exchange(aOther.mCell, nullptr))
  , mKind(aOther.mKind)
{
}

WorkLedger::Token& WorkLedger::Token::operator=(Token&& aOther) noexcept
{
  if (this != &aOther) {
    End();
    mCell = std::exchange(aOther.mCell, nullptr);
    mKind = aOther.mKind;
  }
  return *this;
}

WorkLedger::Token::~Token()
{
  End();
}

void WorkLedger::Token::Change(WorkKind aKind) noexcept
{
  if (mCell != nullptr && aKind != mKind) {
    mCell->Of(aKind).fetch_add(1);
    mCell->Of(mKind).fetch_sub(1);
    mKind = aKind;
  }
}

void WorkLedger::Token::End() noexcept
{
  if (mCell != nullptr) {
    auto* cell = std::exchange(mCell, nullptr);
    cell->Of(mKind).fetch_sub(1);
    // Last access: the cell may be removed as soon as the total is zero.
    cell->total.fetch_sub(1);
  }
}

WorkLedger::WorkLedger()
  : mTable(std::make_unique<Table>())
{
}

WorkLedger::~WorkLedger() = default;

WorkLedger::Token WorkLedger::Begin(ConfigVersion aVersion,
                                    std::string_view aSelector,
                                    std::string_view aDomain,
                                    WorkKind aKind)
{
  const auto count = [aKind](Cell& aCell) {
    aCell.total.fetch_add(1);
    aCell.Of(aKind).fetch_add(1);
    return Token(&aCell, aKind);
  };
  const CellKey<std::string_view> key{ aVersion, aSelector, aDomain };
  {
    const std::shared_lock lock(mTable->mutex);
    const auto it = mTable->cells.find(key);
    if (it != mTable->cells.end()) {
      return count(it->second);
    }
  }
  const std::unique_lock lock(mTable->mutex);
  auto it = mTable->cells.find(key);
  if (it == mTable->cells.end()) {
    mTable->RemoveEmptyBelow(aVersion);
    it = mTable->cells
           .try_emplace(CellKey<std::string>{
             aVersion, std::string(aSelector), std::string(aDomain) })
           .first;
  }
  return count(it->second);
}

std::vector<WorkCount> WorkLedger::CountsBelow(ConfigVersion aVersion) const
{
  std::vector<WorkCount> result;
  const std::shared_lock lock(mTable->mutex);
  for (const auto& [key, cell] : mTable->cells) {
    if (key.version >= aVersion) {
      break;
    }
    const auto total = cell.total.load();
    std::array<std::uint64_t, kWorkKindCount> kinds{};
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < kWorkKindCount; ++n) {
      kinds[n] = cell.kinds[n].load();
      sum += kinds[n];
    }
    // A token that changed its kind between the loads is missing from the sum;
    // it is counted under the first kind, so that no work is left out.
    if (sum < total) {
      kinds[0] += total - sum;
    }
    for (std::size_t n = 0; n < kWorkKindCount; ++n) {
      if (kinds[n] > 0) {
        result.push_back({ key.version,
                           key.selector,
                           key.domain,
                           static_cast<WorkKind>(n),
                           kinds[n] });
      }
    }
  }
  return result;
}

std::vector<WorkCount> WorkLedger::Counts() const
{
  // No document has the greatest number as its version.
  return CountsBelow(static_cast<ConfigVersion>(-1));
}

std::optional<ConfigVersion> WorkLedger::OldestVersion() const
{
  const std::shared_lock lock(mTable->mutex);
  for (const auto& [key, cell] : mTable->cells) {
    if (cell.total.load() > 0) {
      return key.version;
    }
  }
  return std::nullopt;
}

std::uint64_t WorkLedger::Total() const
{
  const std::shared_lock lock(mTable->mutex);
  std::uint64_t result = 0;
  for (const auto& it : mTable->cells) {
    result += it.second.total.load();
  }
  return result;
}

} // namespace bronzedeal::version
