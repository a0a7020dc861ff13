#include "request_log.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace bronzedeal::ctl {

namespace json = boost::json;

namespace {

struct Line
{
  std::int64_t timeMs = 0;
  json::object fields;
};

bool IsShown(std::string_view aKey)
{
  return aKey != "time_ms" && aKey != "event" && aKey != "instance" &&
         aKey != "request";
}

std::string Text(const json::object& aFields, std::string_view aKey)
{
  const auto* value = aFields.if_contains(aKey);
  return value != nullptr && value->is_string()
           ? std::string(value->get_string())
           : "-";
}

} // namespace

std::size_t PrintRequestLog(std::istream& aLogs,
                            std::string_view aRequest,
                            std::ostream& aOut)
{
  std::vector<Line> lines;
  std::string text;
  while (std::getline(aLogs, text)) {
    const auto start = text.find('{');
    boost::system::error_code ec;
    auto value = start == std::string::npos
                   ? json::value()
                   : json::parse(std::string_view(text).substr(start), ec);
    const auto* fields = ec ? nullptr : value.if_object();
    if (fields == nullptr || Text(*fields, "request") != aRequest) {
      continue;
    }
    const auto* time = fields->if_contains("time_ms");
    lines.push_back(
      { time != nullptr && time->is_int64() ? time->get_int64() : 0, *fields });
  }
  std::stable_sort(lines.begin(), lines.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.timeMs < aRight.timeMs;
  });
  for (const auto& it : lines) {
    aOut << fmt::format("{:>7} ms  {}  {}",
                        it.timeMs - lines.front().timeMs,
                        Text(it.fields, "instance"),
                        Text(it.fields, "event"));
    for (const auto& [key, value] : it.fields) {
      if (IsShown(key)) {
        aOut << fmt::format(
          "  {}={}", std::string_view(key), json::serialize(value));
      }
    }
    aOut << '\n';
  }
  return lines.size();
}

} // namespace bronzedeal::ctl
