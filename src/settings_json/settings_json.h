// Decodes the JSON settings object that the simulator sends when it creates an instance and that the
// configuration of the platform contains.
#pragma once

#include <limedrum/scheduler.h>

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace limedrum {

/// The settings of the scheduler, and those of the same JSON object that only the program uses.
struct ProgramSettings {
    Settings scheduler;
    std::vector<std::string> classNames;  ///< by class number
    std::vector<std::string> planNames;   ///< by plan number
    double nodeIdleTimeoutMs = 15000;     ///< nodes close connections idle for this long
    double connectTimeoutMs = 250;        ///< for a connection to a node
    int shardCount = 0;                   ///< shards are numbered from 0; 0: count unknown
    int maxOpenRequests = 1 << 16;        ///< upper bound
};

/// Decodes the settings. Missing optional fields get their defaults, unknown fields are ignored. Throws
/// fields::FieldError, whose message names the field.
[[nodiscard]] ProgramSettings decodeSettings(const nlohmann::json& json);

}  // namespace limedrum
