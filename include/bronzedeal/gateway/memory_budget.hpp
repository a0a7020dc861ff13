#pragma once

#include <cstddef>

namespace bronzedeal::gateway {

/// Bounds the bytes that messages of one kind hold together.
///
/// Load pattern: peers that send bytes without end, many of them at once. The
/// limit of one message falls as the memory fills (a dynamic threshold, as in
/// shared packet buffers), so that the greatest messages are cut first. Small
/// messages always pass; they are bounded by the number of connections.
///
///     MemoryBudget memory({ .totalBytes = 20 << 20, .smallBytes = 8192 });
///     MemoryBudget::Charge charge(memory);
///     if (!charge.TryGrow(n)) { /* close the connection */ }
class MemoryBudget
{
public:
  struct Limits
  {
    /// Limit for all messages together.
    std::size_t totalBytes = 0;
    /// A message of this size is accepted whatever the others hold.
    std::size_t smallBytes = 65'536;
    /// One message may hold the free memory divided by this.
    std::size_t freeDivisor = 4;
  };

  explicit MemoryBudget(const Limits& aLimits) noexcept
    : mLimits(aLimits)
  {
  }

  /// The bytes of one message.
  class Charge
  {
  public:
    explicit Charge(MemoryBudget& aMemory) noexcept
      : mMemory(aMemory)
    {
    }
    ~Charge() { Release(); }
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;

    /// Counts further bytes; false if the message is too large to be held.
    [[nodiscard]] bool TryGrow(std::size_t aBytes) noexcept;
    /// Sets the bytes of the message; false if it has grown and is too large to
    /// be held.
    [[nodiscard]] bool TryResize(std::size_t aBytes) noexcept;
    /// Call when the message is no longer held.
    void Release() noexcept;

  private:
    MemoryBudget& mMemory;
    std::size_t mBytes = 0;
  };

  /// Bytes of all messages together.
  [[nodiscard]] std::size_t UsedBytes() const noexcept { return mUsed; }

private:
  Limits mLimits;
  std::size_t mUsed = 0;
};

} // namespace bronzedeal::gateway
