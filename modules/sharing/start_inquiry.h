#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cowslipline {

/// Whether an instance that has started still has to ask the others for what
/// happened before its start, and whether its own answer to such a question is
/// one to rely on.
class start_inquiry
{
public:
  /// A part of an answer: the aIndex-th of aCount, from 0. aIsInformed: the
  /// sender knows what happened before its own start.
  void OnAnswerPart(const std::string& aSender,
                    std::uint32_t aIndex,
                    std::uint32_t aCount,
                    bool aIsInformed);

  /// All were asked that there are, as often as it is of use.
  void GiveUp() { mHasGivenUp = true; }

  /// A whole answer of an informed instance has arrived.
  bool IsAnswered() const { return mIsAnswered; }

  /// True for an instance that has an answer, and for one that nobody could
  /// inform: it knows all that is left.
  bool IsInformed() const { return mIsAnswered || mHasGivenUp; }

private:
  std::map<std::string, std::set<std::uint32_t>> mParts;
  bool mIsAnswered = false;
  bool mHasGivenUp = false;
};

} // namespace cowslipline
