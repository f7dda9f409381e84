// Prepares changed settings for use at run time, while open requests refer to classes and plans by the
// numbers of the current settings. Pure functions.
#pragma once

#include "settings_json/settings_json.h"

namespace limedrum {

/// Returns `next` with the class numbers of `current`. An unchanged class keeps its number. A new or changed
/// class gets the number of a retired class with the same rules, or a new number. Dropped and changed classes
/// are retired, but their numbers keep the old rules for the requests that refer to them.
/// Plans must keep their order, since hosts exchange plan numbers; new ones may follow at the end. Throws
/// fields::FieldError if the settings cannot be merged.
[[nodiscard]] ProgramSettings mergeSettings(const ProgramSettings& current, ProgramSettings next);

/// Throws fields::FieldError, with the path of the key, if `next` lacks a key that `current` has, which shows
/// that the file is incomplete. Each element of an array must have the keys that all elements in `current`
/// share. `path` is the path of the two values.
void requireKeys(const nlohmann::json& current, const nlohmann::json& next, const std::string& path = "");

}  // namespace limedrum
