// The exports in the NBD section of the operator's file, checked against the site's settings.
#pragma once

#include "config/nbd_config.h"
#include "settings_json/settings_json.h"

namespace martencove {

namespace config {
class NbdExport;
}

/// Checks an export and adds it. NBD has no key by which a node could drop a repeat, so each class that an
/// export writes by gets a twin in `site` that may not be sent again once it may have run. Throws
/// limedrum::fields::FieldError, beginning with the field's name.
void addExport(NbdConfig& config, const config::NbdExport& told, limedrum::ProgramSettings& site);

}  // namespace martencove
