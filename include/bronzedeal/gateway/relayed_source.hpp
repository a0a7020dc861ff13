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

/// Reads one topic from the metadata service or from another instance of the
/// own failure domain that reads the service (a relay). At most one call may be
/// in progress.
class RelayedSource : public MetadataSource
{
public:
  RelayedSource(Process& aProcess,
                MetadataSource& aService,
                MetadataTopic aTopic);
  ~RelayedSource() override;

  /// Sets the instances that may serve as relays. When there is none and
  /// `aReadsService` is false, a list waits for a relay until
  /// `MetadataWait::RelayStart` after the construction, then reads the service.
  /// By then, the instances that started at the same time and that callers are
  /// sent to have read it.
  void SetRelays(const std::vector<PeerState>& aRelays, bool aReadsService);

  /// True while the service itself is read.
  [[nodiscard]] bool IsDirect() const noexcept { return !mCurrentRelay; }

  void List(MetadataTopic aTopic,
            const std::string& aPageToken,
            Duration aTimeout,
            Handler aHandler) override;
  void Watch(MetadataTopic aTopic,
             std::uint64_t aRevision,
             milliseconds aWait,
             Duration aTimeout,
             Handler aHandler) override;
  void Cancel(MetadataTopic aTopic) override;

private:
  struct Call;

  [[nodiscard]] bool ShouldAwaitRelay(TimePoint aNow) const;
  /// The current relay while it is usable, otherwise the usable one that is
  /// first in the rendezvous order of this instance; nothing without any.
  [[nodiscard]] std::optional<InstanceId> ChooseRelay(TimePoint aNow);
  void SwitchTo(std::optional<InstanceId> aRelay);
  void SendQuery(const RelayQuery& aQuery, Duration aTimeout, Handler aHandler);
  void SendCall(const std::shared_ptr<Call>& aCall);
  /// Converts the reply of a relay to the form that the service would have
  /// replied in.
  [[nodiscard]] MetadataReply ToReply(RelayReply aReply);
  void OnResponse(const std::shared_ptr<Call>& aCall,
                  const ResponseMessage& aResponse);
  void FailCall(const std::shared_ptr<Call>& aCall, std::string_view aReason);

  Process& mProcess;
  MetadataSource& mService;
  MetadataTopic mTopic;
  std::map<InstanceId, PeerState> mRelays;
  bool mReadsService = true;
  TimePoint mStartedAt = std::chrono::steady_clock::now();
  std::map<InstanceId, TimePoint> mSuspendedUntil;
  /// The relay that is read from; absent while the service itself is read.
  std::optional<InstanceId> mCurrentRelay;
  /// Incarnation of the current relay that its sequence numbers belong to.
  Incarnation mEpoch = 0;
  /// The last configuration version that the current relay has sent.
  ConfigVersion mLastConfigVersion = 0;
  std::shared_ptr<ServerConnection> mConnection;
  /// False once the source is destroyed; callbacks in progress share it.
  std::shared_ptr<bool> mRunning = std::make_shared<bool>(true);
};

} // namespace bronzedeal::gateway
