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
  , mListener(aContext, [this](asio::ip::tcp::socket aSocket) {
    Serve(std::move(aSocket));
  })
{
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
