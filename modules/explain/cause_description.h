#pragma once

#include <string_view>

namespace cowslipline {

/// Explains a value of the field `cause` in a request's log line to on-call
/// engineers. mAction is empty when there is nothing to do.
struct cause_description
{
  std::string_view mMeaning;
  std::string_view mAction;
};

/// Both texts are empty for an unknown cause.
cause_description
DescribeCause(std::string_view aCause);

} // namespace cowslipline
