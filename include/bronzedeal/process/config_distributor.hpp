#pragma once

#include "bronzedeal/process/audit_trail.hpp"
#include "bronzedeal/process/membership.hpp"
#include "bronzedeal/process/messages.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::process {

/// A valid document.
struct ConfigDocument
{
  ConfigVersion version = 0;
  ConfigHash hash{};
  /// Canonical text.
  std::string text;
};

/// Outcome of parsing a document.
struct ValidationResult
{
  bool valid = false;
  /// Version, hash and canonical text; version and hash are also set, where
  /// they could be read, for an invalid document.
  ConfigDocument document;
  /// Why the document is invalid.
  std::string reason;
};

/// The functions of the version library that the distributor needs.
struct ConfigFunctions
{
  std::function<ValidationResult(std::string_view aText)> validate;
  /// Merge patch (RFC 7386) that turns one text into the other.
  std::function<std::string(std::string_view aFrom, std::string_view aTo)>
    makePatch;
  /// The patched text; nullopt when the patch is malformed.
  std::function<std::optional<std::string>(std::string_view aText,
                                           std::string_view aPatch)>
    applyPatch;
};

struct ConfigOptions
{
  std::size_t readerCount = 3;
  milliseconds longPollWait{ 25000 };
  Duration backoffMin = milliseconds(200);
  Duration backoffMax = milliseconds(10000);
  /// A pull without an answer is repeated at another peer after this time.
  Duration pullTimeout = milliseconds(500);
  /// How long a member that has never been heard from counts as a reader.
  Duration startupGrace = milliseconds(5000);
  /// An instance without a document reads the service itself after this time,
  /// and up to as much again by chance.
  Duration initialReadDelay = milliseconds(1500);
  /// A former reader ends its read after this time, when the next has begun.
  Duration formerReadLinger = milliseconds(1000);
  /// A read without an answer counts as failed this long after its wait.
  Duration readTimeoutMargin = milliseconds(5000);
  /// Shortest time between two reads, for a service that answers at once.
  Duration minReadInterval = milliseconds(200);
  /// A joining instance waits this long after it has reached a majority, or
  /// until all members have reported. Members that restarted at the same time
  /// count towards the majority and know no version.
  Duration joinDelay = milliseconds(1000);
  std::size_t maxFormerDocuments = 4;
  std::size_t maxInvalidDocuments = 64;
  std::uint64_t seed = 1;
};

/// The readers of a 10 s window: the first `aCount` ids by rendezvous of id and
/// window number.
[[nodiscard]] std::vector<InstanceId> SelectReaders(
  std::uint64_t aWindow,
  std::span<const InstanceId> aLive,
  std::size_t aCount = 3);

/// A read of the configuration service to be started now.
struct ServiceRead
{
  ConfigVersion afterVersion = 0;
  milliseconds maxWait{ 0 };
};

enum class ServiceReadStatus : std::uint8_t
{
  /// 200 with a document.
  Document,
  /// 304, none newer.
  NotModified,
  /// Any error or timeout.
  Failed,
};

struct ServiceReadResult
{
  ServiceReadStatus status = ServiceReadStatus::Failed;
  std::string text;
};

struct ConfigInputs
{
  /// `Membership::Records`.
  std::span<const Member> members;
  /// `Membership::CountContacts`.
  ContactCounts contact;
  /// Unix time in seconds divided by 10.
  std::uint64_t readerWindow = 0;
};

struct ConfigActions
{
  std::vector<OutgoingMessage> messages;
  /// At most one read is open at a time; answered with `OnServiceReadResult`.
  std::optional<ServiceRead> read;
  /// Ends the open read: the instance is no longer a reader, or the answer is
  /// overdue. An answer that still arrives must not be passed on.
  bool cancelRead = false;
  /// Documents to put in force, in rising order of version.
  std::vector<ConfigDocument> accepted;
  std::vector<AuditNote> auditNotes;
};

/// Obtains the configuration from the service and from peers and passes it on.
class ConfigDistributor
{
public:
  ConfigDistributor(InstanceId aSelf,
                    ConfigFunctions aFunctions,
                    ConfigOptions aOptions = {});
  ~ConfigDistributor();
  ConfigDistributor(ConfigDistributor&&) noexcept;
  ConfigDistributor& operator=(ConfigDistributor&&) noexcept;

  /// Starts reads and pulls that are due.
  void Tick(TimePoint aNow,
            const ConfigInputs& aInputs,
            ConfigActions& aActions);

  void OnServiceReadResult(const ServiceReadResult& aAnswer,
                           TimePoint aNow,
                           ConfigActions& aActions);

  /// A peer has this version, as learned outside of gossip (a lease refusal).
  void OnPeerVersion(const InstanceId& aPeer, ConfigVersion aVersion);

  void Receive(const InstanceId& aFrom,
               const ConfigPullMessage& aPull,
               TimePoint aNow,
               ConfigActions& aActions);
  void Receive(const InstanceId& aFrom,
               const ConfigContentMessage& aContent,
               TimePoint aNow,
               ConfigActions& aActions);

  /// After a pause: not ready until a majority was heard from again and the
  /// highest version heard is in force.
  void Rejoin();

  /// The document in force; nullptr when there is none yet.
  [[nodiscard]] const ConfigDocument* CurrentDocument() const noexcept;

  /// True when a document is in force, a majority has reported (or no peer is
  /// listed), and no live member had a higher valid version then.
  [[nodiscard]] bool IsReady() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::process
