// The operator's file for the NBD front. Without it the front is off.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/address.h"
#include "settings_json/settings_json.h"

namespace martencove {

struct NbdExport {
    std::string name;
    std::uint64_t bytes = 0;
    std::string volume;
    int planNo = 0;
    int shard = 0;
    int hosts = 1;
    bool readOnly = false;
    int readClass = 0;
    int writeClass = 0;
    double readDeadlineMs = 0;
    double writeDeadlineMs = 0;
};
struct NbdConfig {
    Address listen;
    double unitBytes = 4096;
    std::vector<NbdExport> exports;
    std::map<std::string, Address> nodes;  ///< where a node, by its name in discovery, speaks NBD

    [[nodiscard]] const NbdExport* find(const std::string& name) const;
};

/// Reads the file. NBD has no key by which a node could drop a repeat, so each class that an export writes by
/// gets a twin in `site` that may not be sent again once it may have run. Throws ConfigError.
[[nodiscard]] NbdConfig readNbdConfig(const std::string& path, limedrum::Site& site);

}  // namespace martencove
