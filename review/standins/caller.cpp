#include "review/standins/caller.h"

#include <atomic>
#include <cstdlib>

#include <unistd.h>

namespace review {

std::string
NewRequestId()
{
  static std::atomic<std::uint64_t> next{ 1 };
  char text[40];
  std::snprintf(text,
                sizeof(text),
                "%08x%08llx",
                static_cast<unsigned>(::getpid()),
                static_cast<unsigned long long>(next++));
  return text;
}

caller_answer
SendRequest(http_socket& aSocket,
            const caller_request& aRequest,
            const std::string& aRequestId,
            record& aRecord)
{
  std::string head =
    aRequest.mMethod + ' ' + aRequest.mTarget +
    " HTTP/1.1\r\nHost: " + aRequest.mHost + "\r\nAttempt-Id: " + aRequestId +
    "\r\nDeadline-Ms: " + std::to_string(aRequest.mDeadline.count()) + "\r\n";
  if (!aRequest.mKey.empty()) {
    head += "Api-Key: " + aRequest.mKey + "\r\n";
  }
  if (aRequest.mMethod != "GET") {
    head += "Content-Length: 0\r\n";
  }
  caller_answer answer;
  answer.mRequestId = aRequestId;
  const auto sentAt = clock_type::now();
  aRecord.Add("sent " + aRequestId + ' ' + aRequest.mMethod + ' ' +
              aRequest.mTarget);
  if (aSocket.Send(head + "\r\n")) {
    if (const auto received = aSocket.Receive(sentAt + aRequest.mDeadline)) {
      answer.mStatus = received->Status();
      answer.mWantsClose = received->Header("connection") == "close";
      answer.mBody = received->mBody;
    }
  }
  answer.mIsTimedOut = answer.mStatus == 0 && !aSocket.HasEnded();
  aRecord.Add(
    "answer " + aRequestId + ' ' +
    (answer.mStatus != 0 ? std::to_string(answer.mStatus) + ' ' +
                             answer.mBody.substr(0, answer.mBody.find('\n'))
     : answer.mIsTimedOut ? std::string("none within the deadline")
                          : std::string("connection ended without one")));
  return answer;
}

case_arguments
ReadArguments(int aCount, char** aArguments)
{
  case_arguments arguments;
  arguments.mRecordPath = aCount > 1 ? aArguments[1] : "record.txt";
  arguments.mFolder = aCount > 2 ? aArguments[2] : "/tmp";
  const char* trouble = std::getenv("TROUBLE");
  arguments.mIsTrouble = trouble == nullptr || std::string(trouble) != "0";
  return arguments;
}

} // namespace review
