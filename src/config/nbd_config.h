// The NBD section of the operator's file. Without it the front is off.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
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

/// An export as the operator tells of it, by the names of the site's settings.
struct NbdExportTold {
    std::string name;
    std::uint64_t bytes = 0;
    std::string volume;
    std::string plan;
    int shard = 0;
    int hosts = 1;
    bool readOnly = false;
    std::string readClass;
    std::string writeClass;
    std::optional<double> readDeadlineMs;  ///< not told: the class's
    std::optional<double> writeDeadlineMs;
};

/// Checks an export and adds it. NBD has no key by which a node could drop a repeat, so each class that an
/// export writes by gets a twin in `site` that may not be sent again once it may have run. Throws
/// limedrum::fields::FieldError, beginning with the field's name.
void addExport(NbdConfig& config, const NbdExportTold& told, limedrum::Site& site);

}  // namespace martencove
