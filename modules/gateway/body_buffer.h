#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <string_view>

namespace cowslipline {

/// Bytes that buffered bodies of all requests may take together. Safe from any
/// thread.
class body_budget
{
public:
  explicit body_budget(std::size_t aBytes)
    : mLimit(aBytes)
  {
  }

  bool Take(std::size_t aBytes);
  void GiveBack(std::size_t aBytes) { mTaken.fetch_sub(aBytes); }
  std::size_t Taken() const { return mTaken.load(); }

private:
  const std::size_t mLimit;
  std::atomic<std::size_t> mTaken{ 0 };
};

enum class append_status
{
  Done,
  OverLimit,  ///< Larger than the route allows.
  OverBudget, ///< The instance has no memory left for it.
};

/// A whole body and its share of the budget, which grows with the bytes that
/// have arrived: a declared length alone must not reserve memory.
class body_buffer
{
public:
  body_buffer() = default;
  body_buffer(body_budget& aBudget, std::size_t aLimit);
  body_buffer(body_buffer&& aOther) noexcept;
  body_buffer& operator=(body_buffer&& aOther) noexcept;
  ~body_buffer();

  append_status Append(std::string_view aData);

  std::size_t Limit() const { return mLimit; }
  const std::string& Text() const { return mText; }
  /// Takes the text; its share of the budget stays until destruction.
  std::string TakeText() { return std::move(mText); }

private:
  body_budget* mBudget = nullptr;
  std::size_t mLimit = 0;
  std::size_t mTaken = 0;
  std::string mText;
};

} // namespace cowslipline
