// What the NBD front serves, from its section of the operator's file. Without it the front is off.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/address.h"

namespace martencove {

struct NbdExport {
    std::string name;
    std::uint64_t sizeBytes = 0;
    std::string volume;
    int planNo = 0;
    int shard = 0;
    int hostsOfVolume = 1;
    bool readOnly = false;
    int readClassNo = 0;
    int writeClassNo = 0;
    double readDeadlineMs = 0;
    double writeDeadlineMs = 0;
};
struct NbdConfig {
    Address listen;
    double unitBytes = 4096;
    std::vector<NbdExport> exports;
    std::map<std::string, Address> nodeAddresses;  ///< where a node, by its name in discovery, speaks NBD

    [[nodiscard]] const NbdExport* findExport(const std::string& name) const;
};

}  // namespace martencove
