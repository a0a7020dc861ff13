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

using DocumentKey = std::pair<ConfigVersion, ConfigHash>;

struct Pull
{
  InstanceId peer;
  ConfigVersion version = 0;
  TimePoint sent;
};

std::string Hex(const ConfigHash& aHash)
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

// The rendezvous order of a window; equal hashes are ordered by id.
std::pair<std::uint64_t, std::string_view> ReaderRank(std::uint64_t aWindow,
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
                    [&](const auto& aL, const auto& aR) {
                      return ReaderRank(aWindow, aL) < ReaderRank(aWindow, aR);
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
  std::optional<ConfigDocument> current;
  std::deque<ConfigDocument> former;
  /// Patches to the document in force, by base version.
  std::map<ConfigVersion, std::string> patches;
  std::deque<DocumentKey> invalid;
  std::set<DocumentKey> conflicts;
  /// Peers whose content did not match its version and hash.
  std::set<std::pair<InstanceId, ConfigVersion>> mismatched;
  std::map<InstanceId, ConfigVersion> hints;
  std::optional<Pull> pull;
  InstanceId lastPeer;
  bool wantWhole = false;
  /// Highest version that the service has returned, valid or not.
  ConfigVersion serviceVersion = 0;
  bool reading = false;
  TimePoint readStart;
  std::optional<TimePoint> nextRead;
  Duration backoff{ 0 };
  std::optional<TimePoint> started;
  std::optional<TimePoint> freshReadAt;
  std::optional<TimePoint> notReaderSince;
  std::optional<TimePoint> majoritySince;
  bool ready = false;

  ConfigVersion Version() const { return current ? current->version : 0; }

  bool IsInvalid(ConfigVersion aVersion, const ConfigHash& aHash) const
  {
    return std::find(invalid.begin(),
                     invalid.end(),
                     DocumentKey{ aVersion, aHash }) != invalid.end();
  }

  bool IsInvalid(ConfigVersion aVersion) const
  {
    return std::any_of(invalid.begin(), invalid.end(), [&](const auto& aIt) {
      return aIt.first == aVersion;
    });
  }

  void Remember(ConfigVersion aVersion, const ConfigHash& aHash)
  {
    if (IsInvalid(aVersion, aHash)) {
      return;
    }
    if (invalid.size() >= options.maxInvalidDocuments) {
      invalid.pop_front();
    }
    invalid.emplace_back(aVersion, aHash);
  }

  void CheckConflict(ConfigVersion aVersion,
                     const ConfigHash& aHash,
                     std::string_view aSource,
                     ConfigActions& aActions)
  {
    if (!current || aVersion != current->version || aHash == current->hash ||
        !conflicts.emplace(aVersion, aHash).second) {
      return;
    }
    aActions.auditNotes.push_back(
      { AuditKind::ConfigConflict,
        aVersion,
        fmt::format("{} has version {} with hash {}, {} is in force",
                    aSource,
                    aVersion,
                    Hex(aHash),
                    Hex(current->hash)) });
  }

  void Accept(ConfigDocument aDocument,
              std::string_view aSource,
              ConfigActions& aActions)
  {
    CheckConflict(aDocument.version, aDocument.hash, aSource, aActions);
    if (current && aDocument.version <= current->version) {
      return;
    }
    if (current) {
      former.push_back(std::move(*current));
      if (former.size() > options.maxFormerDocuments) {
        former.pop_front();
      }
    }
    current = std::move(aDocument);
    patches.clear();
    conflicts.clear();
    mismatched.clear();
    pull.reset();
    wantWhole = false;
    std::erase_if(
      hints, [&](const auto& aIt) { return aIt.second <= current->version; });
    aActions.accepted.push_back(*current);
    aActions.auditNotes.push_back({ AuditKind::ConfigAccepted,
                                    current->version,
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
    Remember(aVersion, aHash);
    aActions.auditNotes.push_back(
      { AuditKind::ConfigRejected,
        aVersion,
        fmt::format("from {}: {}", aSource, aReason) });
  }

  const ConfigDocument* Known(ConfigVersion aVersion) const
  {
    if (current && current->version == aVersion) {
      return &*current;
    }
    const auto it =
      std::find_if(former.begin(), former.end(), [&](const auto& aIt) {
        return aIt.version == aVersion;
      });
    return it == former.end() ? nullptr : &*it;
  }

  static bool IsLive(const Member& aMember)
  {
    return aMember.status == MemberStatus::Alive ||
           aMember.status == MemberStatus::Suspect;
  }

  bool IsReader(const ConfigInputs& aInputs, TimePoint aNow)
  {
    if (!current && aNow >= *freshReadAt) {
      return true;
    }
    const bool grace = aNow - *started < options.startupGrace;
    // Counts the members before this one without building the list.
    const auto own = ReaderRank(aInputs.readerWindow, self);
    std::size_t before = 0;
    for (const auto& it : aInputs.members) {
      const bool live =
        it.id != self && IsLive(it) && (it.incarnation != 0 || grace);
      before += live && ReaderRank(aInputs.readerWindow, it.id) < own ? 1 : 0;
    }
    return before < options.readerCount;
  }

  void TickReads(TimePoint aNow,
                 const ConfigInputs& aInputs,
                 ConfigActions& aActions)
  {
    if (reading &&
        aNow - readStart >= options.longPollWait + options.readTimeoutMargin) {
      reading = false;
      aActions.cancelRead = true;
      BackOff(aNow);
    }
    if (IsReader(aInputs, aNow)) {
      notReaderSince.reset();
      if (!reading && (!nextRead || aNow >= *nextRead)) {
        reading = true;
        readStart = aNow;
        aActions.read = ServiceRead{ std::max(Version(), serviceVersion),
                                     options.longPollWait };
      }
      return;
    }
    if (!reading) {
      return;
    }
    if (!notReaderSince) {
      notReaderSince = aNow;
    }
    if (aNow - *notReaderSince >= options.formerReadLinger) {
      reading = false;
      aActions.cancelRead = true;
    }
  }

  void TickPulls(TimePoint aNow,
                 const ConfigInputs& aInputs,
                 ConfigActions& aActions)
  {
    if (pull) {
      if (aNow - pull->sent < options.pullTimeout) {
        return;
      }
      hints.erase(pull->peer);
      pull.reset();
    }
    ConfigVersion highest = Version();
    std::vector<InstanceId> peers;
    const auto consider = [&](const InstanceId& aPeer, ConfigVersion aVersion) {
      if (aPeer == self || aVersion < highest || aVersion <= Version() ||
          mismatched.contains({ aPeer, aVersion })) {
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
    for (const auto& [peer, version] : hints) {
      if (!IsInvalid(version)) {
        consider(peer, version);
      }
    }
    if (peers.size() > 1) {
      std::erase(peers, lastPeer);
    }
    if (peers.empty()) {
      return;
    }
    lastPeer = peers[random() % peers.size()];
    pull = Pull{ lastPeer, highest, aNow };
    ConfigPullMessage message;
    if (current && !wantWhole) {
      message = { current->version, current->hash };
    }
    aActions.messages.push_back({ lastPeer, message });
  }

  void BackOff(TimePoint aNow)
  {
    backoff =
      std::clamp<Duration>(backoff * 2, options.backoffMin, options.backoffMax);
    const auto half = static_cast<std::uint64_t>(backoff.count() / 2) + 1;
    nextRead = aNow + backoff / 2 + Duration(random() % half);
  }

  void Continue(TimePoint aNow)
  {
    backoff = Duration(0);
    nextRead = std::max(aNow, readStart + options.minReadInterval);
  }

  void CheckReady(const ConfigInputs& aInputs, TimePoint aNow)
  {
    if (ready) {
      return;
    }
    const auto& contact = aInputs.contact;
    if (!majoritySince && MajorityHasReported(contact)) {
      majoritySince = aNow;
    }
    if (!current || !majoritySince ||
        (contact.reported < contact.rosterSize &&
         aNow - *majoritySince < options.joinDelay)) {
      return;
    }
    ready = std::none_of(
      aInputs.members.begin(), aInputs.members.end(), [&](const auto& aIt) {
        return aIt.status != MemberStatus::Dead &&
               aIt.configVersion > Version() &&
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
  if (!impl.started) {
    impl.started = aNow;
    const auto delay = static_cast<std::uint64_t>(
      std::max<Duration::rep>(impl.options.initialReadDelay.count(), 1));
    impl.freshReadAt =
      aNow + impl.options.initialReadDelay + Duration(impl.random() % delay);
  }
  for (const auto& it : aInputs.members) {
    if (it.id != impl.self) {
      impl.CheckConflict(it.configVersion, it.configHash, it.id, aActions);
    }
  }
  impl.TickReads(aNow, aInputs, aActions);
  impl.TickPulls(aNow, aInputs, aActions);
  impl.CheckReady(aInputs, aNow);
}

void ConfigDistributor::OnServiceReadResult(const ServiceReadResult& aAnswer,
                                            TimePoint aNow,
                                            ConfigActions& aActions)
{
  auto& impl = *mImpl;
  impl.reading = false;
  if (aAnswer.status == ServiceReadStatus::Failed) {
    impl.BackOff(aNow);
    return;
  }
  if (aAnswer.status == ServiceReadStatus::NotModified) {
    impl.Continue(aNow);
    return;
  }
  auto result = impl.functions.validate(aAnswer.text);
  auto& document = result.document;
  if (document.version > std::max(impl.serviceVersion, impl.Version())) {
    impl.serviceVersion = document.version;
    impl.Continue(aNow);
  } else {
    // The next read would return the same text at once.
    impl.BackOff(aNow);
  }
  if (result.valid) {
    impl.Accept(std::move(document), "the service", aActions);
    return;
  }
  if (document.hash == ConfigHash{}) {
    document.hash = HashOfText(aAnswer.text);
  }
  impl.Reject(
    document.version, document.hash, "the service", result.reason, aActions);
}

void ConfigDistributor::OnPeerVersion(const InstanceId& aPeer,
                                      ConfigVersion aVersion)
{
  auto& impl = *mImpl;
  if (aVersion > impl.Version()) {
    auto& known = impl.hints[aPeer];
    known = std::max(known, aVersion);
  }
}

void ConfigDistributor::Receive(const InstanceId& aFrom,
                                const ConfigPullMessage& aPull,
                                TimePoint /*aNow*/,
                                ConfigActions& aActions)
{
  auto& impl = *mImpl;
  if (!impl.current || aPull.haveVersion >= impl.current->version) {
    return;
  }
  const auto& current = *impl.current;
  ConfigContentMessage content{ current.version, current.hash, 0, {} };
  const auto* base = impl.Known(aPull.haveVersion);
  if (base != nullptr && base->hash == aPull.haveHash) {
    auto& patch = impl.patches[base->version];
    if (patch.empty()) {
      patch = impl.functions.makePatch(base->text, current.text);
    }
    if (!patch.empty() && patch.size() < current.text.size()) {
      content.baseVersion = base->version;
      content.text = patch;
    }
  }
  if (content.baseVersion == 0) {
    content.text = current.text;
  }
  aActions.messages.push_back({ aFrom, std::move(content) });
}

void ConfigDistributor::Receive(const InstanceId& aFrom,
                                const ConfigContentMessage& aContent,
                                TimePoint /*aNow*/,
                                ConfigActions& aActions)
{
  auto& impl = *mImpl;
  impl.CheckConflict(aContent.version, aContent.hash, aFrom, aActions);
  if (aContent.version <= impl.Version() ||
      impl.IsInvalid(aContent.version, aContent.hash)) {
    return;
  }
  if (impl.pull && impl.pull->peer == aFrom) {
    impl.pull.reset();
  }
  std::optional<std::string> text = aContent.text;
  if (aContent.baseVersion != 0) {
    const auto* base = impl.Known(aContent.baseVersion);
    text = base == nullptr
             ? std::nullopt
             : impl.functions.applyPatch(base->text, aContent.text);
    if (!text) {
      impl.wantWhole = true;
      return;
    }
  }
  auto result = impl.functions.validate(*text);
  const auto& document = result.document;
  const bool same =
    document.version == aContent.version && document.hash == aContent.hash;
  if (result.valid && same) {
    impl.Accept(std::move(result.document), aFrom, aActions);
    return;
  }
  if (aContent.baseVersion != 0) {
    // The patch gave another document; the whole one decides.
    impl.wantWhole = true;
    return;
  }
  if (same) {
    impl.Reject(
      aContent.version, aContent.hash, aFrom, result.reason, aActions);
  } else if (impl.mismatched.emplace(aFrom, aContent.version).second) {
    // Damaged content says nothing about the document itself.
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
  mImpl->ready = false;
}

const ConfigDocument* ConfigDistributor::CurrentDocument() const noexcept
{
  return mImpl->current ? &*mImpl->current : nullptr;
}

bool ConfigDistributor::IsReady() const noexcept
{
  return mImpl->ready;
}

} // namespace bronzedeal::process
