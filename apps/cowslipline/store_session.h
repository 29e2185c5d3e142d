#pragma once

#include "core/scheduler.h"
#include "modules/configuration/publisher.h"
#include "modules/configuration/text_form.h"
#include "platform/platform.h"

#include <optional>

namespace cowslipline {

/// The connection of one run of the tool to the store, with its own event
/// loop.
class store_session
{
public:
  explicit store_session(const endpoint& aStore)
    : mScheduler(mContext)
    , mStore(mScheduler, { aStore.mHost, aStore.mPort })
    , mPublisher(mScheduler, mStore)
  {
  }

  /// Runs a function with the publisher as a task until it returns.
  template<typename F>
  auto Run(F aFunction)
  {
    using answer_type = std::invoke_result_t<F, publisher&, yield_context>;
    std::optional<answer_type> answer;
    mScheduler.Spawn([&](yield_context aYield) {
      answer.emplace(aFunction(mPublisher, aYield));
    });
    mContext.restart();
    mContext.run();
    return std::move(*answer);
  }

private:
  asio::io_context mContext;
  system_scheduler mScheduler;
  http_key_value_store mStore;
  publisher mPublisher;
};

} // namespace cowslipline
