#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <csignal>

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);  // a peer that closes while a test still sends is part of many a test
    return doctest::Context(argc, argv).run();
}
