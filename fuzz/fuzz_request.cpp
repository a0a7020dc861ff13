#include "bronzedeal/request/caller_request.hpp"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace bronzedeal;
using namespace bronzedeal::request;

namespace {

void Require(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

/// Every refusal is a code that says so, and its text is valid JSON.
template<typename F>
void Try(F aCall, bool aShard = false)
{
  boost::leaf::try_handle_all([&]() -> Result<void> { return aCall(); },
                              [&](const Error& aError) {
                                Require(aShard ? aError.code ==
                                                   ResultCode::ShardBadAnswer
                                               : IsNotRun(aError.code));
                                boost::json::error_code ec;
                                const auto text = WriteError(aError);
                                boost::json::parse(text, ec);
                                Require(!ec);
                              },
                              [] { std::abort(); });
}

} // namespace

// The first byte selects the parser; the rest is its input.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  const std::string_view text(reinterpret_cast<const char*>(aData) + 1,
                              aSize - 1);
  switch (aData[0] % 5) {
    case 0:
      Try([&]() -> Result<void> {
        BOOST_LEAF_AUTO(query, ParseQuery(text));
        BOOST_LEAF_AUTO(again, CanonicalJson(query.query));
        Require(again == query.query && query.request.contains("kind"));
        return {};
      });
      break;
    case 1:
      Try([&]() -> Result<void> {
        BOOST_LEAF_AUTO(operation, ParseOperation(text));
        Require(!operation.shard.empty());
        return {};
      });
      break;
    case 2:
      Try([&]() -> Result<void> {
        BOOST_LEAF_AUTO(ticket, ParseTicket(text));
        Require(ToString(ticket) == text);
        return {};
      });
      break;
    case 3:
      Try(
        [&]() -> Result<void> {
          if (auto result = ParseOperationAnswer(text)) {
            boost::json::error_code ec;
            boost::json::parse(result.value(), ec);
            Require(!ec);
          }
          BOOST_LEAF_AUTO(answer, ParseShardAnswer(text));
          boost::json::error_code ec;
          boost::json::parse(answer.hits, ec);
          Require(!ec);
          return {};
        },
        true);
      break;
    default:
      Try([&]() -> Result<void> { return ParseTicketRequest(text); });
  }
  return 0;
}
