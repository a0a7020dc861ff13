#pragma once

#include "bronzedeal/gateway/metadata_source.hpp"
#include "bronzedeal/gateway/peer_table.hpp"
#include "bronzedeal/gateway/process.hpp"
#include "bronzedeal/gateway/relay_message.hpp"
#include "bronzedeal/gateway/server_connection.hpp"

#include <map>
#include <memory>
#include <optional>

namespace bronzedeal::gateway {

/// One topic, read from the metadata service or from another instance of the
/// own failure domain that reads it. One call at a time.
class RelayedSource : public MetadataSource
{
public:
  RelayedSource(Process& aProcess,
                MetadataSource& aService,
                MetadataTopic aTopic);
  ~RelayedSource() override;

  /// The instances that may be read from. `aReads`: this instance should read
  /// the service itself. Where neither holds, a list waits for a relay for a
  /// while after the start, then reads the service.
  void SetRelays(const std::vector<PeerState>& aRelays, bool aReadsService);

  /// Whether the service itself is read.
  [[nodiscard]] bool IsDirect() const noexcept { return !mCurrent; }

  void List(MetadataTopic aTopic,
            const std::string& aPage,
            Duration aTimeout,
            Handler aHandler) override;
  void Watch(MetadataTopic aTopic,
             std::uint64_t aRevision,
             milliseconds aWait,
             Duration aTimeout,
             Handler aHandler) override;

private:
  struct Call;

  [[nodiscard]] bool ShouldWait(TimePoint aNow) const;
  [[nodiscard]] std::optional<InstanceId> Choose(TimePoint aNow);
  void SwitchTo(std::optional<InstanceId> aRelay);
  void Ask(const RelayQuery& aQuery, Duration aTimeout, Handler aHandler);
  void Send(const std::shared_ptr<Call>& aCall);
  /// The reply's changes, which the follower takes as those of the service.
  [[nodiscard]] MetadataReply ToReply(RelayReply aReply);
  void OnResponse(const std::shared_ptr<Call>& aCall,
                  const ResponseMessage& aResponse);
  void Fail(const std::shared_ptr<Call>& aCall, std::string_view aReason);

  Process& mProcess;
  MetadataSource& mService;
  MetadataTopic mTopic;
  std::map<InstanceId, PeerState> mRelays;
  bool mReadsService = true;
  TimePoint mStarted = std::chrono::steady_clock::now();
  std::map<InstanceId, TimePoint> mSuspendedUntil;
  /// Absent while the service itself is read.
  std::optional<InstanceId> mCurrent;
  Incarnation mEpoch = 0;
  /// The last configuration that the current source has sent.
  ConfigVersion mVersion = 0;
  std::shared_ptr<ServerConnection> mConnection;
  std::shared_ptr<bool> mRunning = std::make_shared<bool>(true);
};

} // namespace bronzedeal::gateway
