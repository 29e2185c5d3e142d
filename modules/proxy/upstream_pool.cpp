#include "modules/proxy/upstream_pool.h"

#include <algorithm>

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

// A target accepts a few hundred connections from the whole fleet; one
// instance rarely has more requests than this at one target.
constexpr std::size_t kMostIdleOfTarget = 4;

// Time in which a request is on its way: a connection that the target is about
// to close is not used.
constexpr duration kCloseMargin = 500ms;

} // namespace

std::unique_ptr<tcp_stream>
upstream_pool::Take(std::string_view aTarget, steady_time aNow)
{
  const auto found = mIdle.find(std::string(aTarget));
  if (found == mIdle.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  while (!connections.empty()) {
    auto newest = std::move(connections.back());
    connections.pop_back();
    if (aNow < newest.mUsableUntil && newest.mStream->IsQuiet()) {
      return std::move(newest.mStream);
    }
  }
  return nullptr;
}

void
upstream_pool::Put(std::string_view aTarget,
                   std::unique_ptr<tcp_stream> aStream,
                   duration aKeepFor,
                   steady_time aNow)
{
  auto& connections = mIdle[std::string(aTarget)];
  if (aKeepFor > kCloseMargin && connections.size() < kMostIdleOfTarget) {
    connections.push_back(
      { std::move(aStream), aNow + aKeepFor - kCloseMargin });
  }
}

void
upstream_pool::Drop(std::string_view aTarget)
{
  mIdle.erase(std::string(aTarget));
}

void
upstream_pool::CloseExpired(steady_time aNow)
{
  for (auto target = mIdle.begin(); target != mIdle.end();) {
    auto& connections = target->second;
    connections.erase(std::remove_if(connections.begin(),
                                     connections.end(),
                                     [aNow](const idle_connection& aIdle) {
                                       return aNow >= aIdle.mUsableUntil ||
                                              !aIdle.mStream->IsQuiet();
                                     }),
                      connections.end());
    target = connections.empty() ? mIdle.erase(target) : std::next(target);
  }
}

std::size_t
upstream_pool::Size() const
{
  std::size_t size = 0;
  for (const auto& [target, connections] : mIdle) {
    size += connections.size();
  }
  return size;
}

} // namespace cowslipline
