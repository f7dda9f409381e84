// The operator's file (proto/operator.proto): what an installation adds to the platform's configuration.
#pragma once

#include <optional>
#include <string>

#include "config/nbd_config.h"
#include "files/node_file_source.h"
#include "net/address.h"
#include "settings_json/settings_json.h"

namespace martencove {

struct EtcdConfig {
    Address address;
    std::string prefix;
};

/// Sections that are not in the file are off.
struct OperatorConfig {
    std::optional<files::NodeFileConfig> nodeFiles;
    std::optional<EtcdConfig> etcd;
    std::optional<NbdConfig> nbd;
    std::optional<Address> xdsListen;
};

/// Reads and checks the whole file. `site` gets what the NBD section adds to it. Throws ConfigError:
/// "FILE:LINE:COLUMN: FIELD: REASON".
[[nodiscard]] OperatorConfig readOperatorConfig(const std::string& path, limedrum::ProgramSettings& site,
                                                const Limits& limits);

}  // namespace martencove
