#pragma once

#include "core/scheduler.h"
#include "modules/routing/routing.h"
#include "modules/sharing/member_table.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cowslipline {

struct configuration_changed
{
  std::shared_ptr<const route_index> mIndex;
};

struct target_changed
{
  target_entry mEntry;
};

struct target_removed
{
  std::string mId;
};

struct member_changed
{
  fleet_member mMember;
};

struct member_removed
{
  std::string mName;
};

/// Something in the store that cannot be read. What it replaced stays in force
/// for a configuration; a target with such an entry is not used.
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
                                    entry_unreadable>;

/// Events in the order of their revisions.
struct platform_changes
{
  std::vector<platform_event> mEvents;
  /// The store's revision from which the next watch goes on.
  std::uint64_t mRevision = 0;
  /// The events in the store's own form, for passing on to other instances;
  /// without the configuration, which is too large for a datagram.
  std::string mText;
  bool mHasConfiguration = false;
};

/// A lease of the store; its keys go when it ends.
using lease_id = std::uint64_t;

/// The platform's store as this product uses it. Errors of all calls:
/// errc::StoreUnavailable (nothing was done), errc::StoreAnswerLost (may have
/// been done), errc::NotFound for a lease that has ended.
class platform_feed
{
public:
  virtual ~platform_feed() = default;

  /// Everything that lies in the store, from its current state.
  virtual result<platform_changes> ReadAll(yield_context aYield) = 0;

  /// Waits for changes after the revision, at most aWait; empty when there
  /// were none. Also errc::HistoryLost: everything has to be read again.
  virtual result<platform_changes> Watch(std::uint64_t aAfter,
                                         duration aWait,
                                         yield_context aYield) = 0;

  /// Decodes changes that another instance has passed on.
  /// Errors: errc::MessageMalformed.
  virtual result<std::vector<platform_event>> Decode(
    std::string_view aText) = 0;

  virtual result<lease_id> GrantLease(duration aTimeToLive,
                                      yield_context aYield) = 0;
  virtual result<void> RenewLease(lease_id aLease, yield_context aYield) = 0;
  virtual result<void> EndLease(lease_id aLease, yield_context aYield) = 0;

  /// Writes the member's registration under the lease.
  virtual result<void> Register(const fleet_member& aMember,
                                lease_id aLease,
                                yield_context aYield) = 0;
};

} // namespace cowslipline
