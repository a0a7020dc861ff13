#pragma once

/// Forward declarations of the public types, for headers that only name them.

namespace bronzedeal {

enum class ResultCode : int;
class JsonFields;
struct Error;
struct FieldError;
struct SliceId;

namespace version {
class Selector;
class Snapshot;
class SnapshotHolder;
class WorkLedger;
struct Document;
struct Replica;
struct RoutePlan;
struct ServerInfo;
} // namespace version

namespace process {
class AuditTrail;
class ConfigDistributor;
class Fence;
class LeaseHolder;
class LeaseVoter;
class Membership;
class Metrics;
class WithdrawalReport;
struct Member;
struct RosterEntry;
struct Settings;
} // namespace process

namespace connection {
class OutlierDetector;
class PeerTransport;
class ServerLimiter;
class ServerPool;
class ServerQueue;
} // namespace connection

namespace request {
class AddressChooser;
class Admission;
class ConcurrencyLimit;
class HedgeBudget;
class LatencyDigest;
class LatencyDigests;
class Quarantine;
class QueryRun;
class ReplicaChooser;
class TicketTable;
struct QueryAnswer;
struct ServerLoad;
} // namespace request

namespace daemon {
class AttemptRouter;
class ControlPlane;
class FleetViewHolder;
class HttpServer;
class LeaseTable;
class Node;
class OperationService;
class OwnerExecutor;
class PlatformClient;
class PlatformReader;
class QueryService;
struct FleetView;
struct HttpRequest;
struct HttpResponse;
struct OwnerAttempt;
struct OwnerResult;
} // namespace daemon

namespace gateway {
class AnswerRecord;
class BackendServer;
class CarriedRequests;
class HttpListener;
class ColdAllowance;
class ConnectionCount;
class CrashQuarantine;
class CutRuns;
class DecisionLog;
class EventLag;
class GatewayInstance;
class Exchange;
class FleetShares;
class Gateway;
class LinkEvidence;
class LiveServers;
struct ListenerLimits;
class MemoryBudget;
class MetadataFollower;
class MetadataHistory;
class MetadataRelay;
class MetadataSource;
class PeerCapabilities;
class PeerGossip;
class PeerPool;
class PeerTable;
class PlannedStop;
class Platform;
class QueryCaution;
class RateLimit;
class RateShares;
class ReachView;
class RecentContents;
class RelayedSource;
class RetryBudget;
class ReturnSchedule;
class RouteLatency;
class RouteTable;
class ServerAnnouncements;
class ServerChanges;
class ServerConnection;
class ServerRegistry;
class ShardSet;
class StopSchedule;
class TimerQueue;
class UsedServers;
struct Process;
struct Route;
struct ServerRecord;
struct Settings;
} // namespace gateway

} // namespace bronzedeal
