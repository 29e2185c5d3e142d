#include "target.h"

#include <chrono>
#include <deque>

#include <sys/socket.h>

namespace review {

namespace {

constexpr double kHeartbeat = 1.5;
constexpr int kSlots = 6;

std::mutex runsMutex;
// A deque, so that a run can be completed while others are added.
std::deque<run> runs;

run&
BeginRun(run aRun)
{
  const std::lock_guard<std::mutex> lock(runsMutex);
  runs.push_back(std::move(aRun));
  return runs.back();
}

void
EndRun(run& aRun, const char* aOutcome)
{
  const std::lock_guard<std::mutex> lock(runsMutex);
  aRun.mOutcome = aOutcome;
}

} // namespace

std::vector<run>
target::Runs()
{
  const std::lock_guard<std::mutex> lock(runsMutex);
  return { runs.begin(), runs.end() };
}

target::target(store& aStore, traits aTraits)
  : mStore(aStore)
  , mTraits(std::move(aTraits))
  , mPort(FreePort())
  , mBorn(std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count())
{
  mServer = std::make_unique<server>(
    "127.0.0.1", mPort, [this](connection& aConnection) {
      {
        const std::lock_guard<std::mutex> lock(mMutex);
        mOpen.insert(aConnection.Socket());
      }
      Serve(aConnection);
      const std::lock_guard<std::mutex> lock(mMutex);
      mOpen.erase(aConnection.Socket());
    });
}

std::string
target::Entry() const
{
  if (mTraits.mForeignEntry.is_object()) {
    auto entry = mTraits.mForeignEntry;
    entry["address"] = "127.0.0.1:" + std::to_string(mPort);
    return entry.dump();
  }
  return nlohmann::json{
    { "service", mTraits.mService },
    { "address", "127.0.0.1:" + std::to_string(mPort) },
    { "zone", mTraits.mZone },
    { "version", "v1" },
    { "slots", kSlots },
    { "state", mIsLeaving ? "draining" : "ready" },
    { "cold-remaining-s", 0 },
    { "seq", mSequence.load() },
    { "born", mBorn }
  }.dump();
}

void
target::Register()
{
  // The entry changes when more than its seq does, so one write is enough for
  // what others see.
  mStore.Put("servers/" + mTraits.mId, Entry());
}

void
target::Leave(double aServeFor)
{
  std::thread([this, aServeFor] {
    mIsLeaving = true;
    ++mSequence;
    mStore.Put("servers/" + mTraits.mId, Entry());
    mLeftAt = Now();
    SleepFor(aServeFor);
    mHasEnded = true;
    mServer->Stop();
    {
      const std::lock_guard<std::mutex> lock(mMutex);
      for (const int open : mOpen) {
        ::shutdown(open, SHUT_RDWR);
      }
    }
    mStore.Remove("servers/" + mTraits.mId);
  }).detach();
}

void
target::Serve(connection& aConnection)
{
  while (auto request = aConnection.Read(0)) {
    if (mHasEnded) {
      return;
    }
    const auto id = request->Header("attempt-id");
    headers head{ { "Attempt-Id", id } };
    if (request->Header("expect-instance") != mTraits.mId) {
      head["Not-Executed"] = "1";
      head["Content-Length"] = "0";
      aConnection.Write(RenderHead("HTTP/1.1 421 -", head));
      continue;
    }
    auto& begun = BeginRun(
      { Now(), mTraits.mId, id, request->Header("tenant"), "running" });
    SleepFor(mTraits.mWork);
    if (mHasEnded) {
      EndRun(begun, "broken_off");
      return;
    }
    const bool isLeaving = mIsLeaving;
    if (isLeaving) {
      head["Server-Leaving"] = "1";
      head["Connection"] = "close";
    }
    head["Response-Seal"] = "seal-" + id;
    head["Content-Length"] = std::to_string(mTraits.mAnswerBytes);
    const bool isWritten =
      aConnection.Write(RenderHead("HTTP/1.1 200 OK", head) +
                        std::string(mTraits.mAnswerBytes, 'x'));
    EndRun(begun, isWritten ? "ran" : "answer_not_taken");
    if (!isWritten || isLeaving) {
      return;
    }
  }
}

} // namespace review
