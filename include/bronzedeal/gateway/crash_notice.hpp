#pragma once

#include "bronzedeal/gateway/content_id.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::gateway {

/// Ages above this are given as this.
inline constexpr std::chrono::microseconds kMaxNoticeAge =
  std::chrono::hours(24);

/// What one instance tells others about a content. Times are given as ages, so
/// that clocks needn't agree.
struct CrashNotice
{
  struct Run
  {
    std::uint32_t server = 0;
    std::chrono::microseconds sentAge{ 0 };
    std::chrono::microseconds endedAge{ 0 };
  };
  ContentId content{};
  /// Runs that ended together with their servers.
  std::vector<Run> runs;
  /// Runs without an answer whose servers have perhaps ended.
  std::vector<Run> unprovenRuns;
  /// Age of the latest answer of a server to this content, if one is known.
  std::optional<std::chrono::microseconds> answeredAge;
  /// Age of the loss of several attempts of one request. Told only with a
  /// request that is handed over.
  std::optional<std::chrono::microseconds> unansweredAge;
  /// Longest time that a trial of the sender will still take; 0 if its trial
  /// has ended.
  std::optional<std::chrono::microseconds> trialTime;
};

/// The JSON text of a datagram with notices.
[[nodiscard]] std::string EncodeCrashNotices(
  const std::vector<CrashNotice>& aNotices);

/// The notices of a datagram; nothing if it holds something else.
[[nodiscard]] std::optional<std::vector<CrashNotice>> DecodeCrashNotices(
  std::string_view aText);

} // namespace bronzedeal::gateway
