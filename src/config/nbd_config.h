// Settings of the NBD front, from its section of the operator's file. Without that section the front is off.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/address.h"

namespace martencove {

/// A block device that clients can open by name.
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
    double unitBytes = 4096;  ///< bytes that count as one unit
    std::vector<NbdExport> exports;
    std::map<std::string, Address> nodeAddresses;  ///< NBD addresses by node name

    /// Returns nullptr if there is no such export.
    [[nodiscard]] const NbdExport* findExport(const std::string& name) const;
};

}  // namespace martencove
