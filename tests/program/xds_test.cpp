// Tests of endpoints over ADS: a stub proxy subscribes to the nodes of a shard.
#include <doctest/doctest.h>
#include <grpcpp/grpcpp.h>

#include "endpoint.pb.h"
#include "program_harness.h"
#include "xds.grpc.pb.h"

using namespace martencove::test;
namespace discovery = envoy::service::discovery::v3;
namespace endpoint = envoy::config::endpoint::v3;

namespace {

constexpr const char* kEndpoints = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";

/// A proxy with one stream. The deadline only prevents the test from hanging.
struct Proxy {
    explicit Proxy(const martencove::Address& server)
        : stub(discovery::AggregatedDiscoveryService::NewStub(
              grpc::CreateChannel(server.toString(), grpc::InsecureChannelCredentials()))) {
        context.set_wait_for_ready(true);
        context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(30));
        stream = stub->StreamAggregatedResources(&context);
    }
    ~Proxy() { context.TryCancel(); }
    void subscribe(std::vector<std::string> names, const std::string& nonce = "",
                   const std::string& error = "") {
        discovery::DiscoveryRequest request;
        request.set_type_url(kEndpoints);
        request.set_response_nonce(nonce);
        if (!error.empty()) request.mutable_error_detail()->set_message(error);
        for (const std::string& name : names) request.add_resource_names(name);
        REQUIRE(stream->Write(request));
    }
    discovery::DiscoveryResponse readResponse() {
        discovery::DiscoveryResponse response;
        REQUIRE(stream->Read(&response));
        CHECK(response.type_url() == kEndpoints);
        return response;
    }
    static endpoint::ClusterLoadAssignment parseAssignment(const discovery::DiscoveryResponse& response,
                                                           int number) {
        endpoint::ClusterLoadAssignment out;
        REQUIRE(number < response.resources_size());
        CHECK(out.ParseFromString(response.resources(number).value()));
        return out;
    }
    std::unique_ptr<discovery::AggregatedDiscoveryService::Stub> stub;
    grpc::ClientContext context;
    std::unique_ptr<grpc::ClientReaderWriter<discovery::DiscoveryRequest, discovery::DiscoveryResponse>>
        stream;
};

}  // namespace

TEST_CASE("endpoints over ADS: chosen, draining and removed nodes") {
    ProgramHarness harness;
    const ReservedAddress first, second, listen;
    harness.config["known"]["hosts"] = {harness.makeNodeEntry("s-1", first, 5, "ready"),
                                        harness.makeNodeEntry("s-2", second, 5, "ready")};
    harness.xdsSection = {{"listen", listen.toString()}};
    harness.start();
    Proxy proxy(listen);
    proxy.subscribe({"shard-5", "shard-9"});
    auto response = proxy.readResponse();
    REQUIRE(response.resources_size() == 2);
    auto cluster = Proxy::parseAssignment(response, 0);
    CHECK(cluster.cluster_name() == "shard-5");
    REQUIRE(cluster.endpoints(0).lb_endpoints_size() == 2);
    int healthy = 0, degraded = 0;
    martencove::Address chosen;
    for (const auto& node : cluster.endpoints(0).lb_endpoints()) {
        healthy += node.health_status() == endpoint::HEALTHY;
        degraded += node.health_status() == endpoint::DEGRADED;
        const auto& socketAddress = node.endpoint().address().socket_address();
        if (node.health_status() == endpoint::HEALTHY)
            chosen = {socketAddress.address(), static_cast<std::uint16_t>(socketAddress.port_value())};
        CHECK(node.load_balancing_weight().value() >= 1);
    }
    CHECK(healthy == 1);  // new work of a shard goes to one node
    CHECK(degraded == 1);
    CHECK(Proxy::parseAssignment(response, 1).endpoints_size() == 0);  // unknown shard

    // Neither a rejected response nor a request with an outdated nonce causes the same response again.
    proxy.subscribe({"shard-5"}, response.nonce(), "cannot");
    auto narrowed = proxy.readResponse();
    CHECK(narrowed.resources_size() == 1);
    proxy.subscribe({"shard-7"}, response.nonce());

    // When the chosen node drains, the other one is chosen.
    const std::string name = chosen == first ? "s-1" : "s-2";
    REQUIRE(harness.waitUntil([&] { return harness.discoveryCallCount > 0; }));
    harness.announceNode(name, chosen, 5, "draining");
    REQUIRE(harness.waitUntil([&] { return harness.readCounter("xds_response") == 3; }));
    response = proxy.readResponse();
    CHECK(response.version_info() != narrowed.version_info());
    cluster = Proxy::parseAssignment(response, 0);
    for (const auto& node : cluster.endpoints(0).lb_endpoints()) {
        const bool isDraining = node.endpoint().address().socket_address().port_value() == chosen.port;
        CHECK(node.health_status() == (isDraining ? endpoint::DRAINING : endpoint::HEALTHY));
    }
    harness.announceNode(name, chosen, 5, "gone");
    REQUIRE(harness.waitUntil([&] { return harness.readCounter("xds_response") == 4; }));
    CHECK(Proxy::parseAssignment(proxy.readResponse(), 0).endpoints(0).lb_endpoints_size() == 1);
    CHECK(harness.readCounter("xds_nack") == 1);
    CHECK(harness.stopAndWait() == 0);  // with a stream still open
}
