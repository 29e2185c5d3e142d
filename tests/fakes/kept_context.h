#pragma once

#include <asio/io_context.hpp>

#include <memory>
#include <vector>

namespace cowslipline::testing {

/// A context that lives until the process ends. Tasks of a test may still wait
/// on it: unwinding their stacks after the test's objects are gone would touch
/// freed memory.
inline asio::io_context&
KeptContext()
{
  static auto* const contexts =
    new std::vector<std::unique_ptr<asio::io_context>>();
  contexts->push_back(std::make_unique<asio::io_context>());
  return *contexts->back();
}

} // namespace cowslipline::testing
