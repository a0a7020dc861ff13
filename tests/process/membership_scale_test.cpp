#include "bronzedeal/process/membership.hpp"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <iostream>
#include <optional>

namespace bronzedeal::process {
namespace {

// The membership of a whole fleet in virtual time, with messages that take 2 ms
// and no loss.
class Fleet
{
public:
  explicit Fleet(std::size_t aSize)
  {
    for (std::size_t i = 0; i < aSize; ++i) {
      mRoster.push_back({ fmt::format("entry-{:03}", i),
                          "",
                          "",
                          fmt::format("fd-{}", i % 6),
                          "r1",
                          false });
    }
    for (std::size_t i = 0; i < aSize; ++i) {
      mMembers.push_back(Make(i, 1));
      mVersions.push_back({});
    }
  }

  // Runs for a while; `bytes` counts what each member sends.
  void Run(Duration aFor)
  {
    const auto end = mNow + aFor;
    while (mNow < end) {
      mNow += milliseconds(1);
      while (!mInFlight.empty() && mInFlight.front().at <= mNow) {
        const auto it = std::move(mInFlight.front());
        mInFlight.pop_front();
        std::vector<OutgoingMessage> out;
        mMembers[it.to].Receive(mRoster[it.from].id,
                                it.incarnation,
                                std::get<GossipMessage>(it.body),
                                mNow,
                                out);
        Send(it.to, out);
      }
      // Ticks of the members are spread over 50 ms.
      const auto phase =
        static_cast<std::size_t>(mNow.time_since_epoch() / milliseconds(1)) %
        50;
      for (auto i = phase; i < mMembers.size(); i += 50) {
        std::vector<OutgoingMessage> out;
        mMembers[i].Tick(mNow, out);
        Adopt(i);
        Send(i, out);
      }
    }
  }

  // One member has a new version; the others take it over 20 ms after they
  // hear of it and finish former work 300 ms later.
  void Publish(ConfigVersion aVersion)
  {
    mPublished = aVersion;
    mVersions[0].heard = mNow;
  }

  void Restart(std::size_t aIndex)
  {
    mMembers[aIndex] =
      Make(aIndex, mMembers[aIndex].Self().incarnation + (1U << 20));
    mVersions[aIndex] = {};
  }

  // Times until a member's records of all others have the version, sorted.
  std::vector<milliseconds> TimesToLearn(ConfigVersion aVersion,
                                         Duration aLimit)
  {
    const auto start = mNow;
    std::vector<milliseconds> times;
    std::vector<bool> done(mMembers.size());
    while (mNow - start < aLimit && times.size() < mMembers.size()) {
      Run(milliseconds(100));
      for (std::size_t i = 0; i < mMembers.size(); ++i) {
        if (!done[i] && Knows(i, aVersion)) {
          done[i] = true;
          times.push_back(
            std::chrono::duration_cast<milliseconds>(mNow - start));
        }
      }
    }
    return times;
  }

  bool Knows(std::size_t aIndex, ConfigVersion aVersion) const
  {
    const auto records = mMembers[aIndex].Records();
    return std::all_of(records.begin(), records.end(), [&](const auto& aIt) {
      return aIt.configVersion >= aVersion;
    });
  }

  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;

private:
  struct InFlight
  {
    TimePoint at;
    std::size_t from;
    std::size_t to;
    Incarnation incarnation;
    Message body;
  };
  struct Adoption
  {
    std::optional<TimePoint> heard;
    ConfigVersion version = 0;
    ConfigVersion former = 0;
    TimePoint since;
  };

  Membership Make(std::size_t aIndex, Incarnation aIncarnation)
  {
    // Unix milliseconds of 2026 in the upper bits, as in production.
    Membership member(
      mRoster[aIndex],
      std::max<Incarnation>(aIncarnation, 1796400000000ULL << 20));
    member.SetRoster(1, mRoster, mNow);
    return member;
  }

  void Adopt(std::size_t aIndex)
  {
    auto& it = mVersions[aIndex];
    auto& member = mMembers[aIndex];
    if (it.version < mPublished && !it.heard) {
      const auto records = member.Records();
      if (std::any_of(records.begin(), records.end(), [&](const auto& aIt) {
            return aIt.configVersion == mPublished;
          })) {
        it.heard = mNow;
      }
    }
    if (it.heard && mNow - *it.heard >= milliseconds(20)) {
      it.heard.reset();
      it.former = it.version;
      it.version = mPublished;
      it.since = mNow;
    }
    if (it.former != 0 && mNow - it.since >= milliseconds(300)) {
      it.former = 0;
    }
    ConfigHash hash{};
    hash[0] = 1;
    member.UpdateSelf({ it.version,
                        hash,
                        false,
                        false,
                        { { fmt::format("fd-{}", aIndex % 6),
                            static_cast<std::uint32_t>(aIndex / 6) } },
                        it.former });
  }

  void Send(std::size_t aFrom, std::vector<OutgoingMessage>& aOut)
  {
    for (auto& it : aOut) {
      bytes += EncodedSize(it.body);
      ++messages;
      const auto to = std::stoul(it.to.substr(6));
      mInFlight.push_back({ mNow + milliseconds(2),
                            aFrom,
                            to,
                            mMembers[aFrom].Self().incarnation,
                            std::move(it.body) });
    }
  }

  TimePoint mNow{};
  std::vector<RosterEntry> mRoster;
  std::vector<Membership> mMembers;
  std::vector<Adoption> mVersions;
  std::deque<InFlight> mInFlight;
  ConfigVersion mPublished = 0;
};

// Guards against gossip that outgrows its share of a member's bandwidth, and
// against records that spread too slowly (design page, 3 and 4.5). The bounds
// are those of 820 members. Members and records grow with the square of the
// size, so that CI runs 400 (5 s); BRONZEDEAL_FLEET_SIZE=820 takes 25 s.
TEST(MembershipScale, BandwidthAndSpeed)
{
  const char* text = std::getenv("BRONZEDEAL_FLEET_SIZE");
  const auto size = text == nullptr ? 400 : std::stoul(text);
  Fleet fleet(size);
  // All start at once, which takes a while to settle.
  fleet.Publish(1000);
  fleet.Run(std::chrono::seconds(14));
  fleet.bytes = 0;
  fleet.messages = 0;
  fleet.Publish(1001);
  const auto times = fleet.TimesToLearn(1001, std::chrono::seconds(20));
  ASSERT_EQ(times.size(), size);
  fleet.Restart(size / 2);
  fleet.Run(std::chrono::seconds(21) - times.back());
  const auto perMember = 21.0 * static_cast<double>(size);
  const auto rate = static_cast<double>(fleet.bytes) / perMember / 1000;
  std::cout << fmt::format(
    "{} members: {:.2f} KB/s sent per member, {:.1f} messages/s; all records "
    "known after {} ms (median), {} ms (99%), {} ms (all)\n",
    size,
    rate,
    static_cast<double>(fleet.messages) / perMember,
    times[size / 2].count(),
    times[size * 99 / 100].count(),
    times.back().count());
  EXPECT_LE(rate, 12.0);
  EXPECT_LE(times.back(), milliseconds(3000));
}

// Guards against a slow spread in a small fleet.
TEST(MembershipScale, SpeedAt9)
{
  Fleet fleet(9);
  fleet.Run(std::chrono::seconds(3));
  fleet.Publish(1000);
  fleet.Run(std::chrono::seconds(3));
  fleet.bytes = 0;
  fleet.Publish(1001);
  const auto times = fleet.TimesToLearn(1001, std::chrono::seconds(5));
  ASSERT_EQ(times.size(), 9U);
  std::cout << fmt::format("9 members: all records known after {} ms\n",
                           times.back().count());
  EXPECT_LE(times.back(), milliseconds(1000));
}

} // namespace
} // namespace bronzedeal::process
