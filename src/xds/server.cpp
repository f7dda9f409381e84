#include "xds/server.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <mutex>
#include <set>
#include <stdexcept>

#include "endpoint.pb.h"
#include "xds.grpc.pb.h"

namespace martencove::xds {
namespace {

namespace discovery = envoy::service::discovery::v3;
namespace endpoint = envoy::config::endpoint::v3;

constexpr const char* kEndpoints = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";

/// The serialized resources by cluster name.
using Snapshot = std::map<std::string, std::string>;

// Proxies use degraded endpoints only if the healthy ones do not suffice. So the work of a shard goes to the
// node that receives new work.
endpoint::HealthStatus healthStatus(const NodeStatus& status) {
    if (status.node.state == NodeState::draining) return endpoint::DRAINING;
    if (status.unresponsive) return endpoint::UNHEALTHY;
    return status.receivesNewWork ? endpoint::HEALTHY : endpoint::DEGRADED;
}

Snapshot makeSnapshot(const std::vector<NodeStatus>& nodes) {
    std::map<std::string, endpoint::ClusterLoadAssignment> clusters;
    for (const NodeStatus& status : nodes) {
        const auto nodeAddress = parseAddress(status.node.address);
        if (!nodeAddress) continue;
        const std::string name = "shard-" + std::to_string(status.node.shard);
        auto& cluster = clusters[name];
        cluster.set_cluster_name(name);
        auto* lbEndpoint =
            (cluster.endpoints_size() == 0 ? cluster.add_endpoints() : cluster.mutable_endpoints(0))
                ->add_lb_endpoints();
        auto* address = lbEndpoint->mutable_endpoint()->mutable_address()->mutable_socket_address();
        address->set_address(nodeAddress->host);
        address->set_port_value(nodeAddress->port);
        lbEndpoint->set_health_status(healthStatus(status));
        // Rounded to powers of two in steps of an eighth of the exponent. Otherwise small changes of the
        // measured rate would produce a new version each round.
        const double exponent = std::round(std::log2(std::max(status.unitsPerSecond, 1.0)) * 8) / 8;
        lbEndpoint->mutable_load_balancing_weight()->set_value(
            static_cast<std::uint32_t>(std::lround(std::exp2(exponent))));
    }
    Snapshot out;
    for (const auto& [name, cluster] : clusters) out[name] = cluster.SerializeAsString();
    return out;
}

}  // namespace

class AdsStream;

/// The ADS service: its streams and the current snapshot. Members may be called from any thread.
class AdsService final : public discovery::AggregatedDiscoveryService::CallbackService {
public:
    explicit AdsService(std::size_t maxStreams) : maxStreams_(maxStreams) {}
    grpc::ServerBidiReactor<discovery::DiscoveryRequest, discovery::DiscoveryResponse>*
    StreamAggregatedResources(grpc::CallbackServerContext*) override;
    /// Replaces the snapshot and sends the changes to all streams.
    void publish(Snapshot snapshot);
    /// These three require `mutex` to be held.
    const Snapshot& snapshot() const { return snapshot_; }
    std::uint64_t version() const { return version_; }
    void remove(AdsStream* stream) { streams_.erase(stream); }

    /// Returns the counters since the last call.
    std::map<std::string, std::uint64_t> takeCounts() {
        const std::lock_guard lock(mutex);
        return std::exchange(counts_, {});
    }
    void incrementCounter(const char* name) { ++counts_[name]; }  ///< requires `mutex`

    std::unique_ptr<grpc::Server> server;
    std::mutex mutex;

private:
    std::size_t maxStreams_;
    Snapshot snapshot_;
    std::uint64_t version_ = 0;
    std::set<AdsStream*> streams_;
    std::map<std::string, std::uint64_t> counts_;
};

/// The stream of one proxy. The proxy subscribes to clusters and receives them, again whenever one changes.
class AdsStream final
    : public grpc::ServerBidiReactor<discovery::DiscoveryRequest, discovery::DiscoveryResponse> {
public:
    explicit AdsStream(AdsService& service) : service_(service) { StartRead(&request_); }

    void OnReadDone(bool ok) override {
        const std::lock_guard lock(service_.mutex);
        if (!ok) return finishStream();
        if (finished_) return;  // cancelled: no operation may be started
        handleRequest();
        sendIfChanged();
        StartRead(&request_);
    }
    void OnWriteDone(bool ok) override {
        const std::lock_guard lock(service_.mutex);
        writing_ = false;
        if (!ok) return finishStream();
        sendIfChanged();
    }
    void OnCancel() override {
        const std::lock_guard lock(service_.mutex);
        finishStream();
    }
    void OnDone() override {
        {
            const std::lock_guard lock(service_.mutex);
            service_.remove(this);
        }
        delete this;
    }

    /// Sends the subscribed clusters if one has changed, one response at a time. This and the private
    /// functions require the mutex.
    void sendIfChanged() {
        if (writing_ || finished_ || resourceNames_.empty()) return;
        Snapshot subscribed;
        for (const std::string& name : resourceNames_) {
            const auto found = service_.snapshot().find(name);
            // An unknown cluster is sent without endpoints.
            endpoint::ClusterLoadAssignment empty;
            empty.set_cluster_name(name);
            subscribed[name] = found == service_.snapshot().end() ? empty.SerializeAsString() : found->second;
        }
        if (subscribed == lastSent_) return;
        lastSent_ = subscribed;
        nonce_ = std::to_string(++responseCount_);
        response_.Clear();
        response_.set_version_info(std::to_string(service_.version()));
        response_.set_type_url(kEndpoints);
        response_.set_nonce(nonce_);
        for (const auto& [name, bytes] : subscribed) {
            auto* resource = response_.add_resources();
            resource->set_type_url(kEndpoints);
            resource->set_value(bytes);
        }
        writing_ = true;
        service_.incrementCounter("xds_response");
        StartWrite(&response_);
    }

private:
    void handleRequest() {
        service_.incrementCounter("xds_request");
        if (request_.type_url() != kEndpoints) return;  // unsupported types get no response
        if (!request_.response_nonce().empty() && request_.response_nonce() != nonce_)
            return;  // refers to an outdated response
        // A proxy that rejects a response keeps its last state; the next response is sent on the next change.
        if (request_.has_error_detail()) service_.incrementCounter("xds_nack");
        resourceNames_ = {request_.resource_names().begin(), request_.resource_names().end()};
    }
    void finishStream() {
        if (!std::exchange(finished_, true)) Finish(grpc::Status::OK);
    }

    AdsService& service_;
    discovery::DiscoveryRequest request_;
    discovery::DiscoveryResponse response_;
    std::set<std::string> resourceNames_;
    Snapshot lastSent_;
    std::string nonce_;
    std::uint64_t responseCount_ = 0;
    bool writing_ = false;
    bool finished_ = false;
};

namespace {

/// Rejects a stream beyond the limit.
class RejectedStream final
    : public grpc::ServerBidiReactor<discovery::DiscoveryRequest, discovery::DiscoveryResponse> {
public:
    RejectedStream() { Finish(grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED, "too many streams")); }
    void OnDone() override { delete this; }
};

}  // namespace

grpc::ServerBidiReactor<discovery::DiscoveryRequest, discovery::DiscoveryResponse>*
AdsService::StreamAggregatedResources(grpc::CallbackServerContext*) {
    const std::lock_guard lock(mutex);
    if (streams_.size() >= maxStreams_) {
        incrementCounter("xds_turned_away");
        return new RejectedStream;  // deletes itself in OnDone()
    }
    incrementCounter("xds_stream");
    auto* stream = new AdsStream(*this);
    streams_.insert(stream);
    return stream;
}

void AdsService::publish(Snapshot snapshot) {
    const std::lock_guard lock(mutex);
    if (version_ > 0 && snapshot == snapshot_) return;
    snapshot_ = std::move(snapshot);
    ++version_;
    for (AdsStream* stream : streams_) stream->sendIfChanged();
}

Server::Server(event_base* base, const Address& listen, const Limits& limits, Counters& counters,
               std::function<std::vector<NodeStatus>()> getNodeStatuses)
    : limits_(limits),
      counters_(counters),
      getNodeStatuses_(std::move(getNodeStatuses)),
      service_(std::make_unique<AdsService>(limits.maxXdsStreams)),
      publishTimer_(base, [this] { publishSnapshot(); }) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(listen.toString(), grpc::InsecureServerCredentials());
    builder.SetMaxReceiveMessageSize(static_cast<int>(limits.maxRequestBodyBytes));
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(service_.get());
    service_->server = builder.BuildAndStart();
    if (!service_->server) throw std::runtime_error("xds listen: cannot bind " + listen.toString());
    publishSnapshot();
}

Server::~Server() {
    service_->server->Shutdown(std::chrono::system_clock::now());
    service_->server->Wait();
}

void Server::publishSnapshot() {
    service_->publish(makeSnapshot(getNodeStatuses_()));
    for (const auto& [name, count] : service_->takeCounts()) counters_.add(name, count);
    publishTimer_.start(limits_.xdsUpdateIntervalMs);
}

}  // namespace martencove::xds
