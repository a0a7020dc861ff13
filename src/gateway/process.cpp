#include "bronzedeal/gateway/process.hpp"

#include "bronzedeal/gateway/listener_limits.hpp"

namespace bronzedeal::gateway {

namespace {

/// The responses being received may use the memory divided by this. Buffers
/// that grow hold up to three times the bytes received.
constexpr std::size_t kResponseMemoryDivisor = 8;

PeerState InitialSelfState(const Settings& aSettings)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  PeerState self;
  self.address = aSettings.gossipEndpoint.address();
  self.instance = aSettings.instance;
  self.failureDomain = aSettings.failureDomain;
  self.incarnation = static_cast<Incarnation>(
    std::chrono::duration_cast<milliseconds>(now).count());
  self.cores = aSettings.cores;
  self.reachPercent = 100; // Nothing is known to be out of reach.
  self.capabilities = PeerCapabilities::Own();
  return self;
}

} // namespace

Process::Process(Settings aSettings, DecisionLog::Sink aSink)
  : responseMemory(
      { .totalBytes = aSettings.memoryBytes / kResponseMemoryDivisor })
  , serverConnections(MaxServerConnections(aSettings.maxFileDescriptors))
  , crashQuarantine(
      aSettings.instance,
      CrashQuarantine::Options{},
      [this](const VerdictChange& aChange) { LogVerdict(aChange); })
  , settings(std::move(aSettings))
  , log(settings.instance, std::move(aSink))
  , peers(InitialSelfState(settings), PeerTable::Options{})
  , fleetShares(settings.instance)
  , rateShares(settings.failureDomain)
{
}

void Process::LogVerdict(const VerdictChange& aChange)
{
  log.Write("content_verdict",
            { { "content", ToHex(aChange.content) },
              { "former", Name(aChange.former) },
              { "verdict", Name(aChange.verdict) },
              { "cause", Name(aChange.cause) },
              { "crashes", static_cast<std::int64_t>(aChange.crashes) } });
}

} // namespace bronzedeal::gateway
