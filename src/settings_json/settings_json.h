// The settings object, as the simulator's first message and the platform's configuration give it.
#pragma once

#include <limedrum/scheduler.h>

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace limedrum {

/// The module's settings, and what else a program needs of the object.
struct ProgramSettings {
    Settings scheduler;
    std::vector<std::string> classNames;  ///< by class number
    std::vector<std::string> planNames;   ///< by plan number
    double nodeIdleTimeoutMs = 15000;     ///< a node closes a connection idle for this long
    double connectTimeoutMs = 250;        ///< a connection not made within this has failed
    int shardCount = 0;                   ///< counted from 0; 0: not told how many
    int maxOpenRequests = 1 << 16;        ///< requests held at once, at most
};

/// Throws fields::FieldError, whose text names the field.
[[nodiscard]] ProgramSettings decodeSettings(const nlohmann::json& json);

}  // namespace limedrum
