#pragma once

/// Forward declarations of the public types, for headers that only name them.

namespace bronzedeal {

enum class ResultCode : int;
struct Error;

namespace version {
class Selector;
class Snapshot;
class SnapshotHolder;
class WorkLedger;
struct Document;
} // namespace version

namespace process {
class AuditTrail;
class ConfigDistributor;
class Fence;
class LeaseHolder;
class LeaseVoter;
class Membership;
class Metrics;
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
class Admission;
class HedgeBudget;
class LatencyDigest;
class Quarantine;
class QueryRun;
class ReplicaChooser;
class TicketTable;
} // namespace request

} // namespace bronzedeal
