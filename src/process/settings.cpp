#include "bronzedeal/process/settings.hpp"

#include "bronzedeal/json_fields.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <limits>

namespace bronzedeal::process {

namespace {

constexpr std::uint64_t kMaxThreads = 64;
constexpr std::uint64_t kMaxMilliseconds = 600'000;

bool IsAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  boost::system::error_code ec;
  const auto ip =
    boost::asio::ip::make_address(std::string(aText.substr(0, colon)), ec);
  (void)ip;
  std::uint16_t port = 0;
  const auto* end = aText.data() + aText.size();
  const auto [rest, error] =
    std::from_chars(aText.data() + colon + 1, end, port);
  return !ec && error == std::errc{} && rest == end;
}

std::string ReadAddress(JsonFields& aFields, std::string_view aKey)
{
  auto text = aFields.ReadNonEmptyString(aKey);
  if (!text.empty() && !IsAddress(text)) {
    aFields.AddError(aKey, "an address IP:PORT");
  }
  return text;
}

Features ReadFeatures(const boost::json::value& aValue,
                      std::vector<FieldError>& aErrors)
{
  JsonFields fields(aValue, "/features", aErrors);
  Features features;
  fields.ReadBool("hedging", features.hedging);
  fields.ReadBool("canary", features.canary);
  fields.ReadBool("cold_ramp", features.coldRamp);
  fields.ReadBool("quarantine", features.quarantine);
  fields.ReadBool("admission", features.admission);
  fields.ReportUnknownFields();
  return features;
}

FaultInjection ReadFaultInjection(const boost::json::value& aValue,
                                  const std::string& aPointer,
                                  std::vector<FieldError>& aErrors)
{
  JsonFields fields(aValue, aPointer, aErrors);
  FaultInjection faults;
  fields.ReadInteger(
    "seed", faults.seed, 0, std::numeric_limits<std::int64_t>::max());
  if (const auto* links = fields.Read("links")) {
    if (!links->is_array()) {
      fields.AddError("links", "an array of links");
    } else {
      std::size_t n = 0;
      for (const auto& it : links->get_array()) {
        JsonFields link(
          it,
          JsonPointer(fields.PointerTo("links"), std::to_string(n++)),
          aErrors);
        LinkFault fault;
        fault.to = link.ReadNonEmptyString("to");
        link.ReadNumber("drop", fault.drop, 0, 1);
        link.ReadMilliseconds("delay_ms", fault.delay, 0, kMaxMilliseconds);
        link.ReportUnknownFields();
        faults.links.push_back(std::move(fault));
      }
    }
  }
  fields.ReportUnknownFields();
  return faults;
}

Result<boost::json::value> ParseJson(std::string_view aText)
{
  boost::system::error_code ec;
  auto value = boost::json::parse(
    boost::json::string_view(aText.data(), aText.size()), ec);
  if (ec) {
    return boost::leaf::new_error(
      Error{ ResultCode::InvalidJson, ec.message(), {} });
  }
  return value;
}

Error FieldsError(std::string aMessage, std::vector<FieldError> aErrors)
{
  return { ResultCode::InvalidField, std::move(aMessage), std::move(aErrors) };
}

} // namespace

Result<Settings> ParseSettings(std::string_view aJson)
{
  BOOST_LEAF_AUTO(value, ParseJson(aJson));
  std::vector<FieldError> errors;
  JsonFields fields(value, "", errors);
  Settings settings;
  settings.instance = fields.ReadNonEmptyString("instance");
  settings.httpAddress = ReadAddress(fields, "http");
  settings.adminAddress = ReadAddress(fields, "admin");
  settings.peerAddress = ReadAddress(fields, "peer");
  settings.platformAddress = ReadAddress(fields, "platform");
  settings.failureDomain = fields.ReadNonEmptyString("failure_domain");
  settings.region = fields.ReadNonEmptyString("region");
  fields.ReadInteger("threads", settings.threads, 1, kMaxThreads);
  if (const auto* level = fields.Read("log_level")) {
    const auto* text = level->if_string();
    if (text == nullptr || !ParseLogLevel(*text, settings.logLevel)) {
      fields.AddError("log_level", "info, warning or error");
    }
  }
  fields.ReadMilliseconds(
    "address_ttl_ms", settings.addressTtl, 100, kMaxMilliseconds);
  fields.ReadMilliseconds(
    "shutdown_linger_ms", settings.shutdownLinger, 0, kMaxMilliseconds);
  if (const auto* features = fields.Read("features")) {
    settings.features = ReadFeatures(*features, errors);
  }
  if (const auto* faults = fields.Read("fault_injection")) {
    settings.faultInjection =
      ReadFaultInjection(*faults, "/fault_injection", errors);
  }
  fields.ReportUnknownFields();
  // Lifetimes of cached addresses are jittered by up to 20%. A caller must not
  // keep an address for longer than the instance behind it serves requests.
  if (settings.shutdownLinger * 5 < settings.addressTtl * 6) {
    fields.AddError("shutdown_linger_ms", "at least 1.2 times address_ttl_ms");
  }
  if (!errors.empty()) {
    return boost::leaf::new_error(
      FieldsError("the settings contain invalid fields", std::move(errors)));
  }
  return settings;
}

Result<FaultInjection> ParseFaultInjection(std::string_view aJson)
{
  BOOST_LEAF_AUTO(value, ParseJson(aJson));
  std::vector<FieldError> errors;
  auto faults = ReadFaultInjection(value, "", errors);
  if (!errors.empty()) {
    return boost::leaf::new_error(
      FieldsError("the faults are invalid", std::move(errors)));
  }
  return faults;
}

} // namespace bronzedeal::process
