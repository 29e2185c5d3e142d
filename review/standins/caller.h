#pragma once

#include "review/standins/record.h"

namespace review {

struct caller_request
{
  std::string mMethod = "GET";
  std::string mTarget; ///< Path and query.
  std::string mHost = "orders.example";
  std::string mKey; ///< Empty: none is sent.
  std::chrono::milliseconds mDeadline{ 6000 };
};

struct caller_answer
{
  std::string mRequestId;
  /// 0: the connection ended without a complete answer.
  int mStatus = 0;
  bool mWantsClose = true;
  bool mIsTimedOut = false;
  std::string mBody;
};

/// A new id for each attempt.
std::string
NewRequestId();

/// Sends the request on an open connection and waits for its answer.
caller_answer
SendRequest(http_socket& aSocket,
            const caller_request& aRequest,
            const std::string& aRequestId,
            record& aRecord);

/// Where the case writes: "record.txt" of its folder and a temporary folder.
struct case_arguments
{
  std::string mRecordPath;
  std::string mFolder;
  bool mIsTrouble = true; ///< False with TROUBLE=0.
};

case_arguments
ReadArguments(int aCount, char** aArguments);

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;

} // namespace review
