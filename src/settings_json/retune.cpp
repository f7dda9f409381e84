#include "settings_json/retune.h"

#include <algorithm>
#include <set>

#include "settings_json/fields.h"

namespace limedrum {

using namespace fields;

namespace {

constexpr const char* kDropped = "/";  // name of retired classes; no request can have it
constexpr std::size_t kMostClasses = 1024;

}  // namespace

ProgramSettings mergeSettings(const ProgramSettings& now, ProgramSettings next) {
    if (next.scheduler.attemptCap < 1) throwFieldError("SendCap", "less than 1");
    if (next.classNames.empty()) throwFieldError("Classes", "empty");
    std::set<std::string> names;
    for (const std::string& name : next.classNames)
        if (name.empty() || name == kDropped || !names.insert(name).second)
            throwFieldError("Classes.Name", "empty, reserved or duplicate");
    std::vector<ClassSettings> classes = now.scheduler.classes;
    std::vector<std::string> classNames(classes.size(), kDropped);
    for (ClassSettings& c : classes) c.retired = true;
    for (std::size_t k = 0; k < next.classNames.size(); ++k) {
        const ClassSettings& wanted = next.scheduler.classes[k];
        const auto same = [&](const ClassSettings& c) {
            ClassSettings alive = c;
            alive.retired = false;
            return alive == wanted;
        };
        // Reuses a number that is not taken and has the same rules, preferably one with the same name.
        std::size_t at = classes.size();
        for (std::size_t i = 0; i < classes.size(); ++i) {
            if (!classes[i].retired || !same(classes[i])) continue;
            if (at == classes.size()) at = i;
            if (i < now.classNames.size() && now.classNames[i] == next.classNames[k]) {
                at = i;
                break;
            }
        }
        if (at == classes.size()) {
            if (classes.size() >= kMostClasses)
                throwFieldError("Classes", "too many changes since the start");
            classes.push_back(wanted);
            classNames.emplace_back();
        }
        classes[at].retired = false;
        classNames[at] = next.classNames[k];
    }
    next.scheduler.classes = std::move(classes);
    next.classNames = std::move(classNames);
    for (std::size_t i = 0; i < now.planNames.size(); ++i) {
        if (i >= next.planNames.size() || next.planNames[i] != now.planNames[i])
            throwFieldError("ServiceLevels", "removed or reordered");
    }
    return next;
}

void requireKeys(const Json& now, const Json& next, const std::string& at) {
    const auto below = [&](const std::string& key) { return at.empty() ? key : at + '.' + key; };
    if (now.is_object()) {
        if (!next.is_object()) throwFieldError(at, "not an object");
        for (const auto& [key, value] : now.items()) {
            const auto there = next.find(key);
            if (there == next.end() || there->is_null()) throwFieldError(below(key), "missing");
            requireKeys(value, *there, below(key));
        }
    } else if (now.is_array() && !now.empty() && next.is_array()) {
        Json common = now.front();
        for (const Json& entry : now) {
            if (!common.is_object() || !entry.is_object()) return;
            for (auto key = common.begin(); key != common.end();)
                key = entry.contains(key.key()) ? std::next(key) : common.erase(key);
        }
        if (!common.is_object()) return;
        for (const Json& entry : next)
            for (const auto& [key, value] : common.items())
                if (!entry.is_object() || !entry.contains(key)) throwFieldError(below(key), "missing");
    }
}

}  // namespace limedrum
