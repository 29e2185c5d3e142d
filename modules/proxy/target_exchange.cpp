#include "modules/proxy/target_exchange.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// Within a zone a connection opens in a millisecond or two, with a lost packet
// after a second. Another target is tried sooner than that.
constexpr duration kConnectTimeout = 300ms;

// A process that went down refuses at once; a machine without power is silent.
constexpr duration kDownTestTimeout = 100ms;

// Targets that do not say how long they keep idle connections.
constexpr duration kDefaultKeepAlive = 4s;

constexpr std::size_t kAnswerBytes = 64UL * 1024 * 1024;

// A target that goes on sending answers of other requests has lost track.
constexpr int kMostForeignAnswers = 4;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusMisdirected = 421;

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

/// Statuses by which a caller is told that its request did not run. A target
/// that answers one of them without stating so may have run it.
bool
IsNotRunStatus(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

duration
KeepAliveOf(const header_list& aHeaders)
{
  for (const auto token : aHeaders.Tokens("Keep-Alive")) {
    constexpr std::string_view kTimeout = "timeout=";
    if (token.substr(0, kTimeout.size()) != kTimeout) {
      continue;
    }
    const auto digits = token.substr(kTimeout.size());
    int seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds);
  }
  return kDefaultKeepAlive;
}

/// What the header says of the rate. An empty value is unreadable, it does not
/// mean that there is no limit.
limit_signal
LimitOf(const header_list& aHeaders, std::string_view aName)
{
  auto values = aHeaders.Tokens(aName);
  if (values.empty() && aHeaders.Find(aName)) {
    values.emplace_back();
  }
  return ReadLimitSignal(values);
}

/// Values that differ say nothing, as does any other value.
bool
SaysDraining(const header_list& aHeaders, std::string_view aName)
{
  const auto values = aHeaders.Tokens(aName);
  return !values.empty() &&
         std::all_of(values.begin(), values.end(), [](std::string_view aValue) {
           return aValue == "1";
         });
}

} // namespace

target_exchange::target_exchange(
  asio::io_context& aContext,
  upstream_pool& aPool,
  buffer_budget& aBuffers,
  const fleet_header_names& aNames,
  std::shared_ptr<const outgoing_request> aRequest,
  const target_entry& aTarget)
  : mContext(aContext)
  , mPool(aPool)
  , mBuffers(aBuffers)
  , mNames(aNames)
  , mRequest(std::move(aRequest))
  , mTargetId(aTarget.mId)
  , mAddress(aTarget.mAddress)
{
}

void
target_exchange::Cancel()
{
  mIsCancelled = true;
  if (mStream) {
    mStream->Close();
  }
}

exchange_result
target_exchange::Fail(exchange_outcome aOutcome,
                      bool aMayHaveRun,
                      std::string aReason) const
{
  exchange_result failed;
  failed.mOutcome = mIsCancelled ? exchange_outcome::Abandoned : aOutcome;
  failed.mMayHaveRun = aMayHaveRun;
  failed.mIsNewConnection = mIsNewConnection;
  failed.mReason = std::move(aReason);
  return failed;
}

exchange_result
target_exchange::Run(steady_time aDeadline, yield_context aYield)
{
  if (!Open(aDeadline, aYield)) {
    return Fail(exchange_outcome::Unreachable, false, "connect_failed");
  }
  if (mIsCancelled || !Send(aDeadline)) {
    return Fail(exchange_outcome::Unreachable, false, "nothing_sent");
  }
  auto finished = ReadAnswer(aDeadline, aYield);
  // Another target has the address, and what it says is not of this one.
  if (finished.mOutcome != exchange_outcome::Misdirected) {
    finished.mLimit = mLimit;
    finished.mIsTargetDraining = mIsTargetDraining;
  }
  // A refusal or failure need not come from where the limit is set.
  finished.mLimit.mIsClear =
    mLimit.mIsClear && finished.mOutcome == exchange_outcome::Served;
  if (finished.mOutcome == exchange_outcome::Broken) {
    finished.mIsTargetDown = IsTargetDown(aYield);
  }
  return finished;
}

bool
target_exchange::Open(steady_time aDeadline, yield_context aYield)
{
  mStream = mPool.Take(mTargetId, ReadBootClock());
  if (mStream) {
    return true;
  }
  mIsNewConnection = true;
  mStream = std::make_unique<tcp_stream>(mContext);
  const auto deadline = std::min(aDeadline, ReadBootClock() + kConnectTimeout);
  return mStream->Connect(mAddress, deadline, aYield).has_value();
}

bool
target_exchange::Send(steady_time aDeadline)
{
  auto headers = mRequest->mHeaders;
  headers.Add(mNames.mExpectedTarget, mTargetId);
  const auto left = std::max<std::int64_t>(
    1,
    std::chrono::duration_cast<std::chrono::milliseconds>(aDeadline -
                                                          ReadBootClock())
      .count());
  headers.Add(mNames.mDeadlineMs, std::to_string(left));
  if (mRequest->mHasLength) {
    headers.Add("Content-Length", std::to_string(mRequest->mBody.size()));
  }
  mHead = mRequest->mMethod + ' ' + mRequest->mTarget + " HTTP/1.1\r\n";
  for (const auto& line : headers.Lines()) {
    mHead += line.mName + ": " + line.mValue + "\r\n";
  }
  mHead += "\r\n";
  const std::array<asio::const_buffer, 2> buffers = {
    asio::buffer(mHead), asio::buffer(mRequest->mBody)
  };
  asio::error_code error;
  const auto written = mStream->Socket().write_some(buffers, error);
  if (error && error != asio::error::would_block) {
    return false;
  }
  mIsSent = true;
  const auto sentOfHead = std::min(written, mHead.size());
  const auto sentOfBody = written - sentOfHead;
  if (written < mHead.size() + mRequest->mBody.size()) {
    // The rest is written while the answer is awaited: a target may answer
    // before it has read a long body.
    mStream->StartWriting({ asio::buffer(mHead) + sentOfHead,
                            asio::buffer(mRequest->mBody) + sentOfBody },
                          shared_from_this());
  }
  return true;
}

exchange_result
target_exchange::ReadAnswer(steady_time aDeadline, yield_context aYield)
{
  while (true) {
    auto response = ReadResponse(*mStream,
                                 mRequest->mMethod == "HEAD",
                                 body_lease(kAnswerBytes, mBuffers),
                                 aDeadline,
                                 aYield);
    if (!response && response.error() == errc::Timeout) {
      mStream->Close();
      return Fail(exchange_outcome::TimedOut, true, "no_answer");
    }
    if (!response) {
      mStream->Close();
      return Fail(exchange_outcome::Broken, true, response.error().message());
    }
    const auto id = response->mHead.mHeaders.Find(mNames.mRequestId);
    if (id && *id != mRequest->mRequestId) {
      // A late or second answer to an earlier request; the own one may follow.
      ++mForeignAnswers;
      if (response->mIsConnectionReusable &&
          mForeignAnswers <= kMostForeignAnswers) {
        continue;
      }
      mStream->Close();
      return Fail(exchange_outcome::Broken, true, "foreign_answer");
    }
    if (!id && !IsAttributable(*response)) {
      mStream->Close();
      return Fail(exchange_outcome::Broken, true, "answer_without_id");
    }
    if (id) {
      mLimit = LimitOf(response->mHead.mHeaders, mNames.mRateLimit);
    }
    mIsTargetDraining =
      SaysDraining(response->mHead.mHeaders, mNames.mDraining);
    return Judge(std::move(*response));
  }
}

bool
target_exchange::IsAttributable(const http_response& aResponse) const
{
  // On a connection that served others it may have been written for one of
  // them. A 400 that states "not run" is for requests that come without an id.
  return mIsNewConnection && mForeignAnswers == 0 &&
         aResponse.mHead.mStatus != kStatusBadRequest;
}

exchange_result
target_exchange::Judge(http_response aResponse)
{
  const auto& headers = aResponse.mHead.mHeaders;
  const int status = aResponse.mHead.mStatus;
  const bool isNotRun = headers.Find(mNames.mNotRun).has_value();
  exchange_result judged;
  judged.mIsNewConnection = mIsNewConnection;
  KeepConnection(aResponse);
  if (status == kStatusMisdirected) {
    judged.mOutcome = exchange_outcome::Misdirected;
    judged.mMayHaveRun = false;
    judged.mReason = "misdirected";
    mPool.Drop(mTargetId);
    return judged;
  }
  if (isNotRun) {
    judged.mOutcome = exchange_outcome::Shed;
    judged.mMayHaveRun = false;
    judged.mReason = "shed_" + std::to_string(status);
    return judged;
  }
  const bool isOwn = headers.Find(mNames.mRequestId).has_value();
  const bool isSigned = headers.Find(mNames.mSignature).has_value();
  if (headers.Find("Content-Encoding") || IsNotRunStatus(status) ||
      (IsSuccess(status) && (!isOwn || !isSigned))) {
    return Fail(exchange_outcome::Broken, true, "answer_unusable");
  }
  judged.mOutcome =
    status >= 500 ? exchange_outcome::Failed : exchange_outcome::Served;
  judged.mReason = status >= 500 ? "target_" + std::to_string(status) : "";
  judged.mResponse = std::move(aResponse);
  return judged;
}

void
target_exchange::KeepConnection(const http_response& aResponse)
{
  const bool isReusable = aResponse.mIsConnectionReusable &&
                          !mIsTargetDraining && mStream->HasWrittenAll() &&
                          mForeignAnswers == 0 && mStream->IsQuiet();
  if (isReusable) {
    mPool.Put(mTargetId,
              std::move(mStream),
              KeepAliveOf(aResponse.mHead.mHeaders),
              ReadBootClock());
    return;
  }
  // Whatever follows on this connection belongs to no request.
  mStream->Close();
}

bool
target_exchange::IsTargetDown(yield_context aYield)
{
  if (mIsCancelled) {
    return false;
  }
  tcp_stream probe(mContext);
  const auto connected =
    probe.Connect(mAddress, ReadBootClock() + kDownTestTimeout, aYield);
  return !connected && connected.error() == asio::error::connection_refused;
}

} // namespace cowslipline
