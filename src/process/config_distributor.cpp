#include "bronzedeal/process/config_distributor.hpp"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <xxhash.h>

namespace bronzedeal::process {
namespace {

// Identifies a document by its contents, since two may share a version.
using DocumentKey = std::pair<ConfigVersion, ConfigHash>;

// A pull that has not been answered yet.
struct Pull
{
  InstanceId peer;
  ConfigVersion version = 0;
  TimePoint sentAt;
};

// The first 4 bytes of a hash in hexadecimal.
std::string HashPrefixHex(const ConfigHash& aHash)
{
  std::string text;
  for (std::size_t i = 0; i < 4; ++i) {
    text += fmt::format("{:02x}", aHash[i]);
  }
  return text;
}

ConfigHash HashOfText(std::string_view aText)
{
  const auto digest = XXH3_128bits(aText.data(), aText.size());
  ConfigHash hash{};
  for (std::size_t i = 0; i < 8; ++i) {
    hash[i] = static_cast<std::uint8_t>(digest.high64 >> (8 * i));
    hash[8 + i] = static_cast<std::uint8_t>(digest.low64 >> (8 * i));
  }
  return hash;
}

// Sort key of an instance in the rendezvous order of a reader window. Equal
// hashes are ordered by id.
std::pair<std::uint64_t, std::string_view> ReaderOrderKey(std::uint64_t aWindow,
                                                          const InstanceId& aId)
{
  return { XXH64(aId.data(), aId.size(), aWindow), aId };
}

} // namespace

std::vector<InstanceId> SelectReaders(std::uint64_t aWindow,
                                      std::span<const InstanceId> aLive,
                                      std::size_t aCount)
{
  std::vector<InstanceId> readers(aLive.begin(), aLive.end());
  const auto n = std::min(aCount, readers.size());
  std::partial_sort(readers.begin(),
                    readers.begin() + static_cast<std::ptrdiff_t>(n),
                    readers.end(),
                    [&](const auto& aLeft, const auto& aRight) {
                      return ReaderOrderKey(aWindow, aLeft) <
                             ReaderOrderKey(aWindow, aRight);
                    });
  readers.resize(n);
  return readers;
}

struct ConfigDistributor::Impl
{
  InstanceId self;
  ConfigFunctions functions;
  ConfigOptions options;
  std::mt19937_64 random;
  std::optional<ConfigDocument> currentDocument;
  std::deque<ConfigDocument> formerDocuments;
  /// Patches to the document in force, by base version.
  std::map<ConfigVersion, std::string> patchesByBase;
  std::deque<DocumentKey> invalidDocuments;
  std::set<DocumentKey> reportedConflicts;
  /// Peers that sent content not matching its stated version and hash, and that
  /// version.
  std::set<std::pair<InstanceId, ConfigVersion>> mismatchedContents;
  /// Versions of peers as set by `OnPeerVersion`.
  std::map<InstanceId, ConfigVersion> hintedVersions;
  std::optional<Pull> openPull;
  InstanceId lastPulledPeer;
  /// Set when a patch could not be applied, so that the next pull asks for the
  /// whole document.
  bool pullWholeDocument = false;
  /// Highest version that the service has returned, of a valid or invalid
  /// document.
  ConfigVersion highestServiceVersion = 0;
  bool isReadOpen = false;
  TimePoint readStartedAt;
  std::optional<TimePoint> nextReadAt;
  Duration backoff{ 0 };
  std::optional<TimePoint> firstTickAt;
  std::optional<TimePoint> initialReadAt;
  /// Since when this instance has not been a reader, while a read is open.
  std::optional<TimePoint> notReaderSince;
  std::optional<TimePoint> majoritySince;
  bool isReady = false;

  ConfigVersion CurrentVersion() const
  {
    return currentDocument ? currentDocument->version : 0;
  }

  bool IsInvalid(ConfigVersion aVersion, const ConfigHash& aHash) const
  {
    return std::find(invalidDocuments.begin(),
                     invalidDocuments.end(),
                     DocumentKey{ aVersion, aHash }) != invalidDocuments.end();
  }

  bool IsInvalid(ConfigVersion aVersion) const
  {
    return std::any_of(invalidDocuments.begin(),
                       invalidDocuments.end(),
                       [&](const auto& aIt) { return aIt.first == aVersion; });
  }

  void RememberInvalid(ConfigVersion aVersion, const ConfigHash& aHash)
  {
    if (IsInvalid(aVersion, aHash)) {
      return;
    }
    if (invalidDocuments.size() >= options.maxInvalidDocuments) {
      invalidDocuments.pop_front();
    }
    invalidDocuments.emplace_back(aVersion, aHash);
  }

  // Reports a document that has the version in force and another hash, once for
  // each document.
  void ReportConflict(ConfigVersion aVersion,
                      const ConfigHash& aHash,
                      std::string_view aSource,
                      ConfigActions& aActions)
  {
    if (!currentDocument || aVersion != currentDocument->version ||
        aHash == currentDocument->hash ||
        !reportedConflicts.emplace(aVersion, aHash).second) {
      return;
    }
    aActions.auditNotes.push_back(
      { AuditKind::ConfigConflict,
        aVersion,
        fmt::format("{} has version {} with hash {}, {} is in force",
                    aSource,
                    aVersion,
                    HashPrefixHex(aHash),
                    HashPrefixHex(currentDocument->hash)) });
  }

  void Accept(ConfigDocument aDocument,
              std::string_view aSource,
              ConfigActions& aActions)
  {
    ReportConflict(aDocument.version, aDocument.hash, aSource, aActions);
    if (currentDocument && aDocument.version <= currentDocument->version) {
      return;
    }
    if (currentDocument) {
      formerDocuments.push_back(std::move(*currentDocument));
      if (formerDocuments.size() > options.maxFormerDocuments) {
        formerDocuments.pop_front();
      }
    }
    currentDocument = std::move(aDocument);
    patchesByBase.clear();
    reportedConflicts.clear();
    mismatchedContents.clear();
    openPull.reset();
    pullWholeDocument = false;
    std::erase_if(hintedVersions, [&](const auto& aIt) {
      return aIt.second <= currentDocument->version;
    });
    aActions.accepted.push_back(*currentDocument);
    aActions.auditNotes.push_back({ AuditKind::ConfigAccepted,
                                    currentDocument->version,
                                    fmt::format("from {}", aSource) });
  }

  void Reject(ConfigVersion aVersion,
              const ConfigHash& aHash,
              std::string_view aSource,
              std::string_view aReason,
              ConfigActions& aActions)
  {
    if (IsInvalid(aVersion, aHash)) {
      return;
    }
    RememberInvalid(aVersion, aHash);
    aActions.auditNotes.push_back(
      { AuditKind::ConfigRejected,
        aVersion,
        fmt::format("from {}: {}", aSource, aReason) });
  }

  const ConfigDocument* FindDocument(ConfigVersion aVersion) const
  {
    if (currentDocument && currentDocument->version == aVersion) {
      return &*currentDocument;
    }
    const auto it =
      std::find_if(formerDocuments.begin(),
                   formerDocuments.end(),
                   [&](const auto& aIt) { return aIt.version == aVersion; });
    return it == formerDocuments.end() ? nullptr : &*it;
  }

  static bool IsLive(const Member& aMember)
  {
    return aMember.status == MemberStatus::Alive ||
           aMember.status == MemberStatus::Suspect;
  }

  bool IsReader(const ConfigInputs& aInputs, TimePoint aNow)
  {
    if (!currentDocument && aNow >= *initialReadAt) {
      return true;
    }
    const bool inStartupGrace = aNow - *firstTickAt < options.startupGrace;
    // Counts the members ordered before this one; no sorted list is needed.
    const auto own = ReaderOrderKey(aInputs.readerWindow, self);
    std::size_t before = 0;
    for (const auto& it : aInputs.members) {
      const bool live =
        it.id != self && IsLive(it) && (it.incarnation != 0 || inStartupGrace);
      before +=
        live && ReaderOrderKey(aInputs.readerWindow, it.id) < own ? 1 : 0;
    }
    return before < options.readerCount;
  }

  void UpdateReads(TimePoint aNow,
                   const ConfigInputs& aInputs,
                   ConfigActions& aActions)
  {
    if (isReadOpen && aNow - readStartedAt >=
                        options.longPollWait + options.readTimeoutMargin) {
      isReadOpen = false;
      aActions.cancelRead = true;
      BackOffReads(aNow);
    }
    if (IsReader(aInputs, aNow)) {
      notReaderSince.reset();
      if (!isReadOpen && (!nextReadAt || aNow >= *nextReadAt)) {
        isReadOpen = true;
        readStartedAt = aNow;
        aActions.read =
          ServiceRead{ std::max(CurrentVersion(), highestServiceVersion),
                       options.longPollWait };
      }
      return;
    }
    if (!isReadOpen) {
      return;
    }
    if (!notReaderSince) {
      notReaderSince = aNow;
    }
    if (aNow - *notReaderSince >= options.formerReadLinger) {
      isReadOpen = false;
      aActions.cancelRead = true;
    }
  }

  void UpdatePulls(TimePoint aNow,
                   const ConfigInputs& aInputs,
                   ConfigActions& aActions)
  {
    if (openPull) {
      if (aNow - openPull->sentAt < options.pullTimeout) {
        return;
      }
      hintedVersions.erase(openPull->peer);
      openPull.reset();
    }
    ConfigVersion highest = CurrentVersion();
    std::vector<InstanceId> peers;
    const auto consider = [&](const InstanceId& aPeer, ConfigVersion aVersion) {
      if (aPeer == self || aVersion < highest || aVersion <= CurrentVersion() ||
          mismatchedContents.contains({ aPeer, aVersion })) {
        return;
      }
      if (aVersion > highest) {
        highest = aVersion;
        peers.clear();
      }
      peers.push_back(aPeer);
    };
    for (const auto& it : aInputs.members) {
      if (it.status != MemberStatus::Dead &&
          !IsInvalid(it.configVersion, it.configHash)) {
        consider(it.id, it.configVersion);
      }
    }
    for (const auto& [peer, version] : hintedVersions) {
      if (!IsInvalid(version)) {
        consider(peer, version);
      }
    }
    if (peers.size() > 1) {
      std::erase(peers, lastPulledPeer);
    }
    if (peers.empty()) {
      return;
    }
    lastPulledPeer = peers[random() % peers.size()];
    openPull = Pull{ lastPulledPeer, highest, aNow };
    ConfigPullMessage message;
    if (currentDocument && !pullWholeDocument) {
      message = { currentDocument->version, currentDocument->hash };
    }
    aActions.messages.push_back({ lastPulledPeer, message });
  }

  // Delays the next read by the doubled backoff.
  void BackOffReads(TimePoint aNow)
  {
    backoff =
      std::clamp<Duration>(backoff * 2, options.backoffMin, options.backoffMax);
    const auto half = static_cast<std::uint64_t>(backoff.count() / 2) + 1;
    nextReadAt = aNow + backoff / 2 + Duration(random() % half);
  }

  void ScheduleNextRead(TimePoint aNow)
  {
    backoff = Duration(0);
    nextReadAt = std::max(aNow, readStartedAt + options.minReadInterval);
  }

  void UpdateReadiness(const ConfigInputs& aInputs, TimePoint aNow)
  {
    if (isReady) {
      return;
    }
    const auto& contact = aInputs.contact;
    if (!majoritySince && MajorityHasReported(contact)) {
      majoritySince = aNow;
    }
    if (!currentDocument || !majoritySince ||
        (contact.reported < contact.rosterSize &&
         aNow - *majoritySince < options.joinDelay)) {
      return;
    }
    isReady = std::none_of(
      aInputs.members.begin(), aInputs.members.end(), [&](const auto& aIt) {
        return aIt.status != MemberStatus::Dead &&
               aIt.configVersion > CurrentVersion() &&
               !IsInvalid(aIt.configVersion, aIt.configHash);
      });
  }
};

ConfigDistributor::ConfigDistributor(InstanceId aSelf,
                                     ConfigFunctions aFunctions,
                                     ConfigOptions aOptions)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->random.seed(aOptions.seed ^ XXH64(aSelf.data(), aSelf.size(), 2));
  mImpl->self = std::move(aSelf);
  mImpl->functions = std::move(aFunctions);
  mImpl->options = aOptions;
}

ConfigDistributor::~ConfigDistributor() = default;
ConfigDistributor::ConfigDistributor(ConfigDistributor&&) noexcept = default;
ConfigDistributor& ConfigDistributor::operator=(ConfigDistributor&&) noexcept =
  default;

void ConfigDistributor::Tick(TimePoint aNow,
                             const ConfigInputs& aInputs,
                             ConfigActions& aActions)
{
  auto& impl = *mImpl;
  if (!impl.firstTickAt) {
    impl.firstTickAt = aNow;
    const auto delay = static_cast<std::uint64_t>(
      std::max<Duration::rep>(impl.options.initialReadDelay.count(), 1));
    impl.initialReadAt =
      aNow + impl.options.initialReadDelay + Duration(impl.random() % delay);
  }
  for (const auto& it : aInputs.members) {
    if (it.id != impl.self) {
      impl.ReportConflict(it.configVersion, it.configHash, it.id, aActions);
    }
  }
  impl.UpdateReads(aNow, aInputs, aActions);
  impl.UpdatePulls(aNow, aInputs, aActions);
  impl.UpdateReadiness(aInputs, aNow);
}

void ConfigDistributor::OnServiceReadResult(const ServiceReadResult& aResult,
                                            TimePoint aNow,
                                            ConfigActions& aActions)
{
  auto& impl = *mImpl;
  impl.isReadOpen = false;
  if (aResult.status == ServiceReadStatus::Failed) {
    impl.BackOffReads(aNow);
    return;
  }
  if (aResult.status == ServiceReadStatus::NotModified) {
    impl.ScheduleNextRead(aNow);
    return;
  }
  auto result = impl.functions.validate(aResult.text);
  auto& document = result.document;
  if (document.version >
      std::max(impl.highestServiceVersion, impl.CurrentVersion())) {
    impl.highestServiceVersion = document.version;
    impl.ScheduleNextRead(aNow);
  } else {
    // The next read would immediately return the same document.
    impl.BackOffReads(aNow);
  }
  if (result.valid) {
    impl.Accept(std::move(document), "the service", aActions);
    return;
  }
  if (document.hash == ConfigHash{}) {
    document.hash = HashOfText(aResult.text);
  }
  impl.Reject(
    document.version, document.hash, "the service", result.reason, aActions);
}

void ConfigDistributor::OnPeerVersion(const InstanceId& aPeer,
                                      ConfigVersion aVersion)
{
  auto& impl = *mImpl;
  if (aVersion > impl.CurrentVersion()) {
    auto& known = impl.hintedVersions[aPeer];
    known = std::max(known, aVersion);
  }
}

void ConfigDistributor::Receive(const InstanceId& aFrom,
                                const ConfigPullMessage& aPull,
                                TimePoint /*aNow*/,
                                ConfigActions& aActions)
{
  auto& impl = *mImpl;
  if (!impl.currentDocument ||
      aPull.haveVersion >= impl.currentDocument->version) {
    return;
  }
  const auto& document = *impl.currentDocument;
  ConfigContentMessage content{ document.version, document.hash, 0, {} };
  const auto* base = impl.FindDocument(aPull.haveVersion);
  if (base != nullptr && base->hash == aPull.haveHash) {
    auto& patch = impl.patchesByBase[base->version];
    if (patch.empty()) {
      patch = impl.functions.makePatch(base->text, document.text);
    }
    if (!patch.empty() && patch.size() < document.text.size()) {
      content.baseVersion = base->version;
      content.text = patch;
    }
  }
  if (content.baseVersion == 0) {
    content.text = document.text;
  }
  aActions.messages.push_back({ aFrom, std::move(content) });
}

void ConfigDistributor::Receive(const InstanceId& aFrom,
                                const ConfigContentMessage& aContent,
                                TimePoint /*aNow*/,
                                ConfigActions& aActions)
{
  auto& impl = *mImpl;
  impl.ReportConflict(aContent.version, aContent.hash, aFrom, aActions);
  if (aContent.version <= impl.CurrentVersion() ||
      impl.IsInvalid(aContent.version, aContent.hash)) {
    return;
  }
  if (impl.openPull && impl.openPull->peer == aFrom) {
    impl.openPull.reset();
  }
  std::optional<std::string> text = aContent.text;
  if (aContent.baseVersion != 0) {
    const auto* base = impl.FindDocument(aContent.baseVersion);
    text = base == nullptr
             ? std::nullopt
             : impl.functions.applyPatch(base->text, aContent.text);
    if (!text) {
      impl.pullWholeDocument = true;
      return;
    }
  }
  auto result = impl.functions.validate(*text);
  const auto& document = result.document;
  const bool matchesStated =
    document.version == aContent.version && document.hash == aContent.hash;
  if (result.valid && matchesStated) {
    impl.Accept(std::move(result.document), aFrom, aActions);
    return;
  }
  if (aContent.baseVersion != 0) {
    // The patch yielded a different document, so the whole one is needed.
    impl.pullWholeDocument = true;
    return;
  }
  if (matchesStated) {
    impl.Reject(
      aContent.version, aContent.hash, aFrom, result.reason, aActions);
  } else if (impl.mismatchedContents.emplace(aFrom, aContent.version).second) {
    // Corrupt content does not make the document itself invalid.
    aActions.auditNotes.push_back(
      { AuditKind::ConfigRejected,
        aContent.version,
        fmt::format("from {}: the text does not match version and hash",
                    aFrom) });
  }
}

void ConfigDistributor::Rejoin()
{
  mImpl->majoritySince.reset();
  mImpl->isReady = false;
}

const ConfigDocument* ConfigDistributor::CurrentDocument() const noexcept
{
  return mImpl->currentDocument ? &*mImpl->currentDocument : nullptr;
}

bool ConfigDistributor::IsReady() const noexcept
{
  return mImpl->isReady;
}

} // namespace bronzedeal::process
