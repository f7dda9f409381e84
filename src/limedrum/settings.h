// What settings the module takes.
#pragma once

#include <limedrum/scheduler.h>

namespace limedrum {

/// The settings with what may be left out filled in. Throws std::invalid_argument, naming the field, for what
/// no deployment could mean.
[[nodiscard]] Settings validatedSettings(Settings settings);

}  // namespace limedrum
