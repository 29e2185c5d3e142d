#pragma once

#include "core/time.h"
#include "modules/sharing/peer_message.h"

#include <deque>
#include <list>
#include <optional>
#include <string>
#include <vector>

namespace cowslipline {

/// Longest text of changes that is sent in one datagram, in bytes. Longer text
/// goes in parts.
constexpr std::size_t kMaxWholeChangesBytes = 1024;

/// Changes as they are sent in parts.
struct split_changes
{
  changes_id mId;
  std::vector<std::string> mParts;

  changes_part Part(std::uint32_t aIndex) const
  {
    return {
      mId, aIndex, static_cast<std::uint32_t>(mParts.size()), mParts[aIndex]
    };
  }
};

/// Compresses the text of the changes and cuts it into parts that fit into one
/// packet of a network each. Changes of a length that no receiver accepts have
/// no parts.
split_changes
SplitChanges(const changes_reply& aChanges);

/// Puts changes together that come in parts, and names the parts to be asked
/// for again. It answers a configuration of any size or hundreds of changed
/// targets at once: datagrams are lost one by one, and a follower that asked
/// the store instead would make its calls grow with the instances. Takes no
/// part in sending; the time is an argument.
class change_transfers
{
public:
  /// Parts that have not arrived and the instance that sends them.
  struct repair
  {
    changes_parts_request mRequest;
    udp_endpoint mSender;
  };

  /// Changes that aSender is to send, as it said: their parts are asked for if
  /// they do not come by themselves.
  void Expect(const changes_id& aId,
              std::uint32_t aCount,
              const udp_endpoint& aSender,
              steady_time aNow);

  /// Returns the changes when this part completes them and their digest is
  /// right.
  std::optional<changes_reply> OnPart(const changes_part& aPart,
                                      const udp_endpoint& aSender,
                                      steady_time aNow);

  /// True while parts of the changes are awaited.
  bool IsOpen(const changes_id& aId) const;

  /// Requests to send now. Gives up on changes whose parts were asked for
  /// several times in vain.
  std::vector<repair> TakeRepairs(steady_time aNow);
  /// Time until TakeRepairs() has something to do; duration::max() if no parts
  /// are awaited.
  duration TimeToRepair(steady_time aNow) const;

private:
  struct transfer
  {
    changes_id mId;
    udp_endpoint mSender;
    std::vector<std::string> mParts; ///< Empty ones have not arrived.
    std::size_t mMissingCount = 0;
    int mRepairs = 0;
    steady_time mRepairAt;
  };

  transfer* Open(const changes_id& aId,
                 std::uint32_t aCount,
                 const udp_endpoint& aSender,
                 steady_time aNow);
  /// A copy: the transfer that it may come from is removed.
  void Close(changes_id aId);

  std::list<transfer> mOpen;
  /// Ended ones, whose parts may still arrive.
  std::deque<changes_id> mEnded;
};

} // namespace cowslipline
