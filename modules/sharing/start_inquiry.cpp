#include "modules/sharing/start_inquiry.h"

namespace cowslipline {

void
start_inquiry::OnAnswerPart(const std::string& aSender,
                            std::uint32_t aIndex,
                            std::uint32_t aCount,
                            bool aIsInformed)
{
  // An answer of an instance that has just started itself may lack everything.
  if (IsInformed() || !aIsInformed || aIndex >= aCount) {
    return;
  }
  auto& parts = mParts[aSender];
  parts.insert(aIndex);
  mIsAnswered = parts.size() >= aCount;
  if (mIsAnswered) {
    mParts.clear();
  }
}

} // namespace cowslipline
