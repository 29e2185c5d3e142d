#include "tests/proxy/edge_fixture.h"
#include "tests/story.h"

using namespace cowslipline;
using namespace cowslipline::testing;
using namespace std::chrono_literals;

namespace {

// Far more than the system buffers of a connection take, so that an upload is
// still being written when its answer comes.
constexpr std::size_t kUploadBytes = 12UL * 1024 * 1024;

constexpr char kEarlyUpload[] = "Key: key-1\r\nAnswer-Early: 1\r\n";

std::string
RequestId(const http_request& aRequest)
{
  return std::string(aRequest.mHead.mHeaders.Find("Request").value_or(""));
}

/// The signed head of an answer that ends with its connection, and a body.
std::string
AnswerWithoutLength(const http_request& aRequest, std::string_view aBody)
{
  return std::string("HTTP/1.1 200 OK\r\nSignature: s\r\nRequest: ")
    .append(RequestId(aRequest))
    .append("\r\n\r\n")
    .append(aBody);
}

void
Reset(tcp_stream& aStream)
{
  asio::error_code ignored;
  aStream.Socket().set_option(asio::socket_base::linger(true, 0), ignored);
  aStream.Close();
}

int
StatusOf(const result<http_response>& aResponse)
{
  return aResponse ? aResponse->mHead.mStatus : 0;
}

std::string
BodyOf(const result<http_response>& aResponse)
{
  return aResponse ? aResponse->mBody : "(no response)";
}

/// A fixture whose callers may send long bodies.
class upload_fixture : public edge_fixture
{
public:
  upload_fixture()
  {
    auto configuration = Configuration(5);
    configuration.mLimits.mBodyBytes = 2 * kUploadBytes;
    mFeed.Publish(configuration);
    Run([this](yield_context aYield) { Sleep(150ms, aYield); });
  }

  result<http_response> Upload(const std::string& aPath, yield_context aYield)
  {
    return Call(
      "POST", aPath, aYield, kEarlyUpload, std::string(kUploadBytes, 'x'));
  }
};

} // namespace

TEST_GROUP(broken_answers){};

// Guards against a part of an answer that is passed on as the whole: the answer
// has no length, and its connection fails while the request is being written.
TEST(broken_answers, APartWithoutALengthIsNoSuccessDuringAnUpload)
{
  struct failure
  {
    const char* mName;
    scripted_target::script mScript;
  };
  const auto part = [](const http_request& aRequest,
                       tcp_stream& aStream,
                       yield_context aYield) {
    SendText(aStream, AnswerWithoutLength(aRequest, "a part"), aYield);
  };
  const std::vector<failure> failures = {
    { "a reset right behind the part",
      [&](const http_request& aRequest,
          tcp_stream& aStream,
          yield_context aYield) {
        part(aRequest, aStream, aYield);
        Reset(aStream);
        return false;
      } },
    { "a reset after a pause",
      [&](const http_request& aRequest,
          tcp_stream& aStream,
          yield_context aYield) {
        part(aRequest, aStream, aYield);
        aStream.WaitReadable(ReadBootClock() + 1s, aYield);
        asio::steady_timer pause(aStream.Socket().get_executor(), 100ms);
        pause.async_wait(aYield);
        Reset(aStream);
        return false;
      } },
    { "a close with the upload unread",
      [&](const http_request& aRequest,
          tcp_stream& aStream,
          yield_context aYield) {
        part(aRequest, aStream, aYield);
        return false;
      } },
  };
  for (const auto& failure : failures) {
    upload_fixture fixture;
    auto& first = fixture.AddTarget("w1", "workshop", failure.mScript);
    auto& second = fixture.AddTarget("w2", "workshop", failure.mScript);
    fixture.Run([&](yield_context aYield) {
      SECTION(failure.mName)
      {
        for (int i = 0; i < 5; ++i) {
          const auto response = fixture.Upload("/cuts/1", aYield);
          LONGS_EQUAL(502, StatusOf(response));
        }
        LONGS_EQUAL(5, first.Requests().size() + second.Requests().size());
      }
    });
  }
}

// Guards against the same part when the system gives the connection up: the
// target takes nothing of the upload any more and says nothing further.
TEST(broken_answers, APartWithoutALengthIsNoSuccessWhenTheUploadIsNotTaken)
{
  upload_fixture fixture;
  fixture.AddTarget(
    "w1",
    "workshop",
    [&](
      const http_request& aRequest, tcp_stream& aStream, yield_context aYield) {
      SendText(aStream, AnswerWithoutLength(aRequest, "a part"), aYield);
      fixture.Sleep(10s, aYield);
      return false;
    });
  fixture.Run([&](yield_context aYield) {
    const auto response = fixture.Upload("/cuts/1", aYield);
    LONGS_EQUAL(502, StatusOf(response));
  });
}

// Guards against a whole answer that is thrown away because its request was
// still being written. The target ends its direction before anything else.
TEST(broken_answers, AWholeAnswerWithoutALengthIsDeliveredDuringAnUpload)
{
  struct ending
  {
    const char* mName;
    duration mUntilReset;
  };
  for (const auto& ending : { ending{ "the connection stays half open", 500ms },
                              ending{ "a reset right behind the end", 0ms } }) {
    upload_fixture fixture;
    const auto& until = ending.mUntilReset;
    fixture.AddTarget(
      "w1",
      "workshop",
      [&](const http_request& aRequest,
          tcp_stream& aStream,
          yield_context aYield) {
        SendText(aStream, AnswerWithoutLength(aRequest, "all of it"), aYield);
        aStream.EndSending();
        if (until > duration(0)) {
          fixture.Sleep(until, aYield);
        }
        Reset(aStream);
        return false;
      });
    fixture.Run([&](yield_context aYield) {
      SECTION(ending.mName)
      {
        for (int i = 0; i < 5; ++i) {
          const auto response = fixture.Upload("/cuts/1", aYield);
          LONGS_EQUAL(200, StatusOf(response));
          STRCMP_EQUAL("all of it", BodyOf(response).c_str());
        }
      }
    });
  }
}
