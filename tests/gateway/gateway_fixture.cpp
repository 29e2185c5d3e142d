#include "tests/gateway/gateway_fixture.h"

#include <algorithm>

namespace cowslipline::testing {

key_verdict
fake_decisions::Verify(const snapshot&, std::string_view aAuthorization)
{
  if (aAuthorization.empty()) {
    return key_absent{};
  }
  if (aAuthorization.substr(0, 7) != "Bearer ") {
    return key_unreadable{};
  }
  if (aAuthorization.substr(7) != gateway_fixture::kKey) {
    return key_not_known{};
  }
  return mIsRevoked ? key_verdict(key_revoked{})
                    : key_verdict(key_accepted{ 0, "key-1" });
}

result<void>
fake_decisions::Admit(std::string_view, duration)
{
  if (!mAdmits) {
    return Fail(errc::RateLimited);
  }
  return {};
}

result<claim_verdict>
fake_decisions::Claim(const claim_request& aRequest, duration)
{
  if (mIsStoreAway) {
    return Fail(errc::StoreUnavailable);
  }
  const std::lock_guard lock(mMutex);
  const auto found = mRecords.find(aRequest.mIdempotencyKey);
  if (found == mRecords.end()) {
    mRecords.emplace(aRequest.mIdempotencyKey, std::nullopt);
    return claim_granted{ claim_ticket{ aRequest.mIdempotencyKey } };
  }
  return found->second ? claim_verdict(claim_finished{ *found->second })
                       : claim_verdict(claim_unknown{});
}

void
fake_decisions::Finish(const claim_ticket& aTicket,
                       const finished_answer& aAnswer)
{
  const std::lock_guard lock(mMutex);
  mRecords[std::any_cast<std::string>(aTicket.mAttempt)] = aAnswer;
  ++mFinished;
}

void
fake_decisions::Release(const claim_ticket& aTicket)
{
  const std::lock_guard lock(mMutex);
  mRecords.erase(std::any_cast<std::string>(aTicket.mAttempt));
  ++mReleased;
}

quarantine_verdict
fake_decisions::CheckQuarantine(const target_request&, duration)
{
  return mQuarantine;
}

result<chosen_target>
fake_decisions::Choose(const target_request& aRequest, duration)
{
  const auto& excluded = aRequest.mExcluded;
  const auto count =
    aRequest.mSnapshot->mServices[aRequest.mService].mTargets.size();
  for (target_index i = 0; i < count; ++i) {
    if (std::find(excluded.begin(), excluded.end(), i) == excluded.end()) {
      ++mSlotsTaken;
      return chosen_target{ i, {} };
    }
  }
  return Fail(errc::NoTarget);
}

void
fake_decisions::Report(const target_request&,
                       const chosen_target&,
                       const attempt_result& aResult)
{
  const std::lock_guard lock(mMutex);
  --mSlotsTaken;
  mReports.push_back(aResult.mClass);
  mResets += aResult.mIsReset ? 1 : 0;
}

void
fake_decisions::Abandon(const target_request&, const chosen_target&)
{
  --mSlotsTaken;
}

void
fake_decisions::CountFirstAttempt(const target_request&)
{
  ++mFirstAttempts;
}

bool
fake_decisions::TakeRetry(const target_request&)
{
  return mRetriesLeft-- > 0;
}

readiness
fake_decisions::Current()
{
  return mReadiness;
}

std::vector<attempt_class>
fake_decisions::Reports() const
{
  const std::lock_guard lock(mMutex);
  return mReports;
}

snapshot_pointer
fixed_snapshots::Current() const
{
  const std::lock_guard lock(mMutex);
  return mCurrent;
}

void
fixed_snapshots::Set(snapshot aSnapshot)
{
  const std::lock_guard lock(mMutex);
  mCurrent = std::make_shared<snapshot>(std::move(aSnapshot));
}

gateway_fixture::gateway_fixture(
  const std::vector<std::uint16_t>& aUpstreamPorts,
  gateway_options aOptions,
  std::chrono::milliseconds aDeadline)
  : mPorts(aUpstreamPorts)
  , mDeadline(aDeadline)
{
  mSnapshots.Set(MakeSnapshot());
  mGateway = std::move(*gateway::Create(
    std::move(aOptions),
    { mDecisions, mDecisions, mDecisions, mDecisions, mDecisions },
    mSnapshots,
    mMetrics));
  mGateway->Start();
}

gateway_fixture::~gateway_fixture()
{
  mGateway->StopGracefully(std::chrono::seconds(10));
}

snapshot
gateway_fixture::MakeSnapshot() const
{
  snapshot made;
  made.mVersion = 1;
  service echo;
  echo.mName = "echo";
  for (const auto port : mPorts) {
    target added;
    added.mId = "t" + std::to_string(echo.mTargets.size());
    added.mHost = "127.0.0.1";
    added.mPort = port;
    echo.mTargets.push_back(added);
  }
  made.mServices.push_back(echo);
  made.mOrganisations.push_back({ "aquaria", 100, 10 });
  made.mOrganisations.push_back({ "ponds", 100, 10 });
  const auto add = [&](std::string aMethod, std::string aPrefix) -> route& {
    route added;
    added.mId = aMethod + aPrefix;
    added.mMethod = std::move(aMethod);
    added.mPathPrefix = std::move(aPrefix);
    added.mDeadline = mDeadline;
    added.mRequestBytesLimit = std::size_t(64) << 20;
    added.mAnswerBytesLimit = std::size_t(64) << 20;
    made.mRoutes.push_back(added);
    return made.mRoutes.back();
  };
  add("GET", "/echo");
  add("POST", "/echo");
  auto& order = add("POST", "/order");
  order.mIsIdempotent = false;
  order.mCancelOnDisconnect = false;
  add("GET", "/open").mIsOpen = true;
  add("GET", "/hold").mCancelOnDisconnect = false;
  add("GET", "/checked").mAnswerChecks = { digest_check{ "X-Body-Sha256" } };
  add("GET", "/field").mAnswerChecks = { field_check{ "price" } };
  add("GET", "/other").mOrganisations = { 1 };
  auto& small = add("POST", "/small");
  small.mRequestBytesLimit = 10;
  small.mAnswerBytesLimit = 10;
  return made;
}

std::string
gateway_fixture::Request(std::string_view aMethod,
                         std::string_view aTarget,
                         std::string_view aBody,
                         std::string_view aHeaders)
{
  std::string text(aMethod);
  text.append(" ").append(aTarget).append(" HTTP/1.1\r\nHost: gateway\r\n");
  text.append("Authorization: Bearer ").append(kKey).append("\r\n");
  text.append(aHeaders);
  if (!aBody.empty()) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text.append("\r\n").append(aBody);
}

http_message
gateway_fixture::Call(std::string_view aMethod,
                      std::string_view aTarget,
                      std::string_view aBody,
                      std::string_view aHeaders) const
{
  auto socket = Connect();
  socket.Send(Request(aMethod, aTarget, aBody, aHeaders));
  return socket.Receive(aMethod != "HEAD");
}

std::uint64_t
gateway_fixture::Refusals(refusal_reason aReason)
{
  return mMetrics.Counter(RefusalCounterName(aReason)).Value();
}

} // namespace cowslipline::testing
