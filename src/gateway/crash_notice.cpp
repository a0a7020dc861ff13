#include "bronzedeal/gateway/crash_notice.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace bronzedeal::gateway {

namespace json = boost::json;
using std::chrono::microseconds;

namespace {

/// Keys of the lists in a datagram. A datagram with states of instances is an
/// array, so earlier versions ignore these, as they ignore unknown lists.
constexpr std::string_view kNoticesKey = "crashes";
constexpr std::string_view kUnprovenKey = "unproven";
constexpr std::string_view kTrialsKey = "trials";
constexpr std::string_view kUnansweredKey = "unanswered";
/// Elements of a notice: the content, the age of the answer, and the runs as
/// three numbers each. The other lists have a content, and runs or a time.
constexpr std::size_t kNoticeHeadCount = 2;
constexpr std::size_t kUnprovenHeadCount = 1;
constexpr std::size_t kTimeFieldCount = 2;
constexpr std::size_t kRunFieldCount = 3;

std::optional<microseconds> AgeOf(const json::value& aValue)
{
  boost::system::error_code ec;
  const auto age = aValue.to_number<std::int64_t>(ec);
  if (ec || age < 0 || age > kMaxNoticeAge.count()) {
    return std::nullopt;
  }
  return microseconds(age);
}

/// The content that a row begins with; nothing if the row is too short or its
/// further elements are no runs.
std::optional<ContentId> DecodeContent(const json::value& aRow,
                                       std::size_t aHeadCount)
{
  const auto* fields = aRow.if_array();
  if (fields == nullptr || fields->size() < aHeadCount ||
      (fields->size() - aHeadCount) % kRunFieldCount != 0 ||
      !(*fields)[0].is_string()) {
    return std::nullopt;
  }
  return ContentIdFromHex((*fields)[0].get_string());
}

bool DecodeRuns(const json::array& aFields,
                std::size_t aFirst,
                std::vector<CrashNotice::Run>& aRuns)
{
  for (auto n = aFirst; n < aFields.size(); n += kRunFieldCount) {
    boost::system::error_code ec;
    const auto server = aFields[n].to_number<std::uint32_t>(ec);
    const auto sentAge = AgeOf(aFields[n + 1]);
    const auto endedAge = AgeOf(aFields[n + 2]);
    if (ec || !sentAge || !endedAge) {
      return false;
    }
    aRuns.push_back({ server, *sentAge, *endedAge });
  }
  return true;
}

std::optional<CrashNotice> DecodeNotice(const json::value& aRow)
{
  const auto content = DecodeContent(aRow, kNoticeHeadCount);
  if (!content) {
    return std::nullopt;
  }
  CrashNotice notice;
  notice.content = *content;
  const auto& fields = aRow.get_array();
  if (!fields[1].is_null()) {
    notice.answeredAge = AgeOf(fields[1]);
    if (!notice.answeredAge) {
      return std::nullopt;
    }
  }
  return DecodeRuns(fields, kNoticeHeadCount, notice.runs)
           ? std::optional(std::move(notice))
           : std::nullopt;
}

std::optional<CrashNotice> DecodeUnproven(const json::value& aRow)
{
  const auto content = DecodeContent(aRow, kUnprovenHeadCount);
  if (!content) {
    return std::nullopt;
  }
  CrashNotice notice;
  notice.content = *content;
  return DecodeRuns(aRow.get_array(), kUnprovenHeadCount, notice.unprovenRuns)
           ? std::optional(std::move(notice))
           : std::nullopt;
}

/// A notice with a content and the time of it that `aTime` names.
std::optional<CrashNotice> DecodeTime(
  const json::value& aRow,
  std::optional<microseconds> CrashNotice::*aTime)
{
  const auto content = DecodeContent(aRow, kTimeFieldCount);
  if (!content) {
    return std::nullopt;
  }
  CrashNotice notice;
  notice.content = *content;
  notice.*aTime = AgeOf(aRow.get_array()[1]);
  return notice.*aTime ? std::optional(std::move(notice)) : std::nullopt;
}

std::optional<CrashNotice> DecodeTrial(const json::value& aRow)
{
  return DecodeTime(aRow, &CrashNotice::trialTime);
}

std::optional<CrashNotice> DecodeUnanswered(const json::value& aRow)
{
  return DecodeTime(aRow, &CrashNotice::unansweredAge);
}

/// Decodes a list of a datagram and appends its notices.
template<typename Decode>
bool DecodeList(const json::object& aRoot,
                std::string_view aKey,
                const Decode& aDecode,
                std::vector<CrashNotice>& aNotices)
{
  const auto* rows = aRoot.if_contains(aKey);
  if (rows == nullptr) {
    return true;
  }
  if (!rows->is_array()) {
    return false;
  }
  for (const auto& it : rows->get_array()) {
    auto notice = aDecode(it);
    if (!notice) {
      return false;
    }
    aNotices.push_back(std::move(*notice));
  }
  return true;
}

void AppendRuns(json::array& aRow, const std::vector<CrashNotice::Run>& aRuns)
{
  for (const auto& it : aRuns) {
    aRow.push_back(it.server);
    aRow.push_back(it.sentAge.count());
    aRow.push_back(it.endedAge.count());
  }
}

} // namespace

std::string EncodeCrashNotices(const std::vector<CrashNotice>& aNotices)
{
  json::array rows;
  json::array unproven;
  json::array trials;
  json::array unanswered;
  for (const auto& notice : aNotices) {
    const auto content = ToHex(notice.content);
    json::array row{ content, nullptr };
    if (notice.answeredAge) {
      row[1] = notice.answeredAge->count();
    }
    AppendRuns(row, notice.runs);
    rows.push_back(std::move(row));
    if (!notice.unprovenRuns.empty()) {
      json::array runs{ content };
      AppendRuns(runs, notice.unprovenRuns);
      unproven.push_back(std::move(runs));
    }
    if (notice.trialTime) {
      trials.push_back(json::array{ content, notice.trialTime->count() });
    }
    if (notice.unansweredAge) {
      unanswered.push_back(
        json::array{ content, notice.unansweredAge->count() });
    }
  }
  json::object root{ { kNoticesKey, std::move(rows) } };
  if (!unproven.empty()) {
    root[kUnprovenKey] = std::move(unproven);
  }
  if (!trials.empty()) {
    root[kTrialsKey] = std::move(trials);
  }
  if (!unanswered.empty()) {
    root[kUnansweredKey] = std::move(unanswered);
  }
  return json::serialize(root);
}

std::optional<std::vector<CrashNotice>> DecodeCrashNotices(
  std::string_view aText)
{
  if (!aText.starts_with('{')) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const auto value = json::parse(aText, ec);
  const auto* root = ec ? nullptr : value.if_object();
  std::vector<CrashNotice> notices;
  if (root == nullptr || !root->contains(kNoticesKey) ||
      !DecodeList(*root, kNoticesKey, DecodeNotice, notices) ||
      !DecodeList(*root, kUnprovenKey, DecodeUnproven, notices) ||
      !DecodeList(*root, kTrialsKey, DecodeTrial, notices) ||
      !DecodeList(*root, kUnansweredKey, DecodeUnanswered, notices)) {
    return std::nullopt;
  }
  return notices;
}

} // namespace bronzedeal::gateway
