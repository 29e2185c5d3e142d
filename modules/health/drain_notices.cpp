#include "modules/health/drain_notices.h"

#include "core/cbor.h"
#include <algorithm>

#include <nlohmann/json.hpp>

namespace cowslipline {

namespace {

using nlohmann::json;

constexpr std::string_view kDrainingService = "health.draining";
/// A draining target stops or is removed from the configuration within minutes.
/// A target that restarts under the same name gets requests again after this
/// time.
constexpr duration kDrainingTime = std::chrono::minutes(5);
/// Answers to requests in flight repeat the header; they must not cause one
/// broadcast each.
constexpr duration kNoticeInterval = std::chrono::seconds(1);

} // namespace

drain_notices::drain_notices(std::shared_ptr<scheduler> aScheduler,
                             std::shared_ptr<peer_channel> aChannel,
                             std::shared_ptr<membership> aMembership,
                             std::shared_ptr<target_table> aTable,
                             std::shared_ptr<ejection_log> aLog,
                             std::shared_ptr<metrics> aMetrics)
  : mScheduler(std::move(aScheduler))
  , mChannel(std::move(aChannel))
  , mMembership(std::move(aMembership))
  , mTable(std::move(aTable))
  , mLog(std::move(aLog))
  , mMetrics(std::move(aMetrics))
{
}

void
drain_notices::Start()
{
  mChannel->Handle(std::string(kDrainingService),
                   [this](const instance_name& aFrom,
                          std::string_view aPayload,
                          yield_context) -> result<std::string> {
                     Handle(aFrom, aPayload);
                     return std::string();
                   });
}

void
drain_notices::ReportDraining(service_state& aService, target_state& aTarget)
{
  const auto now = mScheduler->Now();
  const auto& self = mMembership->Self().mName;
  MarkDraining(aService, aTarget, self);
  if (now - aTarget.mDrainNoticeSent < kNoticeInterval) {
    return;
  }
  aTarget.mDrainNoticeSent = now;
  std::string payload;
  json::to_cbor(json::array({ aService.mHash, aTarget.mHash }), payload);
  for (const auto& peer : mMembership->LiveMembers()) {
    if (peer.mName != self) {
      mChannel->Send(peer.mName, kDrainingService, payload);
    }
  }
}

void
drain_notices::Handle(const instance_name& aFrom, std::string_view aPayload)
{
  const auto value = DecodeCbor(aPayload).value_or(json());
  if (!value.is_array() || value.size() != 2 ||
      !value[0].is_number_unsigned() || !value[1].is_number_unsigned()) {
    mMetrics->Counter("cowslipline_health_malformed_total").Add();
    return;
  }
  auto* const service = mTable->FindByHash(value[0].get<std::uint32_t>());
  auto* const state =
    service == nullptr
      ? nullptr
      : service->FindTargetByHash(value[1].get<std::uint32_t>());
  if (state != nullptr) {
    MarkDraining(*service, *state, aFrom);
  }
}

void
drain_notices::MarkDraining(service_state& aService,
                            target_state& aTarget,
                            const instance_name& aFrom)
{
  const auto now = mScheduler->Now();
  const bool isNew = now >= aTarget.mDrainingUntil;
  aTarget.mDrainingUntil = now + kDrainingTime;
  aTarget.mInUseSince = std::max(aTarget.mInUseSince, aTarget.mDrainingUntil);
  if (!isNew) {
    return;
  }
  ejection_record record;
  record.mTime = mScheduler->WallNow();
  record.mService = aService.mName;
  record.mTarget = aTarget.mName;
  record.mAction = ejection_action::Drained;
  record.mReason = "announced by the target";
  record.mDecidedBy = aFrom;
  record.mReturns =
    record.mTime +
    std::chrono::duration_cast<std::chrono::milliseconds>(kDrainingTime)
      .count();
  mLog->Add(std::move(record));
}

} // namespace cowslipline
