// The program's configuration: environment variables NODE_* and the JSON file named by NODE_CONFIG.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/limits.h"
#include "core/values.h"
#include "net/address.h"
#include "settings_json/settings_json.h"

namespace martencove {

/// Reports a missing or invalid value. The text begins with the field's name, or with the file's for the
/// operator's file.
class ConfigError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name;
    Address listen;
    std::optional<Address> discovery;  ///< source of the node list unless the operator's file names another
    std::uint64_t seed = 0;
    std::optional<Address> peerListen;
    std::optional<Address> ops;  ///< HTTP address for operators' tools
    std::vector<Address> peers;  ///< indexed by the peers' numbers in the settings
    NodeList knownNodes;
    limedrum::ProgramSettings settings;
    Limits limits;
    nlohmann::json sourceJson;  ///< the file without its list of nodes
    /// Fields that a reload does not apply, with their values as JSON text.
    std::map<std::string, std::string> startOnlyFields;
};

/// Reads a file that holds a JSON object. Throws limedrum::fields::FieldError with a text that begins with
/// `name`.
[[nodiscard]] nlohmann::json readJsonFile(const std::string& path, const char* name);

/// Reads the configuration at startup. Environment variables override the file. Throws ConfigError.
[[nodiscard]] Config readConfig();
/// Reads the configuration again. The file overrides the environment variables because it is newer. Throws
/// ConfigError.
[[nodiscard]] Config reloadConfig();

}  // namespace martencove
