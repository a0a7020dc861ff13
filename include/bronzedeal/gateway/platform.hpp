#pragma once

#include "bronzedeal/gateway/http_message.hpp"
#include "bronzedeal/gateway/metadata_source.hpp"
#include "bronzedeal/gateway/settings.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzedeal::gateway {

/// Result of looking at the settings again.
struct SettingsReload
{
  /// Present when the settings have changed and are valid.
  std::optional<Settings> settings;
  /// Why changed settings are not valid; empty otherwise.
  std::string error;
};

/// What an adapter tells the gateway of its platform: names, formats and calls.
class Platform
{
public:
  Platform() = default;
  virtual ~Platform() = default;
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  /// The metadata service, reached through the gateway's context.
  [[nodiscard]] virtual std::unique_ptr<MetadataSource> OpenMetadata(
    boost::asio::io_context& aContext,
    const Settings& aSettings) = 0;

  [[nodiscard]] virtual SettingsReload ReloadSettings() = 0;

  [[nodiscard]] virtual bool IsReadinessTarget(
    std::string_view aTarget) const = 0;
  [[nodiscard]] virtual bool IsAddressTarget(
    std::string_view aTarget) const = 0;

  /// The answer with the addresses (`ip:port`) that callers should use.
  [[nodiscard]] virtual CallerReply EncodeAddresses(
    const std::vector<std::string>& aAddresses,
    milliseconds aTtl) const = 0;
};

} // namespace bronzedeal::gateway
