#pragma once

#include "bronzedeal/gateway/http_message.hpp"
#include "bronzedeal/gateway/metadata_source.hpp"
#include "bronzedeal/gateway/settings.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::gateway {

/// Result of reading the settings again.
struct SettingsReload
{
  /// The new settings; absent when they have not changed or are not valid.
  std::optional<Settings> settings;
  /// Why the changed settings are not valid; empty otherwise.
  std::string error;
};

/// Interface of a platform adapter, which supplies the names, formats and calls
/// that are specific to a platform.
class Platform
{
public:
  Platform() = default;
  virtual ~Platform() = default;
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  /// Creates the client of the metadata service, which runs on `aContext`.
  [[nodiscard]] virtual std::unique_ptr<MetadataSource> OpenMetadata(
    boost::asio::io_context& aContext,
    const Settings& aSettings) = 0;

  /// Reads the settings again; called periodically and on SIGHUP.
  [[nodiscard]] virtual SettingsReload ReloadSettings() = 0;

  /// Whether a request target, with or without a query, asks for the readiness
  /// of the instance.
  [[nodiscard]] virtual bool IsReadinessTarget(
    std::string_view aTarget) const = 0;
  /// Whether a request target, with or without a query, asks for the addresses
  /// of instances.
  [[nodiscard]] virtual bool IsAddressTarget(
    std::string_view aTarget) const = 0;

  /// Encodes the reply with the addresses (`ip:port`) that callers should use,
  /// and how long they may cache it.
  [[nodiscard]] virtual CallerReply EncodeAddresses(
    const std::vector<std::string>& aAddresses,
    milliseconds aTtl) const = 0;
};

} // namespace bronzedeal::gateway
