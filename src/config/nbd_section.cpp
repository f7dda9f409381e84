#include "config/nbd_section.h"

#include <algorithm>
#include <utility>

#include "operator.pb.h"
#include "settings_json/fields.h"

namespace martencove {
namespace {

using namespace limedrum::fields;

int indexOf(const std::vector<std::string>& names, const std::string& name, const char* field) {
    const auto it = std::find(names.begin(), names.end(), name);
    if (it == names.end()) throwFieldError(field, "unknown name '" + name + "'");
    return static_cast<int>(it - names.begin());
}

double requirePositive(double value, const char* field) {
    if (!(value > 0)) throwFieldError(field, "not above 0");
    return value;
}

/// Returns the class for an export's commands. Adds a copy of the class for writes, which have no idempotency
/// key, and for a deadline that differs from the class's, which the scheduler would take for a client's
/// repeat of an older request.
int classFor(limedrum::ProgramSettings& settings, int classNo, bool isWrite, double deadlineMs) {
    if (!isWrite && deadlineMs == settings.scheduler.classes[classNo].deadlineMs) return classNo;
    const std::string name =
        settings.classNames[classNo] + (isWrite ? " nbd write " : " nbd read ") + std::to_string(deadlineMs);
    const auto it = std::find(settings.classNames.begin(), settings.classNames.end(), name);
    if (it != settings.classNames.end()) return static_cast<int>(it - settings.classNames.begin());
    limedrum::ClassSettings copy = settings.scheduler.classes[classNo];
    copy.deadlineMs = deadlineMs;
    if (isWrite) copy.idempotency = limedrum::Idempotency::nonIdempotent;
    settings.scheduler.classes.push_back(copy);
    settings.classNames.push_back(name);
    return static_cast<int>(settings.classNames.size()) - 1;
}

NbdExport decodeExport(const config::NbdExport& message, limedrum::ProgramSettings& settings) {
    const auto requireText = [](const std::string& text, const char* field) {
        if (text.empty()) throwFieldError(field, "missing");
    };
    requireText(message.name(), "name");
    requireText(message.volume(), "volume");
    requireText(message.plan(), "plan");
    if (!message.has_shard()) throwFieldError("shard", "missing");
    requireText(message.read_class(), "read_class");
    NbdExport out;
    out.name = message.name();
    out.sizeBytes = message.bytes();
    if (out.sizeBytes == 0) throwFieldError("bytes", "not above 0");
    out.volume = message.volume();
    out.planNo = indexOf(settings.planNames, message.plan(), "plan");
    out.shard = message.shard();
    if (out.shard < 0) throwFieldError("shard", "below 0");
    if (settings.shardCount > 0 && out.shard >= settings.shardCount)
        throwFieldError("shard", "no such shard");
    out.hostsOfVolume = message.has_hosts() ? message.hosts() : 1;
    if (out.hostsOfVolume < 1) throwFieldError("hosts", "below 1");
    out.readOnly = message.read_only();
    out.readClassNo = indexOf(settings.classNames, message.read_class(), "read_class");
    out.readDeadlineMs = requirePositive(message.has_read_deadline_ms()
                                             ? message.read_deadline_ms()
                                             : settings.scheduler.classes[out.readClassNo].deadlineMs,
                                         "read_deadline_ms");
    out.readClassNo = classFor(settings, out.readClassNo, false, out.readDeadlineMs);
    if (out.readOnly) return out;
    const int writeClassNo = indexOf(settings.classNames, message.write_class(), "write_class");
    out.writeDeadlineMs =
        requirePositive(message.has_write_deadline_ms() ? message.write_deadline_ms()
                                                        : settings.scheduler.classes[writeClassNo].deadlineMs,
                        "write_deadline_ms");
    out.writeClassNo = classFor(settings, writeClassNo, true, out.writeDeadlineMs);
    return out;
}

}  // namespace

void addExport(NbdConfig& config, const config::NbdExport& message, limedrum::ProgramSettings& settings) {
    NbdExport next = decodeExport(message, settings);
    if (config.findExport(next.name) != nullptr) throwFieldError("name", "duplicate export name");
    config.exports.push_back(std::move(next));
}

}  // namespace martencove
