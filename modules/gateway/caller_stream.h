#pragma once

#include "modules/gateway/timed_socket.h"

#include <string>

#include <httplib.h>

namespace cowslipline {

/// What the HTTP library sees of a caller's connection: a short head that the
/// gateway has written itself, and the way for the answer.
///
/// The library never parses what a caller sent. It decodes percent signs in
/// header values (which makes header injection possible), treats bodies of
/// GET requests as further requests, limits forms to 8 KiB, and cuts or
/// compresses answers by Range and Accept-Encoding.
class caller_stream final : public httplib::Stream
{
public:
  /// aIsHead: the answer to HEAD has no body.
  caller_stream(timed_socket& aSocket, bool aIsHead);

  bool is_readable() const override { return mRead < mHead.size(); }
  bool is_writable() const override { return !mHasFailed; }
  ssize_t read(char* aData, std::size_t aSize) override;
  ssize_t write(const char* aData, std::size_t aSize) override;
  void get_remote_ip_and_port(std::string& aAddress, int& aPort) const override;
  void get_local_ip_and_port(std::string& aAddress, int& aPort) const override;
  /// The library only compares it with the limit of select(), which this
  /// stream does not use.
  socket_t socket() const override { return 0; }

  /// Sends what is collected. Head and body go in one call, since two small
  /// writes would wait for each other's acknowledgement.
  bool Flush();

private:
  timed_socket& mSocket;
  std::string mHead;
  std::size_t mRead = 0;
  std::string mCollected;
  bool mHasFailed = false;
};

} // namespace cowslipline
