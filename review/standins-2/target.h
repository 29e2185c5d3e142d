#pragma once

#include "store.h"

namespace review {

/// What one request did at a target.
struct run
{
  double mArrivedAt = 0;
  std::string mTarget;
  std::string mId;
  std::string mTenant;
  std::string mOutcome; ///< ran, or broken_off when the target ended first.
};

/// A target of a service: it registers, runs what it gets and answers.
class target
{
public:
  struct traits
  {
    std::string mId;
    std::string mService;
    std::string mZone = "zone-a";
    double mWork = 0.3;            ///< Seconds a request.
    std::size_t mAnswerBytes = 40; ///< Of the body.
    /// What stands in the store instead of the usual entry; the address is
    /// filled in.
    nlohmann::json mForeignEntry = nullptr;
  };

  target(store& aStore, traits aTraits);

  /// Writes its entry each heartbeat until it has ended.
  void Register();
  /// Leaves in order: reports it to the store, says so in all answers, goes on
  /// for aServeFor seconds after the store has accepted the report, and exits.
  void Leave(double aServeFor);
  bool HasEnded() const { return mHasEnded; }
  double LeftAt() const { return mLeftAt; }
  std::uint16_t Port() const { return mPort; }

  static std::vector<run> Runs();

private:
  void Serve(connection& aConnection);
  std::string Entry() const;

  store& mStore;
  traits mTraits;
  std::uint16_t mPort;
  std::atomic<bool> mIsLeaving{ false };
  std::atomic<bool> mHasEnded{ false };
  std::atomic<double> mLeftAt{ 0 };
  std::atomic<int> mSequence{ 1 };
  std::int64_t mBorn;
  std::mutex mMutex;
  std::set<int> mOpen;
  std::unique_ptr<server> mServer;
};

} // namespace review
