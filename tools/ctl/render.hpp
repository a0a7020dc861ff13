#pragma once

#include "bronzedeal/error.hpp"

#include <boost/json/value.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzedeal::ctl {

/// The member as text: strings as they are, other values as JSON, `-` when it
/// is absent.
[[nodiscard]] std::string Field(const boost::json::value& aValue,
                                std::string_view aKey);

/// The member if it is an array, else an empty one.
[[nodiscard]] const boost::json::array& Elements(
  const boost::json::value& aValue,
  std::string_view aKey);

/// The error object of the admin endpoints.
[[nodiscard]] boost::json::object ErrorToJson(const Error& aError);

/// An error as text: one line and one more for each field.
void PrintError(std::ostream& aOut, const boost::json::value& aError);

/// An address and the state or the error that its instance answered.
struct InstanceState
{
  std::string address;
  bool failed = false;
  boost::json::value value;
};

void PrintStatus(std::ostream& aOut, const std::vector<InstanceState>& aStates);
void PrintExplanation(std::ostream& aOut, const boost::json::value& aValue);
void PrintWithdrawal(std::ostream& aOut, const boost::json::value& aValue);
/// What a withdrawal waits for, on one line.
[[nodiscard]] std::string WithdrawalProgress(const boost::json::value& aValue);
void PrintEvents(std::ostream& aOut, const boost::json::array& aEvents);

/// Merges the events of several instances by configuration version and then
/// time. The order of each instance's own events is kept even when its clock
/// steps back.
[[nodiscard]] boost::json::array MergeEvents(
  const std::vector<boost::json::value>& aTrails);

} // namespace bronzedeal::ctl
