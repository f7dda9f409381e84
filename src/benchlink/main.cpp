#include <iostream>
#include <string>

#include "wire.h"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    limedrum::benchlink::BenchSession session;
    std::string line;
    while (std::getline(std::cin, line)) {
        try {
            std::cout << session.handleBatch(line) << '\n' << std::flush;
        } catch (const limedrum::benchlink::WireError& error) {
            std::cerr << "limedrum_benchlink: " << error.what() << '\n';
            return 1;
        }
    }
    return 0;
}
