#include "bronzedeal/version/merge_patch.hpp"

#include "document_json.hpp"
#include "json_reader.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

namespace bronzedeal::version {

namespace json = boost::json;

json::value ApplyMergePatch(json::value aTarget, const json::value& aPatch)
{
  const auto* patch = aPatch.if_object();
  if (patch == nullptr) {
    return aPatch;
  }
  if (!aTarget.is_object()) {
    aTarget = json::object{};
  }
  auto& target = aTarget.get_object();
  for (const auto& it : *patch) {
    if (it.value().is_null()) {
      target.erase(it.key());
    } else {
      auto& value = target[it.key()];
      value = ApplyMergePatch(std::move(value), it.value());
    }
  }
  return aTarget;
}

json::value MakeMergePatch(const json::value& aFrom, const json::value& aTo)
{
  const auto* from = aFrom.if_object();
  const auto* to = aTo.if_object();
  if (from == nullptr || to == nullptr) {
    return aTo;
  }
  json::object result;
  for (const auto& it : *from) {
    if (!to->contains(it.key())) {
      result.emplace(it.key(), nullptr);
    }
  }
  for (const auto& it : *to) {
    const auto* former = from->if_contains(it.key());
    if (former == nullptr) {
      result.emplace(it.key(), it.value());
    } else if (*former != it.value()) {
      result.emplace(it.key(), MakeMergePatch(*former, it.value()));
    }
  }
  return result;
}

std::string MakeMergePatch(const Document& aFrom, const Document& aTo)
{
  return json::serialize(MakeMergePatch(ToJson(aFrom), ToJson(aTo)));
}

Result<Document> ApplyMergePatch(const Document& aFrom, std::string_view aPatch)
{
  json::error_code ec;
  const auto patch = json::parse(aPatch, ec);
  if (ec) {
    return boost::leaf::new_error(
      Error{ ResultCode::InvalidJson,
             "the merge patch is not valid JSON: " + ec.message(),
             {} });
  }
  Error error;
  auto result = FromJson(ApplyMergePatch(ToJson(aFrom), patch), error);
  if (!result) {
    return boost::leaf::new_error(std::move(error));
  }
  return std::move(*result);
}

} // namespace bronzedeal::version
