// New settings in place of those in force, while requests hold numbers of the old ones. Pure.
#pragma once

#include "settings_json/settings_json.h"

namespace limedrum {

/// `next` with the numbers of `now`: a class that is unchanged keeps its number, one that is new or different
/// gets another, and the old one's rules stay for the requests that hold it. Plans stand at their places,
/// since hosts tell each other their numbers. Throws fields::FieldError where that cannot be done.
[[nodiscard]] ProgramSettings mergeSettings(const ProgramSettings& now, ProgramSettings next);

/// Throws fields::FieldError, naming it, where `next` lacks a key that `now` has: such a file is not whole.
/// Of a list's entries each needs what all those of `now` have.
void requireKeys(const nlohmann::json& now, const nlohmann::json& next, const std::string& at = "");

}  // namespace limedrum
