#include "review/standins/target_server.h"

#include <cstdlib>

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr auto kHeartbeat = 1500ms;

// Idle connections are closed after this time, as Keep-Alive says.
constexpr auto kIdleTimeout = 10s;

} // namespace

target_server::target_server(platform_store& aStore,
                             record& aRecord,
                             std::string aId,
                             std::string aService,
                             std::string aZone,
                             run_handler aHandler,
                             std::uint16_t aPort)
  : mStore(aStore)
  , mRecord(aRecord)
  , mId(std::move(aId))
  , mService(std::move(aService))
  , mZone(std::move(aZone))
  , mHandler(std::move(aHandler))
  , mListener(mIp, aPort)
  , mBornMs(std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())
{
  Beat();
  mThreads.emplace_back([this] {
    while (!mIsStopped) {
      if (auto accepted = mListener.Accept()) {
        ++mConnections;
        std::thread([this,
                     socket = std::make_shared<http_socket>(
                       std::move(*accepted))]() mutable {
          Serve(std::move(*socket));
          --mConnections;
        }).detach();
      }
    }
  });
  mThreads.emplace_back([this] {
    auto next = clock_type::now() + kHeartbeat;
    while (!mIsStopped) {
      std::this_thread::sleep_for(50ms);
      if (clock_type::now() >= next) {
        next += kHeartbeat;
        Beat();
      }
    }
  });
}

target_server::~target_server()
{
  mIsStopped = true;
  for (auto& thread : mThreads) {
    thread.join();
  }
  while (mConnections > 0) {
    std::this_thread::sleep_for(10ms);
  }
}

void
target_server::Beat()
{
  // The entry lasts three heartbeats without one.
  if (mStore.IsSilent()) {
    return;
  }
  mStore.Put("servers/" + mId,
             nlohmann::json{
               { "service", mService },
               { "address", mIp + ":" + std::to_string(mListener.Port()) },
               { "zone", mZone },
               { "version", "v1" },
               { "slots", 6 },
               { "state", "ready" },
               { "cold-remaining-s", 0 },
               { "seq", ++mSequence },
               { "born", mBornMs },
             }
               .dump());
}

void
target_server::SetAdditionalBytes(std::string aBytes, int aEvery)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mAdditionalBytes = std::move(aBytes);
  mAdditionalEvery = aEvery;
}

bool
target_server::CountAnswer()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mAdditionalEvery > 0 && ++mAnswers % mAdditionalEvery == 0;
}

void
target_server::Serve(http_socket aSocket)
{
  auto idleEnd = clock_type::now() + kIdleTimeout;
  bool hasMoreToSend = false;
  while (!mIsStopped && clock_type::now() < idleEnd) {
    if (!aSocket.WaitReadable(100ms)) {
      continue;
    }
    const auto request = aSocket.Receive(clock_type::now() + 5s);
    if (!request) {
      return;
    }
    if (hasMoreToSend) {
      mRecord.Add("additional bytes from " + mId + " before the answer to " +
                  request->Header("attempt-id"));
      const std::lock_guard<std::mutex> lock(mMutex);
      if (!aSocket.Send(mAdditionalBytes)) {
        return;
      }
    }
    if (!Answer(aSocket, *request)) {
      return;
    }
    hasMoreToSend = CountAnswer();
    idleEnd = clock_type::now() + kIdleTimeout;
  }
}

void
target_server::Crash(http_socket& aSocket)
{
  mRecord.Add("crash of " + mId);
  mListener.Stop();
  mHasCrashed = true;
  mIsStopped = true;
  aSocket.ResetOnClose();
}

bool
target_server::Answer(http_socket& aSocket, const http_message& aRequest)
{
  const auto requestId = aRequest.Header("attempt-id");
  const auto expected = aRequest.Header("expect-instance");
  if (!expected.empty() && expected != mId) {
    return aSocket.Send(
      "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + requestId +
      "\r\nInstance-Id: " + mId + "\r\nContent-Length: 0\r\n\r\n");
  }
  mRecord.Add("run begins at " + mId + ": " + requestId + " tenant " +
              aRequest.Header("tenant"));
  mHandler(mId, aRequest);
  const auto target = aRequest.Word(1);
  if (target.find("/poison") != std::string::npos) {
    Crash(aSocket);
    return false;
  }
  const auto query = target.find("?work=");
  const auto work = std::chrono::milliseconds(
    query == std::string::npos ? 0 : std::atoi(target.c_str() + query + 6));
  const auto end = clock_type::now() + work;
  while (clock_type::now() < end) {
    std::this_thread::sleep_for(
      std::min<clock_type::duration>(end - clock_type::now(), 20ms));
    if (mHasCrashed) {
      mRecord.Add("run lost in the crash of " + mId + ": " + requestId);
      aSocket.ResetOnClose();
      return false;
    }
    if (aSocket.HasEnded()) {
      // Dropped when its connection closes.
      mRecord.Add("run dropped at " + mId + ": " + requestId);
      return false;
    }
  }
  const std::string body = "done by " + mId + " for " + requestId + "\n";
  return aSocket.Send("HTTP/1.1 200 OK\r\nAttempt-Id: " + requestId +
                      "\r\nResponse-Seal: 3e1b.07." + mId + "." + requestId +
                      "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
}

} // namespace review
