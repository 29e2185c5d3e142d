#include "standins/upstream_standin/target_faults.h"

#include <nlohmann/json.hpp>

namespace cowslipline::standin {

bool
ApplyControl(std::string_view aJson, target_faults& aFaults)
{
  const auto document = nlohmann::json::parse(aJson, nullptr, false);
  if (!document.is_object()) {
    return false;
  }
  try {
    auto changed = aFaults;
    const auto set = [&](const char* aName, auto& aField) {
      aField = document.value(aName, aField);
    };
    set("service_ms", changed.mServiceMilliseconds);
    set("slowness", changed.mSlowness);
    set("error_rate", changed.mErrorRate);
    set("truncate_rate", changed.mTruncateRate);
    set("wrong_rate", changed.mWrongRate);
    set("hang_rate", changed.mHangRate);
    set("reset_rate", changed.mResetRate);
    set("draining", changed.mIsDraining);
    aFaults = changed;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  return true;
}

bool
WantsSilence(std::string_view aJson)
{
  const auto document = nlohmann::json::parse(aJson, nullptr, false);
  return document.is_object() && document.contains("silence") &&
         document["silence"] == true;
}

} // namespace cowslipline::standin
