#include "modules/gateway/answer_checks.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>
#include <sodium.h>

namespace cowslipline {

namespace {

std::string
Sha256Hex(std::string_view aText)
{
  std::array<std::uint8_t, crypto_hash_sha256_BYTES> digest{};
  crypto_hash_sha256(digest.data(),
                     reinterpret_cast<const unsigned char*>(aText.data()),
                     aText.size());
  return ToHex(AsView(digest));
}

struct check_visitor
{
  const upstream_answer& mAnswer;
  bool mHasCheckedBody;

  bool operator()(const status_check& aCheck) const
  {
    const auto& allowed = aCheck.mAllowed;
    return std::find(allowed.begin(), allowed.end(), mAnswer.mHead.mStatus) !=
           allowed.end();
  }
  bool operator()(const digest_check& aCheck) const
  {
    const auto given = mAnswer.mHead.mHeaders.Find(aCheck.mHeader);
    return !mHasCheckedBody ||
           (given && IsSameName(*given, Sha256Hex(mAnswer.mBody.Text())));
  }
  bool operator()(const field_check& aCheck) const
  {
    if (!mHasCheckedBody) {
      return true;
    }
    const auto document =
      nlohmann::json::parse(mAnswer.mBody.Text(), nullptr, false);
    return document.is_object() && document.contains(aCheck.mField);
  }
};

} // namespace

bool
IsAnswerRight(const std::vector<answer_check>& aChecks,
              const upstream_answer& aAnswer,
              bool aIsHeadRequest)
{
  const auto status = aAnswer.mHead.mStatus;
  const bool isSuccess = status >= 200 && status < 300;
  const check_visitor visitor{ aAnswer,
                               isSuccess && !aIsHeadRequest && status != 204 };
  return std::all_of(
    aChecks.begin(), aChecks.end(), [&](const answer_check& aCheck) {
      return std::visit(visitor, aCheck);
    });
}

} // namespace cowslipline
