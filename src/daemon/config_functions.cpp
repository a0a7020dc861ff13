#include "config_functions.hpp"

#include "bronzedeal/version/changes.hpp"
#include "bronzedeal/version/merge_patch.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace bronzedeal::daemon {

namespace json = boost::json;
using process::AuditKind;

namespace {

// Findings and differences named in one audit event.
constexpr std::size_t kMaxListedItems = 20;

json::value ParseJson(std::string_view aText, boost::system::error_code& aError)
{
  return json::parse(json::string_view(aText.data(), aText.size()), aError);
}

/// The version of a document that may be invalid otherwise; 0 when it has none.
ConfigVersion VersionOf(std::string_view aText)
{
  boost::system::error_code ec;
  const auto value = ParseJson(aText, ec);
  const auto* object = ec ? nullptr : value.if_object();
  const auto* version =
    object == nullptr ? nullptr : object->if_contains("version");
  if (version == nullptr) {
    return 0;
  }
  const auto n = version->to_number<ConfigVersion>(ec);
  return ec ? 0 : n;
}

std::string FormatError(const Error& aError)
{
  std::string buf = aError.message;
  std::size_t n = 0;
  for (const auto& it : aError.fields) {
    if (n++ == kMaxListedItems) {
      buf +=
        fmt::format("; and {} more", aError.fields.size() - kMaxListedItems);
      break;
    }
    buf +=
      fmt::format("; {}: {} seen, {} allowed", it.pointer, it.seen, it.allowed);
  }
  return buf;
}

process::ValidationResult Validate(std::string_view aText)
{
  process::ValidationResult result;
  Error error;
  const auto document = version::ParseDocument(aText, error);
  result.valid = document.has_value();
  if (document) {
    result.document.version = document->version;
    result.document.text = version::CanonicalText(*document);
    result.document.hash = version::HashOfText(result.document.text);
  } else {
    result.document.version = VersionOf(aText);
    result.document.hash = version::HashOfText(aText);
    result.reason = FormatError(error);
  }
  return result;
}

std::string MakePatch(std::string_view aFrom, std::string_view aTo)
{
  boost::system::error_code ec;
  const auto from = ParseJson(aFrom, ec);
  const auto to = ParseJson(aTo, ec);
  return json::serialize(version::MakeMergePatch(from, to));
}

std::optional<std::string> ApplyPatch(std::string_view aText,
                                      std::string_view aPatch)
{
  boost::system::error_code ec;
  auto target = ParseJson(aText, ec);
  const auto patch = ParseJson(aPatch, ec);
  if (ec) {
    return std::nullopt;
  }
  return json::serialize(version::ApplyMergePatch(std::move(target), patch));
}

} // namespace

process::ConfigFunctions MakeConfigFunctions()
{
  return { Validate, MakePatch, ApplyPatch };
}

std::vector<process::AuditNote> MakeChangeNotes(
  const version::Snapshot* aPrevious,
  const version::Snapshot& aSnapshot)
{
  const auto& content = aSnapshot.Content();
  std::vector<process::AuditNote> notes;
  notes.push_back({ AuditKind::ConfigAccepted,
                    aSnapshot.Version(),
                    fmt::format("hash {}, changed by {} at {}",
                                version::ToString(aSnapshot.Hash()),
                                content.changedBy,
                                content.changedAt) });
  if (aPrevious == nullptr) {
    return notes;
  }
  const auto changes = version::DescribeChanges(aPrevious->Content(), content);
  for (std::size_t n = 0; n < changes.size() && n < kMaxListedItems; ++n) {
    notes.push_back(
      { AuditKind::ConfigAccepted, aSnapshot.Version(), changes[n] });
  }
  if (changes.size() > kMaxListedItems) {
    notes.push_back({ AuditKind::ConfigAccepted,
                      aSnapshot.Version(),
                      fmt::format("and {} further changes",
                                  changes.size() - kMaxListedItems) });
  }
  return notes;
}

} // namespace bronzedeal::daemon
