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

/// A configuration document with its version and hash.
struct ConfigDocument
{
  ConfigVersion version = 0;
  ConfigHash hash{};
  /// Canonical text.
  std::string text;
};

/// Result of parsing and validating a configuration document.
struct ValidationResult
{
  bool valid = false;
  /// Version, hash and canonical text. For an invalid document version and hash
  /// are set where they could be determined.
  ConfigDocument document;
  /// Why the document is invalid.
  std::string reason;
};

/// Functions of the version library that the distributor uses.
struct ConfigFunctions
{
  std::function<ValidationResult(std::string_view aText)> validate;
  /// A merge patch (RFC 7386) that turns the first document into the second.
  std::function<std::string(std::string_view aFrom, std::string_view aTo)>
    makePatch;
  /// The patched document; nullopt when the patch is malformed.
  std::function<std::optional<std::string>(std::string_view aText,
                                           std::string_view aPatch)>
    applyPatch;
};

/// Time within which a published document must be in force at all instances.
inline constexpr milliseconds kActivationTime{ 7000 };

/// How long the service may hold a read open when it has nothing newer. A read
/// can be lost without the end of its connection; it is then repeated, after a
/// pause, in time for `kActivationTime`.
inline constexpr milliseconds kLongPollWait = kActivationTime * 7 / 20;

struct ConfigOptions
{
  /// Live members that read the configuration service at a time.
  std::size_t readerCount = 3;
  milliseconds longPollWait = kLongPollWait;
  /// Range of the delay after a failed read, or after one that returned a
  /// document that is not newer. The delay doubles each time, and up to half of
  /// it is taken off at random.
  Duration backoffMin = milliseconds(200);
  Duration backoffMax = kActivationTime * 7 / 20;
  /// An unanswered pull is repeated with another peer after this time.
  Duration pullTimeout = milliseconds(500);
  /// How long after the first tick a member that has never been heard from
  /// still counts as a possible reader.
  Duration startupGrace = milliseconds(5000);
  /// An instance without a document reads the service itself after this time
  /// plus a random delay of up to the same length.
  Duration initialReadDelay = milliseconds(1500);
  /// A former reader cancels its read after this time, when its successor has
  /// started its own.
  Duration formerReadLinger = milliseconds(1000);
  /// An unanswered read counts as failed this long after `longPollWait`.
  Duration readTimeoutMargin = kActivationTime / 7;
  /// Shortest time between the starts of two reads, for a service that answers
  /// at once.
  Duration minReadInterval = milliseconds(200);
  /// A joining instance waits this long after a majority has reported, or until
  /// all members have: members that restarted at the same time count towards
  /// the majority and know no version.
  Duration joinDelay = milliseconds(1000);
  /// Former documents that are kept as bases for patches.
  std::size_t maxFormerDocuments = 4;
  /// Invalid documents that are remembered, so that they are not pulled again.
  std::size_t maxInvalidDocuments = 64;
  std::uint64_t seed = 1;
};

/// The readers of the configuration service in a 10 s window: the first
/// `aCount` of the live ids in rendezvous order of id and window number.
[[nodiscard]] std::vector<InstanceId> SelectReaders(
  std::uint64_t aWindow,
  std::span<const InstanceId> aLive,
  std::size_t aCount = 3);

/// A read of the configuration service that is to be started now.
struct ServiceRead
{
  /// Only a document of a higher version is of interest.
  ConfigVersion afterVersion = 0;
  /// How long the service may wait for such a document.
  milliseconds maxWait{ 0 };
};

enum class ServiceReadStatus : std::uint8_t
{
  /// HTTP 200 with a document.
  Document,
  /// HTTP 304: the service has no newer document.
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
  /// Number of the 10 s reader window: Unix time in seconds divided by 10.
  std::uint64_t readerWindow = 0;
};

struct ConfigActions
{
  std::vector<OutgoingMessage> messages;
  /// At most one read is open at a time; answered with `OnServiceReadResult`.
  std::optional<ServiceRead> read;
  /// The open read is to be cancelled, because the instance is no longer a
  /// reader or the read timed out. A result that still arrives must not be
  /// passed to `OnServiceReadResult`.
  bool cancelRead = false;
  /// Documents to put in force, in ascending order of version.
  std::vector<ConfigDocument> accepted;
  std::vector<AuditNote> auditNotes;
};

/// Obtains configuration documents from the service and from peers and
/// distributes them to peers.
class ConfigDistributor
{
public:
  ConfigDistributor(InstanceId aSelf,
                    ConfigFunctions aFunctions,
                    ConfigOptions aOptions = {});
  ~ConfigDistributor();
  ConfigDistributor(ConfigDistributor&&) noexcept;
  ConfigDistributor& operator=(ConfigDistributor&&) noexcept;

  /// Starts the reads and pulls that are due; to be called every 50 ms.
  void Tick(TimePoint aNow,
            const ConfigInputs& aInputs,
            ConfigActions& aActions);

  void OnServiceReadResult(const ServiceReadResult& aResult,
                           TimePoint aNow,
                           ConfigActions& aActions);

  /// Reports a version of a peer that was learned outside of gossip, from a
  /// lease refusal.
  void OnPeerVersion(const InstanceId& aPeer, ConfigVersion aVersion);

  /// Replies with the document in force if it is newer, as a patch where the
  /// puller's document is known and the patch is shorter.
  void Receive(const InstanceId& aFrom,
               const ConfigPullMessage& aPull,
               TimePoint aNow,
               ConfigActions& aActions);
  /// Validates a document or patch from a peer and accepts a newer document.
  void Receive(const InstanceId& aFrom,
               const ConfigContentMessage& aContent,
               TimePoint aNow,
               ConfigActions& aActions);

  /// To be called after a pause: the instance is not ready until a majority has
  /// reported again and the highest version reported is in force.
  void Rejoin();

  /// The document in force; nullptr when there is none yet.
  [[nodiscard]] const ConfigDocument* CurrentDocument() const noexcept;

  /// True once a document is in force and a majority has reported, with no live
  /// member at a higher version that is not known to be invalid. Stays true
  /// until `Rejoin`.
  [[nodiscard]] bool IsReady() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bronzedeal::process
