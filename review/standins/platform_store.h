#pragma once

#include "review/standins/record.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

/// Key-value store of the platform: keys, leases, watches with a full history.
class platform_store
{
public:
  explicit platform_store(record& aRecord);
  ~platform_store();
  platform_store(const platform_store&) = delete;
  platform_store& operator=(const platform_store&) = delete;

  std::string Ip() const { return mIp; }
  std::uint16_t Port() const { return mListener.Port(); }

  /// Writes as the operator or a server does, without a lease.
  void Put(const std::string& aKey, const std::string& aValue);

  /// While it is silent the store takes connections and calls, does nothing
  /// and answers nothing.
  void SetSilent(bool aIsSilent);
  bool IsSilent() const { return mIsSilent; }

  /// Decides on each transaction whether its answer is lost and it is done that
  /// much later; nothing: it is done and answered at once.
  using late_rule = std::function<std::optional<std::chrono::milliseconds>(
    const nlohmann::json& aBody)>;
  void SetLateRule(late_rule aRule);

  /// Present keys that begin with the prefix.
  std::vector<std::string> Keys(const std::string& aPrefix);

private:
  struct item
  {
    std::string mValue; ///< In base64.
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
    std::uint64_t mLease = 0;
  };
  struct lease
  {
    std::chrono::milliseconds mTimeToLive{ 0 };
    time_point mEnd;
  };
  struct reply
  {
    int mStatus = 200;
    nlohmann::json mBody = nlohmann::json::object();
  };

  void Serve(http_socket aSocket);
  /// Nothing: the answer is lost.
  std::optional<reply> Handle(const http_message& aCall);
  reply Range(const std::string& aPrefix, const std::string& aAfter);
  reply Watch(const std::string& aPrefix,
              std::uint64_t aAfter,
              std::chrono::milliseconds aWait);
  reply Transaction(const nlohmann::json& aBody);
  reply GrantLease(const nlohmann::json& aBody);
  reply KeepLease(std::uint64_t aId);
  reply EndLease(std::uint64_t aId);
  void ExpireLeases();
  void WriteItem(const std::string& aKey,
                 const std::string& aValue,
                 std::uint64_t aLease);
  void RemoveItem(const std::string& aKey);
  nlohmann::json Describe(const std::string& aKey, const item& aItem) const;

  record& mRecord;
  std::string mIp = "127.0.0.1";
  http_listener mListener;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, item> mItems;
  std::map<std::uint64_t, lease> mLeases;
  std::vector<std::pair<std::uint64_t, nlohmann::json>> mHistory;
  std::uint64_t mRevision = 100;
  std::uint64_t mNextLease = 7000;
  late_rule mLateRule;
  std::atomic<bool> mIsSilent{ false };
  std::atomic<bool> mIsStopped{ false };
  std::atomic<int> mConnections{ 0 };
  std::vector<std::thread> mThreads;
};

} // namespace review
