#pragma once

#include "core/result.h"

#include <any>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipline {

/// Registry in which services find each other by name. Registered and read
/// at start, before other threads run; it is not changed afterwards.
class kernel
{
public:
  /// Errors: errc::Duplicate when the name is taken.
  template<typename T>
  result<void> Register(std::string_view aName, std::shared_ptr<T> aService);

  /// Errors: errc::ServiceMissing when no service of this name and type is
  /// registered.
  template<typename T>
  result<std::shared_ptr<T>> Find(std::string_view aName) const;

  /// Adds a function to run at Start(), in the order of the calls, and one to
  /// run at Stop(), in the reverse order.
  void OnStart(std::function<void()> aFunction);
  void OnStop(std::function<void()> aFunction);

  void Start();
  void Stop();

private:
  std::map<std::string, std::any, std::less<>> mServices;
  std::vector<std::function<void()>> mStartFunctions;
  std::vector<std::function<void()>> mStopFunctions;
};

template<typename T>
result<void>
kernel::Register(std::string_view aName, std::shared_ptr<T> aService)
{
  if (!mServices.emplace(std::string(aName), std::move(aService)).second) {
    return Fail(errc::Duplicate);
  }
  return {};
}

template<typename T>
result<std::shared_ptr<T>>
kernel::Find(std::string_view aName) const
{
  const auto found = mServices.find(aName);
  if (found == mServices.end()) {
    return Fail(errc::ServiceMissing);
  }
  const auto* service = std::any_cast<std::shared_ptr<T>>(&found->second);
  if (service == nullptr) {
    return Fail(errc::ServiceMissing);
  }
  return *service;
}

} // namespace cowslipline
