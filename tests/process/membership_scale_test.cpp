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

// Simulates the membership of a whole fleet in virtual time. Messages take 2
// ms, and none are lost.
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
      mMembers.push_back(MakeMember(i, 1));
      mAdoptions.push_back({});
    }
  }

  // Advances the virtual time by `aFor`.
  void Run(Duration aFor)
  {
    const auto end = mNow + aFor;
    while (mNow < end) {
      mNow += milliseconds(1);
      while (!mInFlight.empty() && mInFlight.front().deliveryTime <= mNow) {
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
      // The ticks of the members are distributed over 50 ms.
      const auto phase =
        static_cast<std::size_t>(mNow.time_since_epoch() / milliseconds(1)) %
        50;
      for (auto i = phase; i < mMembers.size(); i += 50) {
        std::vector<OutgoingMessage> out;
        mMembers[i].Tick(mNow, out);
        AdoptVersion(i);
        Send(i, out);
      }
    }
  }

  // Gives one member a new version. The others adopt it 20 ms after they learn
  // of it and finish work under the former version 300 ms later.
  void PublishVersion(ConfigVersion aVersion)
  {
    mPublished = aVersion;
    mAdoptions[0].learnedAt = mNow;
  }

  void Restart(std::size_t aIndex)
  {
    mMembers[aIndex] =
      MakeMember(aIndex, mMembers[aIndex].Self().incarnation + (1U << 20));
    mAdoptions[aIndex] = {};
  }

  // For each member the time until its records of all members have the version,
  // sorted; without the members that take longer than `aLimit`.
  std::vector<milliseconds> TimesToLearnVersion(ConfigVersion aVersion,
                                                Duration aLimit)
  {
    const auto start = mNow;
    std::vector<milliseconds> times;
    std::vector<bool> done(mMembers.size());
    while (mNow - start < aLimit && times.size() < mMembers.size()) {
      Run(milliseconds(100));
      for (std::size_t i = 0; i < mMembers.size(); ++i) {
        if (!done[i] && KnowsVersionOfAll(i, aVersion)) {
          done[i] = true;
          times.push_back(
            std::chrono::duration_cast<milliseconds>(mNow - start));
        }
      }
    }
    return times;
  }

  bool KnowsVersionOfAll(std::size_t aIndex, ConfigVersion aVersion) const
  {
    const auto records = mMembers[aIndex].Records();
    return std::all_of(records.begin(), records.end(), [&](const auto& aIt) {
      return aIt.configVersion >= aVersion;
    });
  }

  /// Encoded bytes and number of messages of all members so far.
  std::uint64_t bytesSent = 0;
  std::uint64_t messagesSent = 0;

private:
  struct InFlight
  {
    TimePoint deliveryTime;
    std::size_t from;
    std::size_t to;
    Incarnation incarnation;
    Message body;
  };
  struct Adoption
  {
    std::optional<TimePoint> learnedAt;
    ConfigVersion version = 0;
    ConfigVersion formerVersion = 0;
    TimePoint adoptedAt;
  };

  Membership MakeMember(std::size_t aIndex, Incarnation aIncarnation)
  {
    // As in production, the upper bits hold Unix milliseconds, here of 2026.
    Membership member(
      mRoster[aIndex],
      std::max<Incarnation>(aIncarnation, 1796400000000ULL << 20));
    member.SetRoster(1, mRoster, mNow);
    return member;
  }

  void AdoptVersion(std::size_t aIndex)
  {
    auto& it = mAdoptions[aIndex];
    auto& member = mMembers[aIndex];
    if (it.version < mPublished && !it.learnedAt) {
      const auto records = member.Records();
      if (std::any_of(records.begin(), records.end(), [&](const auto& aIt) {
            return aIt.configVersion == mPublished;
          })) {
        it.learnedAt = mNow;
      }
    }
    if (it.learnedAt && mNow - *it.learnedAt >= milliseconds(20)) {
      it.learnedAt.reset();
      it.formerVersion = it.version;
      it.version = mPublished;
      it.adoptedAt = mNow;
    }
    if (it.formerVersion != 0 && mNow - it.adoptedAt >= milliseconds(300)) {
      it.formerVersion = 0;
    }
    ConfigHash hash{};
    hash[0] = 1;
    member.UpdateSelf({ it.version,
                        hash,
                        false,
                        false,
                        { { fmt::format("fd-{}", aIndex % 6),
                            static_cast<std::uint32_t>(aIndex / 6) } },
                        it.formerVersion });
  }

  void Send(std::size_t aFrom, std::vector<OutgoingMessage>& aOut)
  {
    for (auto& it : aOut) {
      bytesSent += EncodedSize(it.body);
      ++messagesSent;
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
  std::vector<Adoption> mAdoptions;
  std::deque<InFlight> mInFlight;
  ConfigVersion mPublished = 0;
};

// Guards against gossip that exceeds its share of a member's bandwidth, and
// against records that spread too slowly (docs/design.md, 3 and 4.5). The
// bounds are those for 820 members. The cost of the test grows with the square
// of the fleet size, so CI runs it with 400 members (5 s);
// BRONZEDEAL_FLEET_SIZE=820 takes 25 s.
TEST(MembershipScale, LargeFleetIsWithinBandwidthAndTimeLimits)
{
  const char* fleetSize = std::getenv("BRONZEDEAL_FLEET_SIZE");
  const auto size = fleetSize == nullptr ? 400 : std::stoul(fleetSize);
  Fleet fleet(size);
  // All members start at the same time, and their records must settle first.
  fleet.PublishVersion(1000);
  fleet.Run(std::chrono::seconds(14));
  fleet.bytesSent = 0;
  fleet.messagesSent = 0;
  fleet.PublishVersion(1001);
  const auto times = fleet.TimesToLearnVersion(1001, std::chrono::seconds(20));
  ASSERT_EQ(times.size(), size);
  fleet.Restart(size / 2);
  fleet.Run(std::chrono::seconds(21) - times.back());
  const auto perMember = 21.0 * static_cast<double>(size);
  const auto rate = static_cast<double>(fleet.bytesSent) / perMember / 1000;
  std::cout << fmt::format(
    "{} members: {:.2f} KB/s sent per member, {:.1f} messages/s; all records "
    "known after {} ms (median), {} ms (99%), {} ms (all)\n",
    size,
    rate,
    static_cast<double>(fleet.messagesSent) / perMember,
    times[size / 2].count(),
    times[size * 99 / 100].count(),
    times.back().count());
  EXPECT_LE(rate, 12.0);
  EXPECT_LE(times.back(), milliseconds(3000));
}

// Guards against records that spread too slowly in a small fleet.
TEST(MembershipScale, NineMembersLearnAVersionWithinOneSecond)
{
  Fleet fleet(9);
  fleet.Run(std::chrono::seconds(3));
  fleet.PublishVersion(1000);
  fleet.Run(std::chrono::seconds(3));
  fleet.bytesSent = 0;
  fleet.PublishVersion(1001);
  const auto times = fleet.TimesToLearnVersion(1001, std::chrono::seconds(5));
  ASSERT_EQ(times.size(), 9U);
  std::cout << fmt::format("9 members: all records known after {} ms\n",
                           times.back().count());
  EXPECT_LE(times.back(), milliseconds(1000));
}

} // namespace
} // namespace bronzedeal::process
