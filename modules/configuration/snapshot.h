#pragma once

#include "core/hash.h"
#include "core/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cowslipline {

/// Index of a service, route, target or organisation in its snapshot.
using service_index = std::uint32_t;
using route_index = std::uint32_t;
using organisation_index = std::uint32_t;
/// Index of a target within its service.
using target_index = std::uint32_t;

/// Organisation of a key whose organisation is not in the configuration. Such
/// a key admits nobody; it is kept so that a withdrawal is never forgotten.
constexpr organisation_index kNoOrganisation = UINT32_MAX;

/// The answer must have one of these status codes.
struct status_check
{
  std::vector<int> mAllowed;
};

/// The answer must carry this header with the hex SHA-256 of its body.
struct digest_check
{
  std::string mHeader;
};

/// The answer must be a JSON object with this top-level field.
struct field_check
{
  std::string mField;
};

/// How a wrong answer is recognised.
using answer_check = std::variant<status_check, digest_check, field_check>;

struct route
{
  std::string mId; ///< Unique in the configuration, such as "ledger.deposit".
  service_index mService = 0;
  std::string mMethod;     ///< Upper case.
  std::string mPathPrefix; ///< Matches at path segment boundaries.
  bool mIsOpen = false;    ///< Open to callers without a key.
  /// Organisations that may call a guarded route; empty means all.
  std::vector<organisation_index> mOrganisations;
  bool mIsIdempotent = true;
  std::chrono::milliseconds mDeadline{ 2000 };
  std::size_t mRequestBytesLimit = 1 << 20;
  std::size_t mAnswerBytesLimit = 1 << 20;
  bool mCancelOnDisconnect = true;
  std::vector<answer_check> mAnswerChecks;
};

struct target
{
  std::string mId; ///< Unique in its service.
  std::string mHost;
  std::uint16_t mPort = 0;
  std::string mAvailabilityZone;
  bool mIsDraining = false;
};

struct service
{
  std::string mName;
  std::vector<target> mTargets;
  /// Smallest number of targets that ejection leaves in use.
  std::uint32_t mFloor = 1;
  std::uint32_t mSlotsPerTarget = 6;
  std::uint32_t mConnectionsPerTarget = 350;
};

struct organisation
{
  std::string mName;
  double mRate = 0;  ///< Requests per second.
  double mBurst = 2; ///< Requests.
};

struct access_key
{
  std::string mId; ///< Public identifier, shown to operators.
  digest32 mDigest{};
  organisation_index mOrganisation = kNoOrganisation;
  bool mIsWithdrawn = false;
};

struct digest_hash
{
  std::size_t operator()(const digest32& aDigest) const
  {
    return Hash64(AsView(aDigest));
  }
};

/// One version of the whole configuration. Immutable once shared.
struct snapshot
{
  std::uint64_t mVersion = 0;
  std::vector<service> mServices;
  std::vector<route> mRoutes;
  std::vector<organisation> mOrganisations;
  std::unordered_map<digest32, access_key, digest_hash> mKeys;
  std::unordered_map<std::string, organisation_index> mOrganisationByName;
};

using snapshot_pointer = std::shared_ptr<const snapshot>;

/// Access to the configuration in force. Safe from any thread. The snapshot is
/// never null; version 0 is empty and means that none is in force yet.
class snapshot_source
{
public:
  virtual ~snapshot_source() = default;
  virtual snapshot_pointer Current() const = 0;
};

} // namespace cowslipline
