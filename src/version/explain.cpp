#include "bronzedeal/version/explain.hpp"

#include "json_reader.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <fmt/format.h>

namespace bronzedeal::version {

namespace json = boost::json;

namespace {

/// Decides on one replica by the selectors that match caller and request.
ServerExplanation ExplainServer(const Document& aDocument,
                                const std::vector<std::size_t>& aMatching,
                                const Labels& aTarget,
                                const ServerInfo& aServer)
{
  ServerExplanation result;
  result.server = aServer.id;
  result.failureDomain = aServer.failureDomain;
  result.slice = aServer.slice;
  std::string why;
  for (const auto n : aMatching) {
    const auto& selector = aDocument.selectors[n];
    const auto reason = selector.targets.WhyNot(aTarget);
    if (!reason) {
      result.permitted = true;
      result.selector = selector.name;
      return result;
    }
    if (!why.empty()) {
      why += "; ";
    }
    why += fmt::format("{}: {}", selector.name, *reason);
  }
  result.why = std::move(why);
  return result;
}

} // namespace

Explanation Explain(const Snapshot& aSnapshot,
                    const Labels& aCaller,
                    const Labels& aRequest)
{
  const auto& document = aSnapshot.Content();
  Explanation result;
  result.configVersion = document.version;
  result.indexVersion = document.index.serving;
  const auto& shards = document.index.versions.at(document.index.serving);

  std::vector<std::size_t> matching;
  for (std::size_t n = 0; n < document.selectors.size(); ++n) {
    const auto& selector = document.selectors[n];
    auto& it = result.selectors.emplace_back();
    it.name = selector.name;
    it.targets = selector.targets.Text();
    if (const auto caller = selector.callers.WhyNot(aCaller)) {
      it.why = "caller: " + *caller;
    } else if (const auto request = selector.requests.WhyNot(aRequest)) {
      it.why = "request: " + *request;
    } else {
      it.matches = true;
      matching.push_back(n);
    }
    for (const auto& shard : shards) {
      it.shards += aSnapshot.InScope(shard.first, n) ? 1 : 0;
    }
  }

  for (const auto& [id, shard] : shards) {
    bool inScope = false;
    for (const auto n : matching) {
      inScope = inScope || aSnapshot.InScope(id, n);
    }
    if (!inScope) {
      continue;
    }
    auto& it = result.shards.emplace_back();
    it.shard = id;
    it.service = shard.service;
    const auto& service = document.services.at(shard.service);
    for (const auto* labels : { &service.labels, &shard.labels }) {
      if (const auto group = labels->find("group"); group != labels->end()) {
        it.group = group->second;
      }
    }
    for (const auto& server : service.servers) {
      const auto* info = aSnapshot.FindServer(server.first);
      it.servers.push_back(ExplainServer(
        document, matching, aSnapshot.TargetLabels(id, shard, *info), *info));
    }
  }
  if (!result.shards.empty()) {
    result.code = ResultCode::Ok;
  }
  return result;
}

std::string ToJson(const Explanation& aExplanation)
{
  json::array selectors;
  for (const auto& it : aExplanation.selectors) {
    selectors.push_back(json::object{ { "name", it.name },
                                      { "matches", it.matches },
                                      { "why", it.why },
                                      { "targets", it.targets },
                                      { "shards", it.shards } });
  }
  json::array shards;
  for (const auto& it : aExplanation.shards) {
    json::array servers;
    for (const auto& server : it.servers) {
      servers.push_back(
        json::object{ { "server", server.server },
                      { "failure_domain", server.failureDomain },
                      { "slice", ToString(server.slice) },
                      { "permitted", server.permitted },
                      { "selector", server.selector },
                      { "why", server.why } });
    }
    shards.push_back(json::object{ { "shard", it.shard },
                                   { "service", it.service },
                                   { "group", it.group },
                                   { "servers", std::move(servers) } });
  }
  return json::serialize(
    json::object{ { "code", static_cast<int>(aExplanation.code) },
                  { "code_name", Describe(aExplanation.code).name },
                  { "config_version", aExplanation.configVersion },
                  { "index_version", aExplanation.indexVersion },
                  { "selectors", std::move(selectors) },
                  { "shards", std::move(shards) } });
}

Result<ExplainRequest> ParseExplainRequest(std::string_view aText)
{
  json::error_code ec;
  const auto value = json::parse(aText, ec);
  if (ec) {
    return boost::leaf::new_error(
      Error{ ResultCode::InvalidJson,
             "the body is not valid JSON: " + ec.message(),
             {} });
  }
  Error error;
  JsonFields reader(value, "", error.fields);
  ExplainRequest result;
  result.caller = TakeLabels(reader, "caller", true);
  result.request = TakeLabels(reader, "request", true);
  reader.ReportUnknownFields();
  if (!error.fields.empty()) {
    error.code = ResultCode::InvalidField;
    error.message = "the body has invalid fields";
    return boost::leaf::new_error(std::move(error));
  }
  return result;
}

} // namespace bronzedeal::version
