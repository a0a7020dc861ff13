#pragma once

#include "bronzedeal/process/messages.hpp"
#include "bronzedeal/request/attempt.hpp"
#include "bronzedeal/request/quarantine.hpp"

#include <optional>

namespace bronzedeal::peer {
class Envelope;
class QuarantineNotice;
class ServerLoad;
} // namespace bronzedeal::peer

namespace bronzedeal::daemon {

/// The envelope of a control message; sender and receiver are filled in by the
/// transport.
[[nodiscard]] peer::Envelope Encode(const process::Message& aMessage);

/// The control message of an envelope; nullopt for other bodies, for numbers
/// out of range and for hashes of another size.
[[nodiscard]] std::optional<process::Message> Decode(
  const peer::Envelope& aEnvelope);

void Encode(const request::ServerLoad& aLoad, peer::ServerLoad& aOut);
[[nodiscard]] request::ServerLoad Decode(const peer::ServerLoad& aLoad);

void Encode(const request::QuarantineEntry& aEntry,
            peer::QuarantineNotice& aOut);
[[nodiscard]] std::vector<request::QuarantineEntry> Decode(
  const peer::QuarantineNotice& aNotice);

/// False when the bytes are not a fingerprint.
[[nodiscard]] bool DecodeFingerprint(std::string_view aBytes,
                                     request::Fingerprint& aOut) noexcept;
[[nodiscard]] std::string_view EncodeFingerprint(
  const request::Fingerprint& aFingerprint) noexcept;

} // namespace bronzedeal::daemon
