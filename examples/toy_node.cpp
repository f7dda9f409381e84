// An example server: a storage node that keeps objects in memory and, optionally, a discovery service that
// lists this node only.
//   toy_node NODE_PORT [DISCOVERY_PORT]
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>

namespace {

struct ToyNode {
    int port = 0;
    std::map<std::string, std::string> objects;  // by path
};

void reply(evhttp_request* request, int code, const std::string& body) {
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_send_reply(request, code, nullptr, nullptr);
}

// Stores the body of a PUT under the request's path and returns the stored object.
void handleObjectRequest(evhttp_request* request, void* arg) {
    auto& node = *static_cast<ToyNode*>(arg);
    const std::string uri = evhttp_request_get_uri(request);
    std::string& object = node.objects[uri.substr(uri.find('/', 1))];  // the path without the request class
    if (evhttp_request_get_command(request) == EVHTTP_REQ_PUT) {
        evbuffer* body = evhttp_request_get_input_buffer(request);
        object.assign(evbuffer_get_length(body), '\0');
        evbuffer_copyout(body, object.data(), object.size());
        std::printf("stored %zu bytes at %s\n", object.size(), uri.c_str());
    }
    reply(request, 200, object);
}

// Returns the node list at once for a first call. The list never changes, so a later watch gets no answer.
void handleDiscoveryRequest(evhttp_request* request, void* arg) {
    const std::string uri = evhttp_request_get_uri(request);
    if (uri.find("after=1") != std::string::npos) return;
    const int port = static_cast<ToyNode*>(arg)->port;
    reply(request, 200,
          R"({"seq":1,"whole":true,"hosts":[{"host":"s-0","dial":"127.0.0.1:)" + std::to_string(port) +
              R"(","site":"a","class":"toy","block":0,"health":"ready","share":1.0,"born_ms":0}]})");
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2 && argc != 3) {
        std::fputs("usage: toy_node NODE_PORT [DISCOVERY_PORT]\n", stderr);
        return 1;
    }
    ToyNode toy;
    toy.port = std::atoi(argv[1]);
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(), &event_base_free);
    const std::unique_ptr<evhttp, decltype(&evhttp_free)> node(evhttp_new(base.get()), &evhttp_free);
    const std::unique_ptr<evhttp, decltype(&evhttp_free)> discovery(evhttp_new(base.get()), &evhttp_free);
    evhttp_set_gencb(node.get(), handleObjectRequest, &toy);
    evhttp_set_gencb(discovery.get(), handleDiscoveryRequest, &toy);
    if (evhttp_bind_socket(node.get(), "127.0.0.1", static_cast<std::uint16_t>(toy.port)) != 0 ||
        (argc == 3 && evhttp_bind_socket(discovery.get(), "127.0.0.1",
                                         static_cast<std::uint16_t>(std::atoi(argv[2]))) != 0)) {
        std::fputs("toy_node: cannot listen on the given ports\n", stderr);
        return 1;
    }
    return event_base_dispatch(base.get());
}
