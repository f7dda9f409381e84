#include "settings_json/merge_settings.h"

#include <algorithm>
#include <set>

#include "settings_json/fields.h"

namespace limedrum {

using namespace fields;

namespace {

constexpr const char* kRetiredName = "/";  // name of retired classes; no request can have it
constexpr std::size_t kMaxClasses = 1024;

}  // namespace

ProgramSettings mergeSettings(const ProgramSettings& current, ProgramSettings next) {
    if (next.scheduler.attemptCap < 1) throwFieldError("SendCap", "less than 1");
    if (next.classNames.empty()) throwFieldError("Classes", "empty");
    std::set<std::string> names;
    for (const std::string& name : next.classNames)
        if (name.empty() || name == kRetiredName || !names.insert(name).second)
            throwFieldError("Classes.Name", "empty, reserved or duplicate");
    std::vector<ClassSettings> classes = current.scheduler.classes;
    std::vector<std::string> classNames(classes.size(), kRetiredName);
    for (ClassSettings& c : classes) c.retired = true;
    for (std::size_t k = 0; k < next.classNames.size(); ++k) {
        const ClassSettings& newClass = next.scheduler.classes[k];
        const auto hasSameRules = [&](const ClassSettings& c) {
            ClassSettings active = c;
            active.retired = false;
            return active == newClass;
        };
        // Reuses a number that is not taken and has the same rules, preferably one with the same name.
        std::size_t classNo = classes.size();
        for (std::size_t i = 0; i < classes.size(); ++i) {
            if (!classes[i].retired || !hasSameRules(classes[i])) continue;
            if (classNo == classes.size()) classNo = i;
            if (i < current.classNames.size() && current.classNames[i] == next.classNames[k]) {
                classNo = i;
                break;
            }
        }
        if (classNo == classes.size()) {
            if (classes.size() >= kMaxClasses) throwFieldError("Classes", "too many changes since the start");
            classes.push_back(newClass);
            classNames.emplace_back();
        }
        classes[classNo].retired = false;
        classNames[classNo] = next.classNames[k];
    }
    next.scheduler.classes = std::move(classes);
    next.classNames = std::move(classNames);
    for (std::size_t i = 0; i < current.planNames.size(); ++i) {
        if (i >= next.planNames.size() || next.planNames[i] != current.planNames[i])
            throwFieldError("ServiceLevels", "removed or reordered");
    }
    return next;
}

void requireKeys(const Json& current, const Json& next, const std::string& path) {
    const auto pathOf = [&](const std::string& key) { return path.empty() ? key : path + '.' + key; };
    if (current.is_object()) {
        if (!next.is_object()) throwFieldError(path, "not an object");
        for (const auto& [key, value] : current.items()) {
            const auto it = next.find(key);
            if (it == next.end() || it->is_null()) throwFieldError(pathOf(key), "missing");
            requireKeys(value, *it, pathOf(key));
        }
    } else if (current.is_array() && !current.empty() && next.is_array()) {
        Json common = current.front();
        for (const Json& entry : current) {
            if (!common.is_object() || !entry.is_object()) return;
            for (auto key = common.begin(); key != common.end();)
                key = entry.contains(key.key()) ? std::next(key) : common.erase(key);
        }
        if (!common.is_object()) return;
        for (const Json& entry : next)
            for (const auto& [key, value] : common.items())
                if (!entry.is_object() || !entry.contains(key)) throwFieldError(pathOf(key), "missing");
    }
}

}  // namespace limedrum
