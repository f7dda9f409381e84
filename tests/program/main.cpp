// Runs the doctest cases of the program linked with it.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <csignal>

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);  // many tests send on a connection that the peer has closed
    return doctest::Context(argc, argv).run();
}
