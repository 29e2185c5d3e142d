#pragma once

#include "core/metrics.h"
#include "modules/gateway/decisions.h"
#include "modules/gateway/request_context.h"
#include "modules/gateway/route_latency.h"
#include "modules/gateway/route_table.h"
#include "modules/gateway/upstream_client.h"

namespace cowslipline {

/// Serves one request from its head to its answer. Safe from any thread; each
/// call runs on the thread of its connection.
class request_pipeline
{
public:
  request_pipeline(gateway_decisions aDecisions,
                   snapshot_source& aSnapshots,
                   metrics& aMetrics,
                   upstream_client& aUpstreams,
                   body_budget& aBudget);

  caller_answer Serve(caller_exchange& aExchange);

private:
  using step_result = std::optional<refusal>;
  using answer_result = tl::expected<caller_answer, refusal>;

  answer_result Run(request_context& aContext);

  // The steps in their order.
  step_result FindRoute(request_context& aContext);
  step_result IdentifyCaller(request_context& aContext);
  step_result CheckRight(request_context& aContext);
  step_result CheckForm(request_context& aContext);
  step_result ReadBody(request_context& aContext);
  step_result CheckKeyAgain(request_context& aContext);
  step_result CheckReadiness(request_context& aContext);
  step_result AdmitRate(request_context& aContext);
  step_result Claim(request_context& aContext);

  // Attempts.
  answer_result RunAttempts(request_context& aContext);
  answer_result EndAttempts(request_context& aContext, answer_result aAnswer);
  step_result CheckStart(request_context& aContext) const;
  tl::expected<chosen_target, refusal> ChooseTarget(request_context& aContext);
  tl::expected<upstream_result, refusal> Attempt(request_context& aContext,
                                                 const chosen_target& aTarget);
  upstream_request MakeUpstreamRequest(const request_context& aContext) const;
  duration AttemptTime(const request_context& aContext) const;
  void Report(request_context& aContext,
              const chosen_target& aTarget,
              const upstream_result& aResult);
  bool MayRetry(request_context& aContext, const upstream_result& aResult);
  refusal RefusalOf(const request_context& aContext,
                    const upstream_result& aResult) const;

  caller_answer MakeAnswer(const request_context& aContext,
                           upstream_result aResult) const;
  caller_answer MakeReplay(const request_context& aContext) const;
  void Record(const request_context& aContext,
              const caller_answer& aAnswer,
              const std::optional<refusal>& aRefusal);

  gateway_decisions mDecisions;
  snapshot_source& mSnapshots;
  metrics& mMetrics;
  upstream_client& mUpstreams;
  body_budget& mBudget;
  route_table_cache mRoutes;
  route_latency mLatencies;
};

} // namespace cowslipline
