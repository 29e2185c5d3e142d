#include "modules/proxy/page_server.h"

namespace cowslipline {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kHeadBytes = 8192;
constexpr duration kIdleTimeout = 10s;
constexpr std::size_t kStackBytes = 64UL * 1024;

} // namespace

page_server::page_server(asio::io_context& aContext, renderer aRenderer)
  : mContext(aContext)
  , mRenderer(std::move(aRenderer))
  , mAcceptor(aContext)
{
}

result<void>
page_server::Open(const tcp_endpoint& aAddress)
{
  asio::error_code error;
  mAcceptor.open(aAddress.protocol(), error);
  if (!error) {
    mAcceptor.set_option(asio::socket_base::reuse_address(true), error);
    mAcceptor.bind(aAddress, error);
  }
  if (!error) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(error);
  }
  Accept();
  return {};
}

tcp_endpoint
page_server::LocalAddress() const
{
  asio::error_code ignored;
  return mAcceptor.local_endpoint(ignored);
}

void
page_server::Close()
{
  asio::error_code ignored;
  mAcceptor.close(ignored);
}

void
page_server::Accept()
{
  mAcceptor.async_accept(
    [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted || !mAcceptor.is_open()) {
        return;
      }
      if (!aError) {
        Serve(std::move(aSocket));
      }
      Accept();
    });
}

void
page_server::Serve(asio::ip::tcp::socket aSocket)
{
  const auto stream = std::make_shared<tcp_stream>(std::move(aSocket));
  asio::spawn(
    mContext,
    [this, stream](yield_context aYield) {
      bool isKept = true;
      while (isKept) {
        const auto deadline = ReadBootClock() + kIdleTimeout;
        const auto bytes = ReadHeadBytes(*stream, kHeadBytes, deadline, aYield);
        const auto head = bytes ? ParseRequestHead(*bytes, head_limits())
                                : tl::unexpected(head_error::Malformed);
        if (!head) {
          break;
        }
        const auto served = mRenderer(head->Path());
        header_list headers;
        headers.Add("Content-Type", "text/plain");
        headers.Add("Content-Length", std::to_string(served.mBody.size()));
        isKept = !head->WantsClose();
        if (!isKept) {
          headers.Add("Connection", "close");
        }
        const auto text = RenderResponseHead(served.mStatus, headers);
        isKept =
          stream->Write({ asio::buffer(text), asio::buffer(served.mBody) },
                        deadline,
                        aYield) &&
          isKept;
      }
      stream->Close();
    },
    boost::coroutines::attributes(kStackBytes));
}

} // namespace cowslipline
