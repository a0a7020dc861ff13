#pragma once

#include <cstddef>
#include <cstdint>

namespace bronzedeal::gateway {

/// Counts and numbers the connections that one process has opened to others,
/// and says whether it should open more.
///
///     ConnectionCount count(1024);
///     const ConnectionCount::Holder holder(count); // for each connection
class ConnectionCount
{
public:
  explicit ConnectionCount(std::size_t aLimit) noexcept
    : mLimit(aLimit)
  {
  }

  /// Counts one connection as long as it exists.
  class Holder
  {
  public:
    explicit Holder(ConnectionCount& aCount) noexcept
      : mCount(aCount)
      , mNumber(++aCount.mLastNumber)
    {
      ++mCount.mOpen;
    }
    ~Holder() { --mCount.mOpen; }
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;

    /// Tells the connections of the process apart; rises from 1.
    [[nodiscard]] std::uint64_t Number() const noexcept { return mNumber; }

  private:
    ConnectionCount& mCount;
    std::uint64_t mNumber;
  };

  [[nodiscard]] bool HasRoom() const noexcept { return mOpen < mLimit; }

private:
  std::size_t mLimit;
  std::size_t mOpen = 0;
  std::uint64_t mLastNumber = 0;
};

} // namespace bronzedeal::gateway
