#pragma once

#include "bronzedeal/gateway/route_config.hpp"
#include "bronzedeal/gateway/server_record.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bronzedeal::gateway {

/// Number of a history of the metadata service.
using MetadataEra = std::uint64_t;

/// After an outage of the service, or its return from a copy, what has expired
/// or was lost is written again within about two seconds.
inline constexpr auto kReregistrationGrace = milliseconds(2300);

/// A part of the metadata that is read separately, because the parts change at
/// different rates.
enum class MetadataTopic
{
  /// Backend servers; each changes about once a second.
  Servers,
  /// Configurations and withdrawals; rare.
  Operators,
};

/// The name of the topic in log entries.
[[nodiscard]] constexpr std::string_view TopicName(
  MetadataTopic aTopic) noexcept
{
  return aTopic == MetadataTopic::Servers ? "servers" : "operators";
}

/// A server was added or its record changed.
struct ServerChanged
{
  ServerRecord record;
};

/// A server's entry was deleted.
struct ServerRemoved
{
  ServerId id;
};

/// A version of the configuration was published. The same version may be
/// reported more than once.
struct ConfigPublished
{
  RouteConfig config;
};

/// Operators withdrew a failure domain or put it back into use.
struct DomainWithdrawalChanged
{
  FailureDomain domain;
  bool withdrawn = true;
};

/// An entry that can't be decoded. If it describes a server, that server is no
/// longer used.
struct InvalidEntry
{
  /// Key of the entry in the store.
  std::string key;
  /// Id of the server that the entry describes; empty for other entries.
  ServerId server;
  std::string reason;
};

using MetadataChange = std::variant<ServerChanged,
                                    ServerRemoved,
                                    ConfigPublished,
                                    DomainWithdrawalChanged,
                                    InvalidEntry>;

/// A change and the store revision in which it was made.
struct RevisionedChange
{
  std::uint64_t revision = 0;
  MetadataChange change;
};

enum class MetadataStatus
{
  Ok,
  /// The source no longer has the changes after the requested revision; the
  /// topic must be listed again.
  HistoryCompacted,
  /// Another source answers from now on, whose revisions are unrelated; the
  /// topic must be listed again.
  SourceChanged,
  /// The service did not answer or refused the call.
  Unavailable,
};

/// The reply to a list or a watch.
struct MetadataReply
{
  MetadataStatus status = MetadataStatus::Unavailable;
  /// The history that the revisions belong to; absent if the source doesn't
  /// tell. Rises when the service has lost changes, for example by a restore
  /// from a copy: from then on it gives out revisions again.
  std::optional<MetadataEra> era;
  /// Revision of the source at the time of the reply.
  std::uint64_t revision = 0;
  std::vector<RevisionedChange> changes;
  /// True when another instance answered, so that the call cost the service
  /// nothing.
  bool relayed = false;
  /// Token of the next page of a list; empty on the last page, and if the
  /// source doesn't tell where the next one begins.
  std::string nextPageToken;
  bool isLastPage = true;
  /// Why the call failed, for the log.
  std::string errorDetail;
};

/// Read-only access to the platform's metadata service. At most one call per
/// topic may be in progress. Handlers run on the thread of the context,
/// possibly before the call returns.
class MetadataSource
{
public:
  using Handler = std::function<void(MetadataReply)>;

  MetadataSource() = default;
  virtual ~MetadataSource() = default;
  MetadataSource(const MetadataSource&) = delete;
  MetadataSource& operator=(const MetadataSource&) = delete;

  /// Reads one page of all entries of a topic. `aPageToken` is empty for the
  /// first page.
  virtual void List(MetadataTopic aTopic,
                    const std::string& aPageToken,
                    Duration aTimeout,
                    Handler aHandler) = 0;

  /// Replies with the changes after `aRevision` once there are some, or with
  /// none after `aWait`.
  virtual void Watch(MetadataTopic aTopic,
                     std::uint64_t aRevision,
                     milliseconds aWait,
                     Duration aTimeout,
                     Handler aHandler) = 0;

  /// Ends the call in progress as `Unavailable`, if it is made to the service
  /// itself. Does nothing without one.
  virtual void Cancel(MetadataTopic aTopic) { static_cast<void>(aTopic); }
};

} // namespace bronzedeal::gateway
