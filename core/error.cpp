#include "core/error.h"

#include <string>

namespace cowslipline {

namespace {

class error_category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "cowslipline"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<errc>(aValue)) {
      case errc::StoreUnavailable:
        return "key-value store unavailable, nothing was applied";
      case errc::StoreConflict:
        return "stored version differs from the expected version";
      case errc::StoreAnswerLost:
        return "answer of the key-value store lost, the write may be applied";
      case errc::StoreValueTooLarge:
        return "value exceeds the limit of the key-value store";
      case errc::PeerUnreachable:
        return "peer unreachable";
      case errc::PeerTimeout:
        return "peer did not reply in time";
      case errc::PeerRejected:
        return "peer rejected the call";
      case errc::MessageMalformed:
        return "malformed message";
      case errc::Timeout:
        return "timeout";
      case errc::Canceled:
        return "canceled";
      case errc::NotFound:
        return "not found";
      case errc::NotReady:
        return "not ready";
      case errc::RateLimited:
        return "rate limit reached";
      case errc::Overloaded:
        return "overloaded";
      case errc::NoTarget:
        return "no target in use";
      case errc::RecordsFull:
        return "outcome records are full";
      case errc::ConfigurationInvalid:
        return "configuration invalid";
      case errc::SettingsInvalid:
        return "settings invalid";
      case errc::ServiceMissing:
        return "service not registered";
      case errc::Duplicate:
        return "already present";
      case errc::InputOutput:
        return "input or output failed";
      case errc::TooLarge:
        return "message exceeds its size limit";
      case errc::HistoryLost:
        return "the store has discarded the history asked for";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category&
ErrorCategory()
{
  static const error_category category;
  return category;
}

std::error_code
make_error_code(errc aError)
{
  return { static_cast<int>(aError), ErrorCategory() };
}

} // namespace cowslipline
