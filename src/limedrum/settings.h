// Validation of the settings.
#pragma once

#include <limedrum/scheduler.h>

namespace limedrum {

/// Returns the settings with defaults for optional values that are missing: one plan, one attempt, requests
/// of one unit. Throws std::invalid_argument, naming the field, for values out of range.
[[nodiscard]] Settings validatedSettings(Settings settings);

}  // namespace limedrum
