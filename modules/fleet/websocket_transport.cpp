#include "modules/fleet/websocket_transport.h"

#include "core/log.h"

#include <map>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace cowslipline {

namespace {

using server_endpoint = websocketpp::server<websocketpp::config::asio>;
using client_endpoint = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

// A configuration chunk of 512 KiB fits with room for its frame.
constexpr std::size_t kLargestMessageBytes = 2UL << 20;

constexpr long kOpenTimeoutMilliseconds = 1000;

enum class connection_side
{
  Server,
  Client,
};

struct connection_entry
{
  connection_hdl mHandle;
  connection_side mSide = connection_side::Server;
};

template<typename Socket>
void
DisableDelay(Socket& aSocket)
{
  asio::error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

} // namespace

class websocket_transport::implementation
{
public:
  implementation(asio::io_context& aContext, transport_events aEvents)
    : mEvents(std::move(aEvents))
  {
    Prepare(mServer, aContext, connection_side::Server);
    Prepare(mClient, aContext, connection_side::Client);
    mServer.set_reuse_addr(true);
  }

  result<void> Listen(const std::string& aAddress, std::uint16_t aPort)
  {
    asio::error_code error;
    const auto address = asio::ip::make_address(aAddress, error);
    if (error) {
      return Fail(errc::InputOutput);
    }
    websocketpp::lib::error_code listenError;
    mServer.listen(asio::ip::tcp::endpoint(address, aPort), listenError);
    if (listenError) {
      return Fail(errc::InputOutput);
    }
    mServer.start_accept(listenError);
    if (listenError) {
      return Fail(errc::InputOutput);
    }
    mPort = mServer.get_local_endpoint(error).port();
    return {};
  }

  connection_id Connect(const std::string& aAddress, std::uint16_t aPort)
  {
    websocketpp::lib::error_code error;
    const auto connection = mClient.get_connection(
      "ws://" + aAddress + ":" + std::to_string(aPort) + "/peer", error);
    const auto id = mNextId++;
    if (error) {
      // Reported like a failed connection, so that callers have one path.
      mEvents.mClosed(id);
      return id;
    }
    const auto handle = connection->get_handle();
    mConnections[id] = { handle, connection_side::Client };
    mIds[handle] = id;
    mClient.connect(connection);
    return id;
  }

  bool SendBytes(connection_id aConnection, std::string_view aBytes)
  {
    const auto found = mConnections.find(aConnection);
    if (found == mConnections.end()) {
      return false;
    }
    constexpr auto binary = websocketpp::frame::opcode::binary;
    websocketpp::lib::error_code error;
    if (found->second.mSide == connection_side::Server) {
      mServer.send(
        found->second.mHandle, aBytes.data(), aBytes.size(), binary, error);
    } else {
      mClient.send(
        found->second.mHandle, aBytes.data(), aBytes.size(), binary, error);
    }
    return !error;
  }

  void Close(connection_id aConnection)
  {
    const auto found = mConnections.find(aConnection);
    if (found == mConnections.end()) {
      return;
    }
    constexpr auto status = websocketpp::close::status::going_away;
    websocketpp::lib::error_code ignored;
    const auto entry = found->second;
    if (entry.mSide == connection_side::Server) {
      mServer.close(entry.mHandle, status, "", ignored);
    } else {
      mClient.close(entry.mHandle, status, "", ignored);
    }
  }

  std::uint16_t Port() const { return mPort; }

  void Stop()
  {
    websocketpp::lib::error_code ignored;
    if (mServer.is_listening()) {
      mServer.stop_listening(ignored);
    }
    const auto connections = mConnections;
    for (const auto& [id, entry] : connections) {
      Close(id);
    }
  }

private:
  template<typename Endpoint>
  void Prepare(Endpoint& aEndpoint,
               asio::io_context& aContext,
               connection_side aSide)
  {
    aEndpoint.clear_access_channels(websocketpp::log::alevel::all);
    aEndpoint.clear_error_channels(websocketpp::log::elevel::all);
    aEndpoint.init_asio(&aContext);
    aEndpoint.set_max_message_size(kLargestMessageBytes);
    aEndpoint.set_open_handshake_timeout(kOpenTimeoutMilliseconds);
    // The option needs a connected socket, which the earlier handlers of the
    // library do not have. Without it a reply that follows another waits 40 ms
    // for a delayed acknowledgement.
    aEndpoint.set_tcp_post_init_handler(
      [&aEndpoint](const connection_hdl& aHandle) {
        websocketpp::lib::error_code error;
        const auto connection = aEndpoint.get_con_from_hdl(aHandle, error);
        if (!error) {
          DisableDelay(connection->get_raw_socket());
        }
      });
    aEndpoint.set_open_handler([this, aSide](const connection_hdl& aHandle) {
      if (aSide == connection_side::Server) {
        const auto id = mNextId++;
        mConnections[id] = { aHandle, aSide };
        mIds[aHandle] = id;
      }
      mEvents.mOpened(mIds[aHandle]);
    });
    const auto closed = [this](const connection_hdl& aHandle) {
      Forget(aHandle);
    };
    aEndpoint.set_close_handler(closed);
    aEndpoint.set_fail_handler(closed);
    aEndpoint.set_message_handler(
      [this](const connection_hdl& aHandle,
             const typename Endpoint::message_ptr& aMessage) {
        const auto found = mIds.find(aHandle);
        if (found != mIds.end()) {
          mEvents.mMessage(found->second, aMessage->get_payload());
        }
      });
  }

  void Forget(const connection_hdl& aHandle)
  {
    const auto found = mIds.find(aHandle);
    if (found == mIds.end()) {
      return;
    }
    const auto id = found->second;
    mIds.erase(found);
    mConnections.erase(id);
    mEvents.mClosed(id);
  }

  server_endpoint mServer;
  client_endpoint mClient;
  transport_events mEvents;
  std::uint16_t mPort = 0;
  connection_id mNextId = 1;
  std::map<connection_id, connection_entry> mConnections;
  std::map<connection_hdl, connection_id, std::owner_less<connection_hdl>> mIds;
};

websocket_transport::websocket_transport(
  std::unique_ptr<implementation> aImplementation)
  : mImplementation(std::move(aImplementation))
{
}

websocket_transport::~websocket_transport() = default;

result<std::unique_ptr<websocket_transport>>
websocket_transport::Create(asio::io_context& aContext,
                            const std::string& aAddress,
                            std::uint16_t aPort,
                            transport_events aEvents)
{
  auto implementation = std::make_unique<websocket_transport::implementation>(
    aContext, std::move(aEvents));
  const auto listening = implementation->Listen(aAddress, aPort);
  if (!listening) {
    return Fail(listening.error());
  }
  return std::unique_ptr<websocket_transport>(
    new websocket_transport(std::move(implementation)));
}

connection_id
websocket_transport::Connect(const std::string& aAddress, std::uint16_t aPort)
{
  return mImplementation->Connect(aAddress, aPort);
}

bool
websocket_transport::SendBytes(connection_id aConnection,
                               std::string_view aBytes)
{
  return mImplementation->SendBytes(aConnection, aBytes);
}

void
websocket_transport::Close(connection_id aConnection)
{
  mImplementation->Close(aConnection);
}

std::uint16_t
websocket_transport::Port() const
{
  return mImplementation->Port();
}

void
websocket_transport::Stop()
{
  mImplementation->Stop();
}

} // namespace cowslipline
