#include "standins/upstream_standin/target_server.h"

#include "core/hash.h"

#include <algorithm>
#include <array>
#include <chrono>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cowslipline::standin {

namespace {

constexpr int kBacklog = 256;
constexpr int kWaitSlice = 100; ///< Milliseconds between looks at the stop.

std::string
Sha256Hex(std::string_view aText)
{
  std::array<std::uint8_t, crypto_hash_sha256_BYTES> digest{};
  crypto_hash_sha256(digest.data(),
                     reinterpret_cast<const unsigned char*>(aText.data()),
                     aText.size());
  return ToHex(AsView(digest));
}

std::string
MakeAnswer(std::string_view aStatus,
           std::string_view aHeaders,
           std::string_view aBody)
{
  std::string text = "HTTP/1.1 ";
  text.append(aStatus).append("\r\n").append(aHeaders);
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text.append(aBody);
}

} // namespace

target_server::target_server(target_options aOptions)
  : mOptions(std::move(aOptions))
  , mFaults(mOptions.mFaults)
  , mRandom(mOptions.mSeed)
{
}

target_server::~target_server()
{
  Stop();
}

bool
target_server::Start()
{
  mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(mOptions.mPort);
  socklen_t size = sizeof(address);
  const int isOn = 1;
  ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(mListener, generic, size) != 0 ||
      ::listen(mListener, kBacklog) != 0 ||
      ::getsockname(mListener, generic, &size) != 0) {
    ::close(mListener);
    return false;
  }
  mPort = ntohs(address.sin_port);
  mAcceptor = std::thread([this] { Accept(); });
  return true;
}

void
target_server::Stop()
{
  if (!mAcceptor.joinable()) {
    return;
  }
  mIsStopping = true;
  ::shutdown(mListener, SHUT_RDWR);
  mAcceptor.join();
  ::close(mListener);
  std::unique_lock lock(mMutex);
  for (const int descriptor : mOpen) {
    ::shutdown(descriptor, SHUT_RDWR);
  }
  mChanged.notify_all();
  mChanged.wait(lock, [this] { return mOpen.empty(); });
}

void
target_server::Accept()
{
  while (true) {
    const int accepted = ::accept(mListener, nullptr, nullptr);
    if (accepted < 0) {
      return;
    }
    const int isOn = 1;
    ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
    const std::lock_guard lock(mMutex);
    if (mOpen.size() >= static_cast<std::size_t>(mOptions.mConnections)) {
      ::close(accepted);
      continue;
    }
    mOpen.insert(accepted);
    // Stop() waits until all of these have left mOpen.
    std::thread([this, accepted, number = mNextNumber++] {
      Serve(accepted, number);
    }).detach();
  }
}

void
target_server::Serve(int aDescriptor, std::uint64_t aNumber)
{
  target_connection connection(aDescriptor);
  while (!mIsStopping) {
    const auto request = connection.Receive();
    if (!request || !Answer(connection, *request, aNumber)) {
      break;
    }
  }
  // Before the socket is closed: its number may be given out again then.
  const std::lock_guard lock(mMutex);
  mOpen.erase(aDescriptor);
  mChanged.notify_all();
}

bool
target_server::Answer(target_connection& aConnection,
                      const received_request& aRequest,
                      std::uint64_t aNumber)
{
  if (aRequest.mTarget.rfind("/_", 0) == 0) {
    return AnswerControl(aConnection, aRequest);
  }
  bool isSilent = false;
  {
    const std::lock_guard lock(mMutex);
    isSilent = aNumber < mSilentBelow;
  }
  if (isSilent) {
    while (!mIsStopping && !aConnection.WaitForEnd(kWaitSlice)) {
    }
    return false;
  }
  if (!aRequest.Header("authorization").empty()) {
    mLog.NoteAuthorization();
  }
  if (!TakeSlot()) {
    mLog.CountShed();
    return aConnection.Send(
      MakeAnswer("503 Busy", "Cowslipline-Shed: not-run\r\n", ""));
  }
  const bool isOpen = Run(aConnection, aRequest);
  GiveSlotBack();
  return isOpen;
}

bool
target_server::AnswerControl(target_connection& aConnection,
                             const received_request& aRequest)
{
  constexpr std::string_view kJson = "Content-Type: application/json\r\n";
  const auto path = aRequest.Path();
  if (path == "/_ran") {
    return aConnection.Send(MakeAnswer("200 OK", kJson, mLog.RenderJson()));
  }
  const std::lock_guard lock(mMutex);
  if (path == "/_health") {
    const nlohmann::json load = { { "running", mRunning },
                                  { "waiting", mWaiting } };
    return aConnection.Send(MakeAnswer(
      mFaults.mIsDraining ? "503 Draining" : "200 OK", kJson, load.dump()));
  }
  if (path != "/_control" || !ApplyControl(aRequest.mBody, mFaults)) {
    return aConnection.Send(MakeAnswer("400 Bad Request", "", ""));
  }
  if (WantsSilence(aRequest.mBody)) {
    mSilentBelow = mNextNumber;
  }
  return aConnection.Send(MakeAnswer("200 OK", kJson, "{}"));
}

bool
target_server::Run(target_connection& aConnection,
                   const received_request& aRequest)
{
  const auto faults = Faults();
  mLog.Add(aRequest.Header("x-request-id"), aRequest.Header("idempotency-key"));
  const auto chosen = DrawFault(faults);
  const auto time =
    static_cast<int>(faults.mServiceMilliseconds * faults.mSlowness);
  if (aConnection.WaitForEnd(time)) {
    mLog.CountCanceled();
    return false;
  }
  return AnswerWith(chosen, aConnection, aRequest, faults);
}

bool
target_server::AnswerWith(fault aFault,
                          target_connection& aConnection,
                          const received_request& aRequest,
                          const target_faults& aFaults)
{
  std::string body = aRequest.mBody;
  std::string type = aRequest.Header("content-type");
  if (body.empty()) {
    const nlohmann::json document = { { "target", mOptions.mName },
                                      { "path", aRequest.mTarget } };
    body =
      document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    type = "application/json";
  }
  std::string headers = "X-Body-Sha256: " + Sha256Hex(body) + "\r\n";
  headers += "X-Target: " + mOptions.mName + "\r\n";
  headers += type.empty() ? "" : "Content-Type: " + type + "\r\n";
  headers += aFaults.mIsDraining ? "Cowslipline-Draining: true\r\n" : "";
  const auto id = aRequest.Header("x-request-id");
  const auto own = headers + (id.empty() ? "" : "X-Request-Id: " + id + "\r\n");
  switch (aFault) {
    case fault::None:
      return aConnection.Send(MakeAnswer("200 OK", own, body));
    case fault::Error:
      return aConnection.Send(
        MakeAnswer("500 Internal Server Error", own, "failed"));
    case fault::Truncate: {
      const auto whole = MakeAnswer("200 OK", own, body);
      aConnection.Send(std::string_view(whole).substr(
        0, whole.size() - (body.size() + 1) / 2));
      return false;
    }
    case fault::Wrong:
      return aConnection.Send(MakeAnswer(
        "200 OK", headers + "X-Request-Id: another-request\r\n", "another"));
    case fault::Hang:
      while (!mIsStopping && !aConnection.WaitForEnd(kWaitSlice)) {
      }
      return false;
    case fault::Reset:
      aConnection.ResetOnClose();
      return false;
  }
  return false;
}

bool
target_server::TakeSlot()
{
  std::unique_lock lock(mMutex);
  if (mRunning >= mOptions.mSlots && mWaiting >= mOptions.mQueue) {
    return false;
  }
  ++mWaiting;
  mChanged.wait(lock,
                [this] { return mRunning < mOptions.mSlots || mIsStopping; });
  --mWaiting;
  ++mRunning;
  return true;
}

void
target_server::GiveSlotBack()
{
  const std::lock_guard lock(mMutex);
  --mRunning;
  mChanged.notify_all();
}

target_faults
target_server::Faults() const
{
  const std::lock_guard lock(mMutex);
  return mFaults;
}

target_server::fault
target_server::DrawFault(const target_faults& aFaults)
{
  const std::array<std::pair<double, fault>, 5> rates{
    { { aFaults.mErrorRate, fault::Error },
      { aFaults.mTruncateRate, fault::Truncate },
      { aFaults.mWrongRate, fault::Wrong },
      { aFaults.mHangRate, fault::Hang },
      { aFaults.mResetRate, fault::Reset } }
  };
  const std::lock_guard lock(mMutex);
  for (const auto& [rate, kind] : rates) {
    if (rate > 0 && mRandom.Unit() < rate) {
      return kind;
    }
  }
  return fault::None;
}

} // namespace cowslipline::standin
