#include "modules/proxy/end_to_end_headers.h"

#include <algorithm>
#include <array>

namespace cowslipline {

namespace {

constexpr std::array<std::string_view, 10> kConnectionHeaders = {
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Content-Length",
};

} // namespace

header_list
EndToEndHeaders(const header_list& aHeaders)
{
  const auto named = aHeaders.Tokens("Connection");
  const auto isIn = [](const auto& aNames, std::string_view aName) {
    return std::any_of(
      aNames.begin(), aNames.end(), [aName](std::string_view aOther) {
        return IsSameName(aOther, aName);
      });
  };
  header_list kept;
  for (const auto& line : aHeaders.Lines()) {
    if (!isIn(kConnectionHeaders, line.mName) && !isIn(named, line.mName)) {
      kept.Add(line.mName, line.mValue);
    }
  }
  return kept;
}

header_list
HeadersForTarget(const header_list& aHeaders, const fleet_header_names& aNames)
{
  auto headers = EndToEndHeaders(aHeaders);
  headers.Remove(aNames.mKey);
  headers.Remove(aNames.mOrganisation);
  headers.Remove(aNames.mExpectedTarget);
  headers.Remove(aNames.mDeadlineMs);
  headers.Remove("Expect");
  // Lines that Connection named above may hold the id of the request.
  const auto id = aHeaders.Find(aNames.mRequestId);
  if (id && !headers.Find(aNames.mRequestId)) {
    headers.Add(aNames.mRequestId, *id);
  }
  return headers;
}

} // namespace cowslipline
