#pragma once

#include "review/standins/http_socket.h"

#include <cstdio>
#include <mutex>
#include <string>

namespace review {

/// Lines of what was sent, answered and run, with the milliseconds since the
/// start of the case.
class record
{
public:
  explicit record(const std::string& aPath)
    : mFile(std::fopen(aPath.c_str(), "w"))
    , mStart(clock_type::now())
  {
  }
  ~record()
  {
    if (mFile != nullptr) {
      std::fclose(mFile);
    }
  }
  record(const record&) = delete;
  record& operator=(const record&) = delete;

  void Add(const std::string& aLine)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto now =
      std::chrono::duration<double, std::milli>(clock_type::now() - mStart);
    if (mFile != nullptr) {
      std::fprintf(mFile, "%9.1f %s\n", now.count(), aLine.c_str());
      std::fflush(mFile);
    }
  }

private:
  std::mutex mMutex;
  std::FILE* mFile;
  time_point mStart;
};

} // namespace review
