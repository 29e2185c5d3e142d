#pragma once

#include "core/scheduler.h"
#include "modules/routing/routing.h"
#include "modules/sharing/member_table.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cowslipline {

/// A new configuration was published.
struct configuration_changed
{
  std::shared_ptr<const route_index> mIndex;
};

/// A target was registered, or its entry changed.
struct target_changed
{
  target_entry mEntry;
};

/// A target's entry was deleted, or its lease ended.
struct target_removed
{
  std::string mId;
};

/// An instance of the proxy was registered, or its entry changed.
struct member_changed
{
  fleet_member mMember;
  std::uint64_t mLeaseId = 0; ///< Under which the entry was written.
};

/// An instance's registration was deleted, or its lease ended.
struct member_removed
{
  std::string mName;
};

/// In this generation of the store, what it lacked on its return has had time
/// to be written again.
struct recovery_recorded
{
  std::uint64_t mGeneration = 0;
};

/// The targets of an availability zone are to get no more requests.
struct zone_evacuated
{
  std::string mZone;
};

/// The targets of an evacuated zone may get requests again.
struct zone_restored
{
  std::string mZone;
};

/// An entry of the store that cannot be decoded. If it is a configuration, the
/// previous one stays in force; a target with such an entry is not used.
struct entry_unreadable
{
  std::string mKey;
  std::string mReason;
};

using platform_event = std::variant<configuration_changed,
                                    target_changed,
                                    target_removed,
                                    member_changed,
                                    member_removed,
                                    recovery_recorded,
                                    zone_evacuated,
                                    zone_restored,
                                    entry_unreadable>;

/// A point in the store's history. Revisions of different generations cannot be
/// compared: when the store comes back from an older copy, its generation
/// increases and the revisions since the copy are given out again.
struct store_position
{
  std::uint64_t mGeneration = 0; ///< 0 if the store does not name one.
  std::uint64_t mRevision = 0;
};

inline bool
operator==(const store_position& aLeft, const store_position& aRight)
{
  return aLeft.mGeneration == aRight.mGeneration &&
         aLeft.mRevision == aRight.mRevision;
}

inline bool
operator!=(const store_position& aLeft, const store_position& aRight)
{
  return !(aLeft == aRight);
}

/// Events from the store in the order of their revisions.
struct platform_changes
{
  std::vector<platform_event> mEvents;
  /// Where the store is after these events; the next watch starts after it. A
  /// full read may hold single later events, which the watch reports again.
  store_position mPosition;
  /// The events in the store's encoding, to be forwarded to other instances and
  /// decoded with Decode().
  std::string mText;
};

/// A lease in the store, which deletes the keys written under a lease when the
/// lease ends. The number may belong to another instance in a later generation
/// of the store.
struct store_lease
{
  std::uint64_t mId = 0;
  std::uint64_t mGeneration = 0;
};

/// What a full read returns.
enum class read_state
{
  Latest,
  /// A state that may be seconds old, which costs less. A watch after its
  /// position confirms it.
  MayBeOld,
};

/// Interface to the platform's key-value store: reads and watches its entries
/// and registers this instance under a lease. Errors of all calls that take a
/// yield_context: errc::StoreUnavailable (the call had no effect),
/// errc::StoreAnswerLost (the call may have taken effect), errc::NotFound for a
/// lease that has ended.
class platform_feed
{
public:
  virtual ~platform_feed() = default;

  /// Reads all entries.
  virtual result<platform_changes> ReadAll(read_state aState,
                                           yield_context aYield) = 0;

  /// Waits at most aWait for changes after aAfter; mEvents is empty when there
  /// were none. Further error: errc::HistoryLost, the store has no history
  /// after aAfter, also because it is of another generation, and ReadAll() is
  /// required.
  virtual result<platform_changes> Watch(const store_position& aAfter,
                                         duration aWait,
                                         yield_context aYield) = 0;

  /// Decodes platform_changes::mText that another instance has forwarded.
  /// Errors: errc::MessageMalformed.
  virtual result<std::vector<platform_event>> Decode(
    std::string_view aText) = 0;

  /// Creates a lease that ends when it is not renewed within aTimeToLive.
  virtual result<store_lease> GrantLease(duration aTimeToLive,
                                         yield_context aYield) = 0;
  /// Further error: errc::HistoryLost, a lease with this number exists in
  /// another generation, and may be another instance's.
  virtual result<void> RenewLease(const store_lease& aLease,
                                  yield_context aYield) = 0;

  /// Writes the member's registration under the lease. errc::NotFound also when
  /// the lease is of another generation.
  virtual result<void> Register(const fleet_member& aMember,
                                const store_lease& aLease,
                                yield_context aYield) = 0;
  /// Removes the member's registration. Its lease is left to expire: by its
  /// number the lease of another instance could be ended.
  virtual result<void> Unregister(const fleet_member& aMember,
                                  yield_context aYield) = 0;

  /// Writes a recovery_recorded entry, for all instances. errc::NotFound: the
  /// store is of another generation by now.
  virtual result<void> RecordRecovery(std::uint64_t aGeneration,
                                      yield_context aYield) = 0;
};

} // namespace cowslipline
