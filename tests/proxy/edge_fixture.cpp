#include "tests/proxy/edge_fixture.h"

#include "core/hash.h"
#include "tests/fakes/run_task.h"
#include "tests/story.h"

namespace cowslipline::testing {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kStack = 128UL * 1024;

steady_time
Soon()
{
  return ReadBootClock() + 20s;
}

tcp_endpoint
AnyPort()
{
  return { asio::ip::make_address("127.0.0.1"), 0 };
}

} // namespace

fleet_header_names
TestHeaders()
{
  fleet_header_names names;
  names.mRequestId = "Request";
  names.mDeadlineMs = "Left-Ms";
  names.mKey = "Key";
  names.mOrganisation = "Organisation";
  names.mExpectedTarget = "Expected-Target";
  names.mNotRun = "Not-Run";
  names.mSignature = "Signature";
  names.mRateLimit = "Rate-Limit";
  names.mDraining = "Draining";
  return names;
}

std::string
GoodAnswer(const http_request& aRequest, std::string_view aBody)
{
  std::string text = "HTTP/1.1 200 OK\r\nSignature: s\r\nRequest: ";
  text += aRequest.mHead.mHeaders.Find("Request").value_or("");
  text += "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text.append(aBody);
}

bool
SendText(tcp_stream& aStream, const std::string& aText, yield_context aYield)
{
  return aStream.Write({ asio::buffer(aText) }, Soon(), aYield).has_value();
}

scripted_target::scripted_target(asio::io_context& aContext,
                                 std::string aId,
                                 script aScript)
  : mScript(std::move(aScript))
  , mContext(aContext)
  , mId(std::move(aId))
  , mAcceptor(aContext, AnyPort())
  , mAddress(mAcceptor.local_endpoint())
{
  Accept();
}

scripted_target::~scripted_target()
{
  *mIsAlive = false;
}

void
scripted_target::StopAccepting()
{
  asio::error_code ignored;
  mAcceptor.close(ignored);
}

void
scripted_target::AcceptAgain()
{
  mAcceptor = asio::ip::tcp::acceptor(mContext, mAddress);
  Accept();
}

target_entry
scripted_target::Entry(std::string aService, std::string aZone) const
{
  target_entry entry;
  entry.mId = mId;
  entry.mService = std::move(aService);
  entry.mAvailabilityZone = std::move(aZone);
  entry.mAddress = mAddress;
  entry.mSlots = 6;
  return entry;
}

void
scripted_target::Accept()
{
  mAcceptor.async_accept(
    [this, alive = mIsAlive](const asio::error_code& aError,
                             asio::ip::tcp::socket aSocket) {
      if (aError || !*alive) {
        return;
      }
      ++mConnections;
      const auto stream = std::make_shared<tcp_stream>(std::move(aSocket));
      asio::spawn(
        mContext,
        [this, alive, stream](yield_context aYield) {
          while (true) {
            const auto bytes = ReadHeadBytes(*stream, 65'536, Soon(), aYield);
            const auto head = bytes ? ParseRequestHead(*bytes, head_limits())
                                    : tl::unexpected(head_error::Malformed);
            if (!head) {
              return;
            }
            http_request request;
            request.mHead = *head;
            if (!request.mHead.mHeaders.Find("Answer-Early")) {
              body_lease lease(1'000'000);
              request.mBody =
                ReadBody(*stream, head->mFraming, lease, Soon(), aYield)
                  .value_or("");
            }
            if (!*alive) {
              return;
            }
            mRequests.push_back(request);
            if (!mScript(request, *stream, aYield)) {
              stream->Close();
              return;
            }
          }
        },
        boost::coroutines::attributes(kStack));
      Accept();
    });
}

edge_fixture::edge_fixture()
{
  mSettings.mInstance = "i1";
  mSettings.mAvailabilityZone = "a";
  mSettings.mCallers = AnyPort();
  mSettings.mReadiness = AnyPort();
  mSettings.mMetrics = AnyPort();
  mSettings.mPeers = { asio::ip::make_address("127.0.0.1"), 0 };
  mFeed.Publish(Configuration(4));
  auto created =
    proxy_instance::Create(mScheduler, mSettings, TestHeaders(), mFeed, 1);
  CHECK(created.has_value());
  mInstance = std::move(*created);
  mInstance->Start();
  // It registers when the store has confirmed its first read.
  Run([this](yield_context aYield) {
    while (mFeed.MemberCount() == 0) {
      Sleep(1ms, aYield);
    }
  });
}

edge_fixture::~edge_fixture()
{
  // Tasks that wait hold references to the fixture: they are left where they
  // are, since nothing runs the loop any more.
}

fleet_configuration
edge_fixture::Configuration(std::uint64_t aVersion) const
{
  fleet_configuration configuration;
  configuration.mVersion = aVersion;
  const auto add = [&](const char* aName,
                       const char* aPrefix,
                       repeat_rule aRule,
                       const char* aService) {
    route_spec route;
    route.mName = aName;
    route.mHost = "shop.example";
    route.mPathPrefix = aPrefix;
    route.mRepeat = aRule;
    route.mAttempts = 2;
    route.mShares = { { aService, 1 } };
    configuration.mRoutes.push_back(route);
  };
  add("specs", "/specs/", repeat_rule::Idempotent, "catalogue");
  add("cuts", "/cuts/", repeat_rule::AtMostOnce, "workshop");
  add("open", "/open/", repeat_rule::Idempotent, "catalogue");
  configuration.mRoutes.back().mIsPublic = true;
  add("short", "/short/", repeat_rule::Idempotent, "catalogue");
  configuration.mRoutes.back().mTimeout = 300ms;
  organisation_spec organisation;
  organisation.mName = "lagos";
  organisation.mKeys = { "key-1" };
  configuration.mOrganisations = { organisation };
  return configuration;
}

scripted_target&
edge_fixture::AddTarget(const std::string& aId,
                        const std::string& aService,
                        scripted_target::script aScript)
{
  mTargets.push_back(
    std::make_unique<scripted_target>(mContext, aId, std::move(aScript)));
  mFeed.PutTarget(mTargets.back()->Entry(aService, "a"));
  Run([this](yield_context aYield) { Sleep(150ms, aYield); });
  return *mTargets.back();
}

void
edge_fixture::Run(const std::function<void(yield_context)>& aTask)
{
  RunTask(mContext, aTask);
}

void
edge_fixture::Sleep(duration aTime, yield_context aYield)
{
  mScheduler.SleepFor(aTime, aYield);
}

void
edge_fixture::Pause(duration aTime)
{
  Run([&](yield_context aYield) { Sleep(aTime, aYield); });
}

std::map<int, int>
edge_fixture::CountStatuses(int aRequests,
                            const std::string& aPath,
                            const std::string& aHeaders)
{
  std::map<int, int> statuses;
  Run([&](yield_context aYield) {
    for (int i = 0; i < aRequests; ++i) {
      const auto answer = Call("GET", aPath, aYield, aHeaders);
      ++statuses[answer ? answer->mHead.mStatus : 0];
    }
  });
  return statuses;
}

proxy_instance&
edge_fixture::AddInstance(const std::string& aName, const std::string& aZone)
{
  auto settings = mSettings;
  settings.mInstance = aName;
  settings.mAvailabilityZone = aZone;
  auto created = proxy_instance::Create(
    mScheduler, settings, TestHeaders(), mFeed, Hash64(aName));
  CHECK(created.has_value());
  mOtherInstances.push_back(std::move(*created));
  mOtherInstances.back()->Start();
  Run([this](yield_context aYield) { Sleep(150ms, aYield); });
  return *mOtherInstances.back();
}

result<http_response>
edge_fixture::Call(const std::string& aMethod,
                   const std::string& aPath,
                   yield_context aYield,
                   const std::string& aHeaders,
                   const std::string& aBody)
{
  return CallAt(*mInstance, aMethod, aPath, aYield, aHeaders, aBody);
}

result<http_response>
edge_fixture::CallAt(const proxy_instance& aInstance,
                     const std::string& aMethod,
                     const std::string& aPath,
                     yield_context aYield,
                     const std::string& aHeaders,
                     const std::string& aBody)
{
  tcp_stream stream(mContext);
  const auto connected =
    stream.Connect(aInstance.CallersAddress(), Soon(), aYield);
  if (!connected) {
    return Fail(connected.error());
  }
  std::string text = aMethod + ' ' + aPath +
                     " HTTP/1.1\r\nHost: shop.example\r\nRequest: r" +
                     std::to_string(mNextRequest++) + "\r\n" + aHeaders;
  if (!aBody.empty()) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  text += "\r\n" + aBody;
  if (!SendText(stream, text, aYield)) {
    return Fail(errc::InputOutput);
  }
  return ReadResponse(
    stream, aMethod == "HEAD", body_lease(1'000'000), Soon(), aYield);
}

} // namespace cowslipline::testing
