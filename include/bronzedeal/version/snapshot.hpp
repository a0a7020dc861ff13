#pragma once

#include "bronzedeal/result_code.hpp"
#include "bronzedeal/types.hpp"
#include "bronzedeal/version/document.hpp"
#include "bronzedeal/version/route.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::version {

/// A backend server of the document with what its owner needs.
struct ServerInfo
{
  ServerId id;
  ServiceId service;
  std::string address;
  FailureDomain failureDomain;
  std::string region;
  SliceId slice;
  ServiceLimits limits;
};

/// An immutable document with its routing tables, shared between threads. All
/// functions are thread safe.
///
/// The scope of a request, the shards that its coverage refers to, is decided
/// by the requirements of the matching selectors' `targets` that choose (`=`,
/// `in`, `key`) by labels of service and shard. Requirements that exclude
/// (`!=`, `notin`, `!key`) and those on labels of failure domains and servers
/// only decide on the replicas. A withdrawn shard thus stays in the scope and
/// is counted as missing.
class Snapshot
{
public:
  explicit Snapshot(Document aDocument);
  ~Snapshot();
  Snapshot(const Snapshot&) = delete;
  Snapshot& operator=(const Snapshot&) = delete;

  [[nodiscard]] ConfigVersion Version() const noexcept;
  [[nodiscard]] const DocumentHash& Hash() const noexcept;
  [[nodiscard]] const Document& Content() const noexcept;
  /// The canonical text, as peers exchange it.
  [[nodiscard]] const std::string& Text() const noexcept;

  /// All shards of the serving index version in the request's scope, ordered by
  /// id, with the permitted replicas. `NotRunDenied` when no selector matches
  /// caller and request or the scope is empty.
  [[nodiscard]] RoutePlan Plan(const Labels& aCaller,
                               const Labels& aRequest) const;

  /// The same without the copy. Requests that match the same selectors share
  /// one plan.
  [[nodiscard]] std::shared_ptr<const RoutePlan> SharedPlan(
    const Labels& aCaller,
    const Labels& aRequest) const;

  /// The owner's check right before a send. False when the document does not
  /// hold the index version, the shard in it, or the server as its replica. On
  /// success, `aSelector` (may be null) receives the name of the first selector
  /// that permits the server.
  [[nodiscard]] bool Permits(const Labels& aCaller,
                             const Labels& aRequest,
                             std::string_view aShard,
                             std::string_view aServer,
                             IndexVersion aIndexVersion,
                             std::string* aSelector = nullptr) const;

  /// All servers of the document, ordered by service and id.
  [[nodiscard]] const std::vector<ServerInfo>& Servers() const noexcept;
  /// `nullptr` when the document has no such server.
  [[nodiscard]] const ServerInfo* FindServer(std::string_view aServer) const;
  /// All slices of all failure domains, in order.
  [[nodiscard]] const std::vector<SliceId>& Slices() const noexcept;
  /// The merged labels of a server as replica of a shard, built-in ones
  /// included. Builds a map; not for the request path.
  [[nodiscard]] Labels TargetLabels(std::string_view aShard,
                                    const ShardSpec& aShardSpec,
                                    const ServerInfo& aServer) const;
  /// True when the shard is in the scope of the selector with that position in
  /// the document, for the serving index version.
  [[nodiscard]] bool InScope(std::string_view aShard,
                             std::size_t aSelector) const;

private:
  struct Tables;
  std::unique_ptr<Tables> mTables;
};

[[nodiscard]] std::shared_ptr<const Snapshot> MakeSnapshot(Document aDocument);

/// The snapshot in force (read-copy-update). Thread safe.
class SnapshotHolder
{
public:
  /// `nullptr` before the first `Store`.
  [[nodiscard]] std::shared_ptr<const Snapshot> Load() const noexcept;
  /// False, without a change, when the version in force is not lower than that
  /// of `aSnapshot` or `aSnapshot` is null.
  bool Store(std::shared_ptr<const Snapshot> aSnapshot);

private:
  std::atomic<std::shared_ptr<const Snapshot>> mSnapshot;
};

} // namespace bronzedeal::version
