#pragma once

#include "core/random.h"
#include "standins/upstream_standin/run_log.h"
#include "standins/upstream_standin/target_connection.h"
#include "standins/upstream_standin/target_faults.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace cowslipline::standin {

struct target_options
{
  std::string mName;
  std::uint16_t mPort = 0; ///< 0: the system chooses.
  std::uint64_t mSeed = 1;
  int mSlots = 6;         ///< Requests that run at a time.
  int mQueue = 6;         ///< Requests that wait for a slot; others are shed.
  int mConnections = 350; ///< Further ones are closed at once.
  target_faults mFaults;
};

/// One target of an upstream service. Answers requests with their own body and
/// its SHA-256 in `X-Body-Sha256`; requests without a body get a JSON object.
///
/// POST /_control sets faults, GET /_ran tells what ran, GET /_health answers
/// 200 unless the target drains, whatever its other faults are.
class target_server
{
public:
  explicit target_server(target_options aOptions);
  ~target_server();
  target_server(const target_server&) = delete;
  target_server& operator=(const target_server&) = delete;

  /// Binds a loopback port and serves. False when it cannot be bound.
  bool Start();
  void Stop();
  std::uint16_t Port() const { return mPort; }

private:
  enum class fault
  {
    None,
    Error,
    Truncate,
    Wrong,
    Hang,
    Reset,
  };

  void Accept();
  void Serve(int aDescriptor, std::uint64_t aNumber);
  /// False when the connection ends.
  bool Answer(target_connection& aConnection,
              const received_request& aRequest,
              std::uint64_t aNumber);
  bool AnswerControl(target_connection& aConnection,
                     const received_request& aRequest);
  bool Run(target_connection& aConnection, const received_request& aRequest);
  bool AnswerWith(fault aFault,
                  target_connection& aConnection,
                  const received_request& aRequest,
                  const target_faults& aFaults);

  bool TakeSlot();
  void GiveSlotBack();
  target_faults Faults() const;
  fault DrawFault(const target_faults& aFaults);

  const target_options mOptions;
  std::uint16_t mPort = 0;
  int mListener = -1;
  std::thread mAcceptor;
  std::atomic<bool> mIsStopping{ false };

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  target_faults mFaults;
  random_source mRandom;
  int mRunning = 0;
  int mWaiting = 0;
  std::set<int> mOpen;
  std::uint64_t mNextNumber = 0;
  std::uint64_t mSilentBelow = 0; ///< Connections with lower numbers.
  run_log mLog;
};

} // namespace cowslipline::standin
