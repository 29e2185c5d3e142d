#pragma once

#include <string>
#include <string_view>

namespace cowslipline::standin {

/// Behaviour of one target. Rates are probabilities of a request in [0, 1].
struct target_faults
{
  int mServiceMilliseconds = 5;
  double mSlowness = 1; ///< Factor on the service time.
  double mErrorRate = 0;
  double mTruncateRate = 0; ///< The answer ends in its middle.
  double mWrongRate = 0;    ///< The answer belongs to another request.
  double mHangRate = 0;     ///< No answer; the connection stays open.
  double mResetRate = 0;    ///< The connection is reset without an answer.
  bool mIsDraining = false; ///< Answers say `Cowslipline-Draining: true`.
};

/// Changes the fields that the JSON object names: service_ms, slowness,
/// error_rate, truncate_rate, wrong_rate, hang_rate, reset_rate, draining.
/// False when it is not an object or a field has the wrong type.
bool
ApplyControl(std::string_view aJson, target_faults& aFaults);

/// True when the object asks that all connections that are open now go silent:
/// {"silence": true}.
bool
WantsSilence(std::string_view aJson);

} // namespace cowslipline::standin
