#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cowslipline::standin {

struct received_request
{
  std::string mMethod;
  std::string mTarget;                         ///< Path and query.
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;

  std::string Path() const { return mTarget.substr(0, mTarget.find('?')); }
  std::string Header(const std::string& aLowerName) const;
};

/// One accepted connection. Closes its socket.
class target_connection
{
public:
  explicit target_connection(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }
  ~target_connection();
  target_connection(const target_connection&) = delete;
  target_connection& operator=(const target_connection&) = delete;

  /// The next request; nothing when the connection has ended or carried
  /// something else. Bodies need a Content-Length.
  std::optional<received_request> Receive();
  bool Send(std::string_view aBytes);
  /// True when the other side ends the connection within the time.
  bool WaitForEnd(int aMilliseconds) const;
  /// Makes closing a reset.
  void ResetOnClose();

private:
  bool Fill();

  int mDescriptor;
  std::string mBuffer;
};

} // namespace cowslipline::standin
