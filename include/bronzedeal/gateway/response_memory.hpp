#pragma once

#include <cstddef>

namespace bronzedeal::gateway {

/// Bounds the bytes of the responses that one process is receiving at a time.
///
/// Load pattern: servers in trouble that send bytes without end, many of them
/// at once. The limit of one response falls as the memory fills (a dynamic
/// threshold, as in shared packet buffers), so that endless responses are cut
/// first. Small responses always pass; they are bounded by the number of
/// requests in progress.
///
///     ResponseMemory memory(20 << 20);
///     ResponseMemory::Charge charge(memory);
///     if (!charge.TryGrow(n)) { /* close the connection */ }
class ResponseMemory
{
public:
  /// `aLimitBytes` is the limit for all responses together.
  explicit ResponseMemory(std::size_t aLimitBytes) noexcept
    : mLimit(aLimitBytes)
  {
  }

  /// The bytes of one response.
  class Charge
  {
  public:
    explicit Charge(ResponseMemory& aMemory) noexcept
      : mMemory(aMemory)
    {
    }
    ~Charge() { Release(); }
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;

    /// Counts further bytes; false if the response is too large to be held.
    [[nodiscard]] bool TryGrow(std::size_t aBytes) noexcept;
    /// Call when the response is no longer held.
    void Release() noexcept;

  private:
    ResponseMemory& mMemory;
    std::size_t mBytes = 0;
  };

  /// Bytes of all responses together.
  [[nodiscard]] std::size_t UsedBytes() const noexcept { return mUsed; }

private:
  std::size_t mLimit;
  std::size_t mUsed = 0;
};

} // namespace bronzedeal::gateway
