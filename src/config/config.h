// What the program is told at its start: NODE_* variables and the JSON file they name.
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

/// A value that is missing or makes no sense; the text begins with the field's name.
class ConfigError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name;
    Address listen;
    std::optional<Address> discovery;  ///< where storage nodes come from, unless the operator's file says
    std::uint64_t seed = 0;
    std::optional<Address> peerListen;
    std::optional<Address> ops;  ///< the second address, for operators' tools
    std::vector<Address> peers;  ///< by their numbers in the settings
    NodeList knownNodes;
    limedrum::ProgramSettings settings;
    Limits limits;
    nlohmann::json sourceJson;  ///< the file, less its list of nodes
    /// What a running program cannot take over, as text by field: a change waits for the next start.
    std::map<std::string, std::string> startOnlyFields;
};

/// Throws limedrum::fields::FieldError, beginning with `name`.
[[nodiscard]] nlohmann::json readJsonFile(const std::string& path, const char* name);

/// Reads `NODE_CONFIG` and the variables beside it, which go before the file's values. Throws ConfigError.
[[nodiscard]] Config readConfig();
/// Reads the file again. It is newer than the variables beside it: its values go first.
[[nodiscard]] Config reloadConfig();

}  // namespace martencove
