#include "bronzedeal/request/caller_request.hpp"

#include "bronzedeal/json_fields.hpp"
#include "json_text.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <initializer_list>
#include <iterator>
#include <utility>

namespace bronzedeal::request {

namespace json = boost::json;

namespace {

using enum ResultCode;

constexpr std::size_t kMaxLabels = 64;
/// The limit of Kubernetes, whose selector syntax matches the labels.
constexpr std::size_t kMaxLabelLength = 63;
constexpr std::size_t kMaxShardNameBytes = 128;

bool IsLabelText(std::string_view aText, std::string_view aExtraChars) noexcept
{
  return aText.size() <= kMaxLabelLength &&
         std::all_of(aText.begin(), aText.end(), [aExtraChars](char aChar) {
           return (aChar >= 'a' && aChar <= 'z') ||
                  (aChar >= 'A' && aChar <= 'Z') ||
                  (aChar >= '0' && aChar <= '9') ||
                  aExtraChars.find(aChar) != std::string_view::npos;
         });
}

boost::leaf::error_id NewError(ResultCode aCode, std::string aMessage)
{
  return boost::leaf::new_error(Error{ aCode, std::move(aMessage), {} });
}

Result<json::value> ParseBody(std::string_view aBody)
{
  if (aBody.size() > kMaxBodyBytes) {
    return NewError(BodyTooLarge,
                    fmt::format("the body has {} bytes; at most {} are allowed",
                                aBody.size(),
                                kMaxBodyBytes));
  }
  json::parse_options options;
  options.max_depth = kMaxNestingDepth;
  json::error_code ec;
  auto value =
    json::parse(json::string_view(aBody.data(), aBody.size()), ec, {}, options);
  if (ec) {
    return NewError(InvalidJson, "the body is not valid JSON: " + ec.message());
  }
  return value;
}

/// Parses a server's answer; returns an empty object when it is not a JSON
/// object.
json::value ParseServerAnswer(std::string_view aBody)
{
  json::parse_options options;
  options.max_depth = kMaxNestingDepth;
  json::error_code ec;
  auto value =
    json::parse(json::string_view(aBody.data(), aBody.size()), ec, {}, options);
  return !ec && value.is_object() ? value : json::value(json::object_kind);
}

/// Reads the fields of one body and collects all errors in them.
class FieldReader
{
public:
  explicit FieldReader(const json::value& aBody)
    : mFields(aBody, "", mError.fields)
  {
  }

  Labels ReadLabels(std::string_view aName, bool aKindRequired)
  {
    Labels labels;
    const auto* value = mFields.Read(aName, true, kRequired);
    if (value == nullptr) {
      return labels;
    }
    const auto* object = value->if_object();
    if (object == nullptr || object->size() > kMaxLabels) {
      mFields.AddError(aName, "an object of at most 64 labels");
      return labels;
    }
    const auto pointer = mFields.PointerTo(aName);
    for (const auto& it : *object) {
      const auto* text = it.value().if_string();
      if (it.key().empty() || !IsLabelText(it.key(), "._-/")) {
        AddError(JsonPointer(pointer, it.key()),
                 it.value(),
                 "a name of 1 to 63 characters of A-Z, a-z, 0-9 and ._-/");
      } else if (text == nullptr || !IsLabelText(*text, "._-")) {
        AddError(JsonPointer(pointer, it.key()),
                 it.value(),
                 "a string of at most 63 characters of A-Z, a-z, 0-9 and ._-");
      } else {
        labels.emplace(it.key(), *text);
      }
    }
    if (aKindRequired && !object->contains("kind")) {
      AddError(pointer + "/kind", nullptr, kRequired);
    } else if (aKindRequired && labels.contains("kind") &&
               labels.find("kind")->second.empty()) {
      AddError(pointer + "/kind", "", "a string that is not empty");
    }
    return labels;
  }

  milliseconds ReadDeadline()
  {
    const auto* value = mFields.Read("deadline_ms");
    if (value == nullptr) {
      return kDefaultDeadline;
    }
    json::error_code ec;
    const auto n = value->is_number() ? value->to_number<std::int64_t>(ec) : 0;
    if (ec || n < 1 || n > kMaxDeadline.count()) {
      mFields.AddError("deadline_ms", "an integer from 1 to 10000");
      return kDefaultDeadline;
    }
    return milliseconds(n);
  }

  double ReadCoverage()
  {
    const auto* value = mFields.Read("min_coverage");
    if (value == nullptr) {
      return 0;
    }
    json::error_code ec;
    const auto n = value->is_number() ? value->to_number<double>(ec) : -1;
    if (ec || !(n >= 0 && n <= 1)) {
      mFields.AddError("min_coverage", "a number from 0 to 1");
      return 0;
    }
    return n;
  }

  std::string ReadShard()
  {
    const auto* value = mFields.Read("shard", true, kRequired);
    if (value == nullptr) {
      return {};
    }
    const auto* text = value->if_string();
    if (text == nullptr || text->empty() || text->size() > kMaxShardNameBytes) {
      mFields.AddError("shard", "a string of 1 to 128 bytes");
      return {};
    }
    return { text->data(), text->size() };
  }

  TicketId ReadTicket()
  {
    const auto* value = mFields.Read("ticket", true, kRequired);
    if (value == nullptr) {
      return {};
    }
    TicketId ticket;
    const auto* text = value->if_string();
    const bool valid =
      text != nullptr && boost::leaf::try_handle_all(
                           [&]() -> Result<bool> {
                             BOOST_LEAF_ASSIGN(ticket, ParseTicket(*text));
                             return true;
                           },
                           [] { return false; });
    if (!valid) {
      mFields.AddError("ticket",
                       "a ticket of the form instance.incarnation.number");
      mInvalidTickets = 1;
    }
    return ticket;
  }

  std::string ReadJson(std::string_view aName, std::string_view aBody)
  {
    return mFields.Read(aName, true, kRequired) == nullptr
             ? std::string{}
             : CanonicalText(MemberText(aBody, aName));
  }

  /// Adds an error for each unknown field. Returns one error when there is any:
  /// `InvalidField` takes precedence over `UnknownField`, and both over
  /// `InvalidTicket`, which is returned only when nothing else is wrong.
  Result<void> Finish()
  {
    const auto invalid = mError.fields.size();
    mFields.ReportUnknownFields();
    if (mError.fields.empty()) {
      return {};
    }
    if (invalid > mInvalidTickets) {
      mError.code = InvalidField;
    } else {
      mError.code =
        mError.fields.size() > invalid ? UnknownField : InvalidTicket;
    }
    mError.message = fmt::format("{} invalid field(s); the first is {}: {}",
                                 mError.fields.size(),
                                 mError.fields.front().pointer,
                                 mError.fields.front().allowed);
    return boost::leaf::new_error(std::move(mError));
  }

private:
  static constexpr std::string_view kRequired = "required";

  void AddError(std::string aPointer,
                const json::value& aSeen,
                std::string_view aAllowed)
  {
    mError.fields.push_back(
      { std::move(aPointer), ToShortJson(aSeen), std::string(aAllowed) });
  }

  Error mError;
  JsonFields mFields;
  std::size_t mInvalidTickets = 0;
};

void AppendString(std::string& aText, std::string_view aValue)
{
  const bool plain = std::all_of(aValue.begin(), aValue.end(), [](char aChar) {
    return aChar >= ' ' && aChar != '"' && aChar != '\\' && aChar != 0x7F;
  });
  if (plain) {
    aText += '"';
    aText += aValue;
    aText += '"';
  } else {
    aText += json::serialize(json::string_view(aValue.data(), aValue.size()));
  }
}

void AppendCode(std::string& aText, ResultCode aCode)
{
  fmt::format_to(std::back_inserter(aText),
                 R"("code":{},"code_name":"{}")",
                 static_cast<int>(aCode),
                 Describe(aCode).name);
}

} // namespace

Result<QueryRequest> ParseQuery(std::string_view aBody)
{
  BOOST_LEAF_AUTO(body, ParseBody(aBody));
  FieldReader reader(body);
  QueryRequest request;
  request.caller = reader.ReadLabels("caller", false);
  request.request = reader.ReadLabels("request", true);
  request.query = reader.ReadJson("query", aBody);
  request.deadline = reader.ReadDeadline();
  request.minCoverage = reader.ReadCoverage();
  if (auto checked = reader.Finish(); !checked) {
    return checked.error();
  }
  return request;
}

Result<OperationRequest> ParseOperation(std::string_view aBody)
{
  BOOST_LEAF_AUTO(body, ParseBody(aBody));
  FieldReader reader(body);
  OperationRequest request;
  request.ticket = reader.ReadTicket();
  request.caller = reader.ReadLabels("caller", false);
  request.request = reader.ReadLabels("request", true);
  request.shard = reader.ReadShard();
  request.operation = reader.ReadJson("operation", aBody);
  request.deadline = reader.ReadDeadline();
  if (auto checked = reader.Finish(); !checked) {
    return checked.error();
  }
  return request;
}

Result<void> ParseTicketRequest(std::string_view aBody)
{
  if (aBody.empty()) {
    return {};
  }
  BOOST_LEAF_AUTO(body, ParseBody(aBody));
  return FieldReader(body).Finish();
}

Result<ShardAnswer> ParseShardAnswer(std::string_view aBody)
{
  const auto value = ParseServerAnswer(aBody);
  const auto* shard = value.as_object().if_contains("shard");
  const auto* version = value.as_object().if_contains("index_version");
  const auto* hits = value.as_object().if_contains("hits");
  if (shard == nullptr || !shard->is_string() || version == nullptr ||
      !version->is_number() || hits == nullptr || !hits->is_array()) {
    return NewError(ShardBadAnswer,
                    "the answer is not an object with shard, index_version and "
                    "hits");
  }
  json::error_code ec;
  const auto number = version->to_number<IndexVersion>(ec);
  if (ec) {
    return NewError(ShardBadAnswer, "index_version is not a whole number");
  }
  return ShardAnswer{ json::value_to<std::string>(*shard),
                      number,
                      std::string(MemberText(aBody, "hits")) };
}

Result<std::string> ParseOperationAnswer(std::string_view aBody)
{
  const auto value = ParseServerAnswer(aBody);
  if (!value.as_object().contains("operation_result")) {
    return NewError(ShardBadAnswer,
                    "the answer is not an object with operation_result");
  }
  return std::string(MemberText(aBody, "operation_result"));
}

Result<std::string> CanonicalJson(std::string_view aText)
{
  if (auto value = ParseBody(aText); !value) {
    return value.error();
  }
  return CanonicalText(aText);
}

std::string WriteQueryAnswer(std::string_view aRequestId,
                             const QueryAnswer& aAnswer)
{
  std::size_t size = 256;
  for (const auto& it : aAnswer.included) {
    size += 2 * it.shard.size() + it.hits.size() + 32;
  }
  size += aAnswer.missing.size() * 64;
  std::string text;
  text.reserve(size);
  text += R"({"request_id":)";
  AppendString(text, aRequestId);
  text += ',';
  AppendCode(text, aAnswer.code);
  fmt::format_to(std::back_inserter(text),
                 R"(,"config_version":{},"index_version":{})",
                 aAnswer.configVersion,
                 aAnswer.indexVersion);
  text += R"(,"coverage":{"included":[)";
  for (std::size_t i = 0; i < aAnswer.included.size(); ++i) {
    text += i == 0 ? "" : ",";
    AppendString(text, aAnswer.included[i].shard);
  }
  text += R"(],"missing":[)";
  for (std::size_t i = 0; i < aAnswer.missing.size(); ++i) {
    text += i == 0 ? "" : ",";
    text += R"({"shard":)";
    AppendString(text, aAnswer.missing[i].shard);
    text += ',';
    AppendCode(text, aAnswer.missing[i].code);
    text += '}';
  }
  fmt::format_to(std::back_inserter(text),
                 R"(],"ratio":{}}},"results":[)",
                 aAnswer.coverage);
  for (std::size_t i = 0; i < aAnswer.included.size(); ++i) {
    text += i == 0 ? "" : ",";
    text += R"({"shard":)";
    AppendString(text, aAnswer.included[i].shard);
    text += R"(,"hits":)";
    text += aAnswer.included[i].hits;
    text += '}';
  }
  text += "]}";
  return text;
}

std::string WriteRefusal(std::string_view aRequestId, ResultCode aCode)
{
  QueryAnswer answer;
  answer.code = aCode;
  return WriteQueryAnswer(aRequestId, answer);
}

std::string WriteTicket(const TicketId& aTicket, milliseconds aValidity)
{
  std::string text = R"({"ticket":)";
  AppendString(text, ToString(aTicket));
  fmt::format_to(
    std::back_inserter(text), R"(,"valid_ms":{}}})", aValidity.count());
  return text;
}

std::string WriteOutcome(const TicketOutcome& aOutcome)
{
  std::string text =
    fmt::format(R"({{"outcome":"{}",)", ToString(OutcomeOf(aOutcome.code)));
  AppendCode(text, aOutcome.code);
  text += R"(,"result":)";
  text += aOutcome.result.empty() ? "null" : aOutcome.result;
  text += '}';
  return text;
}

std::string WriteAddresses(const AddressReply& aReply)
{
  std::string text = R"({"addresses":[)";
  for (std::size_t i = 0; i < aReply.addresses.size(); ++i) {
    text += i == 0 ? "" : ",";
    AppendString(text, aReply.addresses[i]);
  }
  fmt::format_to(
    std::back_inserter(text), R"(],"ttl_ms":{}}})", aReply.ttl.count());
  return text;
}

std::string WriteError(const Error& aError)
{
  std::string text = "{";
  AppendCode(text, aError.code);
  text += R"(,"message":)";
  AppendString(text, aError.message);
  text += R"(,"fields":[)";
  for (std::size_t i = 0; i < aError.fields.size(); ++i) {
    const auto& field = aError.fields[i];
    text += i == 0 ? R"({"pointer":)" : R"(,{"pointer":)";
    AppendString(text, field.pointer);
    text += R"(,"seen":)";
    AppendString(text, field.seen);
    text += R"(,"allowed":)";
    AppendString(text, field.allowed);
    text += '}';
  }
  text += "]}";
  return text;
}

} // namespace bronzedeal::request
