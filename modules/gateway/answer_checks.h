#pragma once

#include "modules/configuration/snapshot.h"
#include "modules/gateway/upstream_stream.h"

namespace cowslipline {

/// True when the answer passes all checks of its route. Digest and field are
/// checked in successful answers (2xx) that have a body; the status is checked
/// in all.
bool
IsAnswerRight(const std::vector<answer_check>& aChecks,
              const upstream_answer& aAnswer,
              bool aIsHeadRequest);

} // namespace cowslipline
