#pragma once

#include <cstddef>
#include <cstdint>

namespace cowslipline {

/// Memory that the bodies of all connections of a process share.
///
/// Answers the load of bodies without end: one body may hold no more than what
/// is still free (dynamic threshold, alpha 1). N bodies that grow without end
/// get 1/(N+1) of the limit each, and as much stays free for others.
class buffer_budget
{
public:
  explicit buffer_budget(std::size_t aLimitBytes)
    : mLimit(aLimitBytes)
  {
  }

  /// False when a body of aHeld bytes may not grow by aMore.
  bool Take(std::size_t aHeld, std::size_t aMore);
  void GiveBack(std::size_t aBytes);

  /// Bodies that are over a lowered limit stay; none of them grows.
  void SetLimit(std::size_t aLimitBytes) { mLimit = aLimitBytes; }
  std::size_t Used() const { return mUsed; }
  std::size_t Free() const { return mUsed < mLimit ? mLimit - mUsed : 0; }

private:
  std::size_t mLimit;
  std::size_t mUsed = 0;
};

/// The bytes of one body. They go back to the budget with this object.
class body_lease
{
public:
  /// Bounds one body alone.
  explicit body_lease(std::size_t aLimitBytes)
    : mLimit(aLimitBytes)
  {
  }
  body_lease(std::size_t aLimitBytes, buffer_budget& aBudget)
    : mLimit(aLimitBytes)
    , mBudget(&aBudget)
  {
  }
  body_lease(body_lease&& aOther) noexcept;
  body_lease& operator=(body_lease&& aOther) noexcept;
  body_lease(const body_lease&) = delete;
  body_lease& operator=(const body_lease&) = delete;
  ~body_lease() { Release(); }

  /// False when the body would be larger than its limit or the budget allows.
  bool Grow(std::size_t aBytes);
  /// False when a body of this size is over the limit of one body.
  bool IsWithinLimit(std::uint64_t aBytes) const { return aBytes <= mLimit; }
  std::size_t Bytes() const { return mBytes; }
  /// True when Grow() failed for want of memory, not for the body's own limit.
  bool IsOverBudget() const { return mIsOverBudget; }

private:
  void Release();

  std::size_t mLimit = 0;
  buffer_budget* mBudget = nullptr;
  std::size_t mBytes = 0;
  bool mIsOverBudget = false;
};

} // namespace cowslipline
