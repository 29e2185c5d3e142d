#include "modules/health/ejection_log.h"

#include "core/log.h"

namespace cowslipline {

namespace {

constexpr std::size_t kMaxRecords = 1024;

} // namespace

std::string_view
NameOf(ejection_action aAction)
{
  switch (aAction) {
    case ejection_action::Ejected:
      return "ejected";
    case ejection_action::BreakerOpened:
      return "held";
    case ejection_action::Drained:
      return "drained";
    case ejection_action::Returned:
      return "returned";
  }
  return "unknown";
}

void
ejection_log::Add(ejection_record aRecord)
{
  Log(log_level::Info,
      "target_use_changed",
      { { "service", aRecord.mService },
        { "target", aRecord.mTarget },
        { "action", std::string(NameOf(aRecord.mAction)) },
        { "reason", aRecord.mReason },
        { "requests", std::to_string(aRecord.mEvidence.mRequests) },
        { "failures", std::to_string(aRecord.mEvidence.mFailures) },
        { "decided_by", aRecord.mDecidedBy },
        { "returns_ms", std::to_string(aRecord.mReturns) } });
  if (mRecords.size() >= kMaxRecords) {
    mRecords.pop_front();
  }
  mRecords.push_back(std::move(aRecord));
}

std::vector<ejection_record>
ejection_log::Explain(std::string_view aService, std::string_view aTarget) const
{
  std::vector<ejection_record> found;
  for (const auto& record : mRecords) {
    if (record.mService == aService && record.mTarget == aTarget) {
      found.push_back(record);
    }
  }
  return found;
}

} // namespace cowslipline
