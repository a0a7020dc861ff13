#include "bronzedeal/process/settings.hpp"

#include "bronzedeal/json_fields.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>
#include <charconv>

namespace bronzedeal::process {

namespace {

constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxMilliseconds = 600'000;

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
  auto text = aFields.String(aKey);
  if (!text.empty() && !IsAddress(text)) {
    aFields.Report(aKey, "an address IP:PORT");
  }
  return text;
}

Features ReadFeatures(const boost::json::value& aValue,
                      std::vector<FieldError>& aErrors)
{
  JsonFields fields(aValue, "/features", aErrors);
  Features features;
  features.hedging = fields.Bool("hedging", true);
  features.canary = fields.Bool("canary", true);
  features.coldRamp = fields.Bool("cold_ramp", true);
  features.quarantine = fields.Bool("quarantine", true);
  features.admission = fields.Bool("admission", true);
  fields.Finish();
  return features;
}

FaultInjection ReadFaultInjection(const boost::json::value& aValue,
                                  const std::string& aPointer,
                                  std::vector<FieldError>& aErrors)
{
  JsonFields fields(aValue, aPointer, aErrors);
  FaultInjection faults;
  faults.seed = static_cast<std::uint64_t>(
    fields.Integer("seed", 1, 0, std::numeric_limits<std::int64_t>::max()));
  if (const auto* links = fields.Optional("links")) {
    if (!links->is_array()) {
      fields.Report("links", "an array of links");
    } else {
      std::size_t n = 0;
      for (const auto& it : links->get_array()) {
        JsonFields link(
          it, fields.PointerOf("links") + "/" + std::to_string(n++), aErrors);
        LinkFault fault;
        fault.to = link.String("to");
        fault.drop = link.Number("drop", 0, 0, 1);
        fault.delay =
          milliseconds(link.Integer("delay_ms", 0, 0, kMaxMilliseconds));
        link.Finish();
        faults.links.push_back(std::move(fault));
      }
    }
  }
  fields.Finish();
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
  settings.instance = fields.String("instance");
  settings.httpAddress = ReadAddress(fields, "http");
  settings.adminAddress = ReadAddress(fields, "admin");
  settings.peerAddress = ReadAddress(fields, "peer");
  settings.platformAddress = ReadAddress(fields, "platform");
  settings.failureDomain = fields.String("failure_domain");
  settings.region = fields.String("region");
  settings.threads =
    static_cast<unsigned>(fields.Integer("threads", 2, 1, kMaxThreads));
  if (!ParseLogLevel(fields.String("log_level", "info"), settings.logLevel)) {
    fields.Report("log_level", "info, warning or error");
  }
  settings.addressTtl = milliseconds(
    fields.Integer("address_ttl_ms", 10'000, 100, kMaxMilliseconds));
  settings.shutdownLinger = milliseconds(
    fields.Integer("shutdown_linger_ms", 12'000, 0, kMaxMilliseconds));
  if (const auto* features = fields.Optional("features")) {
    settings.features = ReadFeatures(*features, errors);
  }
  if (const auto* faults = fields.Optional("fault_injection")) {
    settings.faultInjection =
      ReadFaultInjection(*faults, "/fault_injection", errors);
  }
  fields.Finish();
  // Lifetimes are jittered by up to 20%; a caller must never keep an address
  // longer than the instance behind it serves.
  if (settings.shutdownLinger * 5 < settings.addressTtl * 6) {
    fields.Report("shutdown_linger_ms", "at least 1.2 times address_ttl_ms");
  }
  if (!errors.empty()) {
    return boost::leaf::new_error(
      FieldsError("the settings are invalid", std::move(errors)));
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
