#pragma once

#include <string_view>

namespace cowslipline {

/// What the field `cause` of a request's log line means, and what to do about
/// it, for on-call engineers. Empty for an unknown cause.
struct cause_text
{
  std::string_view mMeaning;
  std::string_view mAction;
};

cause_text
DescribeCause(std::string_view aCause);

} // namespace cowslipline
