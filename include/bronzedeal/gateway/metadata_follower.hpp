#pragma once

#include "bronzedeal/gateway/gateway.hpp"
#include "bronzedeal/gateway/metadata_source.hpp"

#include <memory>
#include <random>
#include <set>
#include <string>

namespace bronzedeal::gateway {

/// Keeps the registry and the configuration in step with one topic of the
/// metadata service: lists all entries, then watches the changes.
class MetadataFollower
{
public:
  MetadataFollower(Process& aProcess,
                   Gateway& aGateway,
                   ServerRegistry& aServers,
                   MetadataSource& aSource,
                   MetadataTopic aTopic);

  void Start();
  void Stop();

  /// True while the service doesn't answer.
  [[nodiscard]] bool IsDisconnected() const noexcept { return mDisconnected; }

  /// When the service, or an instance that reads it, last answered.
  [[nodiscard]] TimePoint LastContactTime() const noexcept
  {
    return mLastContactTime;
  }
  /// True once a whole list has been taken.
  [[nodiscard]] bool IsSynchronized() const noexcept { return mSynchronized; }

private:
  /// Servers and domains that a list has named so far.
  struct Listing
  {
    std::string page;
    std::uint64_t revision = 0;
    std::set<ServerId> servers;
    std::set<FailureDomain> domains;
  };

  void ListPage();
  /// Counts the calls that reached the service.
  void CountRead(const MetadataReply& aReply);
  void OnListed(MetadataReply aReply);
  void FinishList();
  void Watch();
  void OnWatched(MetadataReply aReply);
  void Apply(RevisionedChange& aChange);
  void ForgetServer(const ServerId& aServer, std::string_view aReason);
  void RemoveLapsed();
  void OnFailure(const MetadataReply& aReply);
  void OnContact();
  void After(Duration aDelay, void (MetadataFollower::*aStep)());
  [[nodiscard]] milliseconds Wait() const;
  [[nodiscard]] Duration Pace(bool aRelayed, bool aGrowing) const;

  Process& mProcess;
  Gateway& mGateway;
  ServerRegistry& mServers;
  MetadataSource& mSource;
  MetadataTopic mTopic;
  std::shared_ptr<bool> mRunning = std::make_shared<bool>(false);
  std::minstd_rand mRandom;
  Listing mListing;
  std::uint64_t mRevision = 0;
  bool mSynchronized = false;
  Duration mBackoff{};
  bool mDisconnected = false;
  TimePoint mDisconnectedSince{};
  TimePoint mLastContactTime{};
  /// Until when entries that vanished may come back (see kLapseGrace).
  TimePoint mLapseUntil{};
  std::set<ServerId> mLapsed;
  /// Until when servers are expected to register again.
  TimePoint mGrowthUntil{};
};

} // namespace bronzedeal::gateway
