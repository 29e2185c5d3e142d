#pragma once

#include "core/http_message.h"
#include "core/tcp_listener.h"

#include <functional>

namespace cowslipline {

struct page
{
  int mStatus = 200;
  std::string mBody;
};

/// Serves a few small pages, such as readiness and metrics, by GET.
class page_server
{
public:
  /// The page of a path; its status is 404 for an unknown one.
  using renderer = std::function<page(std::string_view aPath)>;

  page_server(asio::io_context& aContext, renderer aRenderer);

  /// Errors: those of bind() and listen().
  result<void> Open(const tcp_endpoint& aAddress)
  {
    return mListener.Open(aAddress);
  }
  tcp_endpoint LocalAddress() const { return mListener.LocalAddress(); }
  void Close() { mListener.Close(); }

private:
  void Serve(asio::ip::tcp::socket aSocket);

  asio::io_context& mContext;
  renderer mRenderer;
  tcp_listener mListener;
};

} // namespace cowslipline
