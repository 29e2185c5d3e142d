#pragma once

#include "review/standins/platform_store.h"

namespace review {

/// A target of a service. It registers itself, runs requests that expect its
/// id, and echoes their ids.
class target_server
{
public:
  /// Tells of a request that begins to run.
  using run_handler = std::function<void(const std::string& aTarget,
                                         const http_message& aRequest)>;

  /// A request runs for as many milliseconds as its query "?work=" says. One
  /// whose path ends in "/poison" crashes the target. aPort 0: a free one.
  target_server(platform_store& aStore,
                record& aRecord,
                std::string aId,
                std::string aService,
                std::string aZone,
                run_handler aHandler,
                std::uint16_t aPort = 0);
  ~target_server();

  /// From now on, the target sends these bytes after each aEvery-th complete
  /// answer: late, when the next request comes on that connection. 0: never.
  void SetAdditionalBytes(std::string aBytes, int aEvery);

  target_server(const target_server&) = delete;
  target_server& operator=(const target_server&) = delete;

  std::uint16_t Port() const { return mListener.Port(); }
  /// It refuses connections and has reset the present ones.
  bool HasCrashed() const { return mHasCrashed; }

private:
  void Crash(http_socket& aSocket);
  void Serve(http_socket aSocket);
  /// False when the connection is to be closed.
  bool Answer(http_socket& aSocket, const http_message& aRequest);
  void Beat();
  /// True when additional bytes follow the answer that was just completed.
  bool CountAnswer();

  platform_store& mStore;
  record& mRecord;
  std::string mId;
  std::string mService;
  std::string mZone;
  run_handler mHandler;
  std::string mIp = "127.0.0.1";
  http_listener mListener;
  std::int64_t mBornMs;
  std::uint64_t mSequence = 0;
  std::mutex mMutex;
  std::string mAdditionalBytes;
  int mAdditionalEvery = 0;
  int mAnswers = 0;
  std::atomic<bool> mIsStopped{ false };
  std::atomic<bool> mHasCrashed{ false };
  std::atomic<int> mConnections{ 0 };
  std::vector<std::thread> mThreads;
};

} // namespace review
