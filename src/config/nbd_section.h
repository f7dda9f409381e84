// Validates the exports in the NBD section of the operator's file against the program's settings.
#pragma once

#include "config/nbd_config.h"
#include "settings_json/settings_json.h"

namespace martencove {

namespace config {
class NbdExport;
}

/// Validates an export and adds it to `config`. NBD has no key by which a node could recognize a repeated
/// write, so `settings` gets a non-idempotent copy of each class that an export writes with. Throws
/// limedrum::fields::FieldError with a text that begins with the field's name.
void addExport(NbdConfig& config, const config::NbdExport& message, limedrum::ProgramSettings& settings);

}  // namespace martencove
