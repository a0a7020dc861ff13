#pragma once

#include "bronzedeal/gateway/route_config.hpp"
#include "bronzedeal/gateway/server_record.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bronzedeal::gateway {

/// What is followed separately, because it changes at different rates.
enum class MetadataTopic
{
  /// Backend servers; each changes about once a second.
  Servers,
  /// Configurations and withdrawals; rare.
  Operators,
};

/// For logs.
[[nodiscard]] constexpr std::string_view TopicName(
  MetadataTopic aTopic) noexcept
{
  return aTopic == MetadataTopic::Servers ? "servers" : "operators";
}

struct ServerChanged
{
  ServerRecord record;
};

struct ServerRemoved
{
  ServerId id;
};

struct ConfigPublished
{
  RouteConfig config;
};

struct DomainWithdrawalChanged
{
  FailureDomain domain;
  bool withdrawn = true;
};

/// An entry that can't be used; where it stands for a server, that server isn't
/// used.
struct InvalidEntry
{
  std::string key;
  ServerId server;
  std::string reason;
};

using MetadataChange = std::variant<ServerChanged,
                                    ServerRemoved,
                                    ConfigPublished,
                                    DomainWithdrawalChanged,
                                    InvalidEntry>;

/// One change and the revision of the store that made it.
struct RevisionedChange
{
  std::uint64_t revision = 0;
  MetadataChange change;
};

enum class MetadataStatus
{
  Ok,
  /// The changes after the asked revision are no longer known: list again.
  HistoryCompacted,
  /// Another source answers from now on: list again.
  SourceChanged,
  /// No answer, or a refusal.
  Unavailable,
};

/// An answer of the metadata service.
struct MetadataReply
{
  MetadataStatus status = MetadataStatus::Unavailable;
  /// Revision of the store at the answer.
  std::uint64_t revision = 0;
  std::vector<RevisionedChange> changes;
  /// Another instance has passed it on: asking again costs the service nothing.
  bool relayed = false;
  /// Where the next page of a list begins; empty after the last.
  std::string nextPageToken;
  /// For the log.
  std::string errorDetail;
};

/// The platform's metadata service; read only. One call per topic at a time.
class MetadataSource
{
public:
  using Handler = std::function<void(MetadataReply)>;

  MetadataSource() = default;
  virtual ~MetadataSource() = default;
  MetadataSource(const MetadataSource&) = delete;
  MetadataSource& operator=(const MetadataSource&) = delete;

  /// One page of all entries of a topic, from `aPage` on (empty: the first).
  virtual void List(MetadataTopic aTopic,
                    const std::string& aPageToken,
                    Duration aTimeout,
                    Handler aHandler) = 0;

  /// The changes after `aRevision`, once there is one or `aWait` has passed.
  virtual void Watch(MetadataTopic aTopic,
                     std::uint64_t aRevision,
                     milliseconds aWait,
                     Duration aTimeout,
                     Handler aHandler) = 0;
};

} // namespace bronzedeal::gateway
