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
  RelayedSource(Process& aProcess, MetadataSource& aService, Topic aTopic);
  ~RelayedSource() override;

  /// The instances that may be read from, by id; none where this one should
  /// read the service itself.
  void SetRelays(const std::vector<PeerState>& aRelays);

  /// Whether the service itself is read.
  [[nodiscard]] bool Direct() const noexcept { return !mCurrent; }

  void List(Topic aTopic,
            const std::string& aPage,
            Duration aTimeout,
            Handler aHandler) override;
  void Watch(Topic aTopic,
             std::uint64_t aRevision,
             milliseconds aWait,
             Duration aTimeout,
             Handler aHandler) override;

private:
  struct Call;

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
  Topic mTopic;
  std::map<InstanceId, PeerState> mRelays;
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
