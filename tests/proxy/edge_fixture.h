#pragma once

#include "modules/proxy/proxy.h"
#include "tests/fakes/kept_context.h"
#include "tests/fakes/memory_platform_feed.h"

#include <functional>
#include <map>

namespace cowslipline::testing {

/// Header names of the tests, unlike those of any deployment.
fleet_header_names
TestHeaders();

/// A target whose behaviour a test sets. Runs on the fixture's loop.
class scripted_target
{
public:
  /// Serves one request on the stream; false closes the connection.
  using script =
    std::function<bool(const http_request&, tcp_stream&, yield_context)>;

  scripted_target(asio::io_context& aContext, std::string aId, script aScript);
  ~scripted_target();

  target_entry Entry(std::string aService, std::string aZone) const;
  /// Requests as they came.
  const std::vector<http_request>& Requests() const { return mRequests; }
  std::size_t Connections() const { return mConnections; }
  void StopAccepting();
  /// At the same address as before.
  void AcceptAgain();
  script mScript;

private:
  void Accept();

  asio::io_context& mContext;
  std::string mId;
  asio::ip::tcp::acceptor mAcceptor;
  tcp_endpoint mAddress;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
  std::vector<http_request> mRequests;
  std::size_t mConnections = 0;
};

/// A whole signed answer to the request, with the body.
std::string
GoodAnswer(const http_request& aRequest, std::string_view aBody);

bool
SendText(tcp_stream& aStream, const std::string& aText, yield_context aYield);

/// One instance with a store in memory, one availability zone and an
/// organisation "lagos" with the key "key-1".
class edge_fixture
{
public:
  edge_fixture();
  ~edge_fixture();

  scripted_target& AddTarget(const std::string& aId,
                             const std::string& aService,
                             scripted_target::script aScript);

  /// One more instance of the fleet, in the zone of the first if none is given.
  proxy_instance& AddInstance(const std::string& aName,
                              const std::string& aZone = "a");

  /// Runs the function as a task until it returns; fails the test after 20 s.
  void Run(const std::function<void(yield_context)>& aTask);
  void Sleep(duration aTime, yield_context aYield);
  /// Lets the instances and targets run for this time.
  void Pause(duration aTime);

  /// A request on a connection of its own.
  result<http_response> Call(const std::string& aMethod,
                             const std::string& aPath,
                             yield_context aYield,
                             const std::string& aHeaders = "Key: key-1\r\n",
                             const std::string& aBody = {});
  /// The same at one of the instances.
  result<http_response> CallAt(const proxy_instance& aInstance,
                               const std::string& aMethod,
                               const std::string& aPath,
                               yield_context aYield,
                               const std::string& aHeaders = "Key: key-1\r\n",
                               const std::string& aBody = {});

  /// Statuses of this many GET requests, one after the other, each status with
  /// its count; 0 stands for no answer.
  std::map<int, int> CountStatuses(
    int aRequests,
    const std::string& aPath,
    const std::string& aHeaders = "Key: key-1\r\n");

  fleet_configuration Configuration(std::uint64_t aVersion) const;

  asio::io_context& mContext = KeptContext();
  system_scheduler mScheduler{ mContext };
  memory_platform_feed mFeed{ mScheduler };
  proxy_settings mSettings;
  std::vector<std::unique_ptr<scripted_target>> mTargets;
  std::unique_ptr<proxy_instance> mInstance;
  std::vector<std::unique_ptr<proxy_instance>> mOtherInstances;
  int mNextRequest = 1;
};

} // namespace cowslipline::testing
