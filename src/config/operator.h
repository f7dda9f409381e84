// Reads the operator's file (proto/operator.proto): settings of an installation beyond the platform's
// configuration.
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

/// The sections of the operator's file. Features without a section are off.
struct OperatorConfig {
    std::optional<files::NodeFileConfig> nodeFiles;
    std::optional<EtcdConfig> etcd;
    std::optional<NbdConfig> nbd;
    std::optional<Address> xdsListen;
};

/// Reads and validates the whole file. Adds to `settings` the classes that the NBD section needs. Throws
/// ConfigError with the text "FILE:LINE:COLUMN: FIELD: REASON".
[[nodiscard]] OperatorConfig readOperatorConfig(const std::string& path, limedrum::ProgramSettings& settings,
                                                const Limits& limits);

}  // namespace martencove
