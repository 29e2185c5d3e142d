#pragma once

#include "net.h"

#include <condition_variable>
#include <memory>
#include <set>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

/// The platform's store, as PROTOCOL.md describes it.
class store
{
public:
  /// Age, in seconds, of the state that the pages of a serializable read show:
  /// the first page and the others may come from different replicas.
  void SetReadAges(double aFirstPage, double aOtherPages);
  /// Opens a port for the calls of one machine.
  void Open(std::uint16_t aPort);
  void SetSilent(std::uint16_t aPort, bool aIsSilent);

  /// A write of the operator or a target. Returns when it is acknowledged.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);

private:
  struct event
  {
    double mAt = 0;
    std::uint64_t mRevision = 0;
    std::string mKey;
    std::optional<std::string> mValue; ///< Not set: removed.
    std::uint64_t mLease = 0;
  };
  struct item
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
    std::uint64_t mLease = 0;
  };
  using items = std::map<std::string, item>;

  void Serve(connection& aConnection, std::uint16_t aPort);
  bool IsSilent(std::uint16_t aPort);
  std::pair<int, nlohmann::json> Handle(const message& aCall,
                                        std::uint16_t aPort);
  nlohmann::json Range(const headers& aQuery);
  std::pair<int, nlohmann::json> Watch(const headers& aQuery,
                                       std::uint16_t aPort);
  std::pair<int, nlohmann::json> Apply(const nlohmann::json& aBody);

  // With mMutex held.
  void Append(const std::string& aKey,
              std::optional<std::string> aValue,
              std::uint64_t aLease);
  void EndLeases();
  items StateAt(double aTime, std::uint64_t& aRevision) const;

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<event> mEvents;
  std::uint64_t mRevision = 100;
  std::uint64_t mNextLease = 5000;
  struct lease
  {
    double mLength = 0;
    double mEnd = 0;
  };
  std::map<std::uint64_t, lease> mLeases;
  /// Ports whose machines get no answer.
  std::set<std::uint16_t> mSilentPorts;
  std::vector<std::unique_ptr<server>> mServers;
  double mFirstPageAge = 0;
  double mOtherPagesAge = 0;
};

std::string
EncodeBase64(const std::string& aBytes);

} // namespace review
