#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cowslipline {

/// One start of a target. A restarted target knows nothing of its earlier
/// limits, also when it keeps its id.
struct target_run
{
  std::string_view mId;
  std::int64_t mStartedAtMs = 0; ///< Unix ms, as registered.
};

/// Whether a target limits the rate at which the whole fleet may send to it.
struct target_limit_state
{
  std::string mTarget;
  std::int64_t mStartedAtMs = 0;
  /// Requests/s from all instances together; nothing: the answer named none.
  std::optional<double> mRate;
  /// Named: since the answer arrived. Not named: since its request was sent.
  duration mAge{ 0 };
};

/// What an observation changed.
enum class limit_change
{
  None,    ///< Nothing that other instances need to hear.
  Limited, ///< A new limit, another rate, or named again.
  Cleared, ///< An answer without a limit; the limit ends after two of them.
  Lifted,  ///< The limit has ended.
};

/// What an answer says of its target's limit.
struct limit_signal
{
  /// The lowest rate that it names, in requests/s.
  std::optional<double> mRate;
  /// It names no rate. If neither is set, it names none that can be read, and
  /// says neither that there is a limit nor that there is none.
  bool mIsClear = false;
};

/// Reads the values of the header in which targets name their rate. Values that
/// are no decimal number, negative or not finite are skipped.
limit_signal
ReadLimitSignal(const std::vector<std::string_view>& aValues);

/// The limits that targets have named, and which of them refuse this instance
/// for the moment. A limit holds for the whole fleet, so sends to a limited
/// target need a permit of its owner (send_permits); this table decides
/// who asks, and keeps a refused instance from asking again at once, also for
/// cold targets, whose limit others decide on (ColdLimitAt). For load that
/// exceeds what single targets accept.
class target_rate_limits
{
public:
  /// A whole answer of the target to a request sent at aSentAt. aRate: the
  /// limit that it named. An answer to a request that was sent before the limit
  /// was last named does not end it, since answers may overtake each other.
  limit_change OnAnswer(const target_run& aTarget,
                        std::optional<double> aRate,
                        steady_time aSentAt,
                        steady_time aNow);
  /// An observation of another instance.
  limit_change OnReport(const target_limit_state& aReport, steady_time aNow);

  /// Requests/s; nothing if the target has no limit.
  std::optional<double> RateOf(const target_run& aTarget) const;

  /// The owner answered a request for a permit: the limit is still in use.
  void OnOwnerReply(const target_run& aTarget, steady_time aNow);
  /// The owner refused a permit for a request of this priority, and of less
  /// urgent ones. 0 is the most urgent. aRetryAfter: until one is expected.
  void OnRefused(const target_run& aTarget,
                 int aPriority,
                 duration aRetryAfter,
                 steady_time aNow);
  /// True while asking for a permit again would be refused.
  bool IsBlocked(const target_run& aTarget,
                 int aPriority,
                 steady_time aNow) const;
  /// Time until a permit of the target is expected; 0 if not refused.
  duration TimeToPermit(const target_run& aTarget,
                        int aPriority,
                        steady_time aNow) const;

  /// All limits, for an instance that has just started.
  std::vector<target_limit_state> States(steady_time aNow) const;
  std::size_t Size() const { return mRecords.size(); }

  /// Removes limits of which nothing was heard for a minute.
  void Prune(steady_time aNow);

private:
  struct refusal
  {
    steady_time mBlockedUntil;
    steady_time mPermitExpectedAt;
  };

  /// A target_run that owns its text.
  struct run_key
  {
    std::string mId;
    std::int64_t mStartedAtMs = 0;

    operator target_run() const { return { mId, mStartedAtMs }; }
  };

  /// An order for the table only. Which run is the later one cannot be told
  /// from it: the target's clock may have been set back in between.
  struct run_order
  {
    using is_transparent = void;

    bool operator()(const target_run& aLeft, const target_run& aRight) const
    {
      return std::tie(aLeft.mId, aLeft.mStartedAtMs) <
             std::tie(aRight.mId, aRight.mStartedAtMs);
    }
  };

  struct record
  {
    double mRate = 0;
    steady_time mNamedAt; ///< Arrival of the last answer that named it.
    steady_time mHeardAt; ///< Anything that shows that it is in use.
    steady_time mToldAt;  ///< Of the last change that others were told.
    int mClearAnswers = 0;
  };

  limit_change OnNamed(const target_run& aTarget,
                       double aRate,
                       steady_time aNamedAt,
                       steady_time aNow);
  limit_change OnCleared(const target_run& aTarget, steady_time aSentAt);
  /// Removes the limits of other runs of the target that were named before a
  /// request was sent to this one. True if there were any.
  bool RemoveOtherRuns(const target_run& aTarget, steady_time aSentAt);
  record* Find(const target_run& aTarget);
  const record* Find(const target_run& aTarget) const;

  std::map<run_key, record, run_order> mRecords;
  /// By priority. Also of targets without a record, which are cold.
  std::map<run_key, std::map<int, refusal>, run_order> mRefusals;
};

} // namespace cowslipline
