#include "config/nbd_section.h"

#include <algorithm>
#include <utility>

#include "operator.pb.h"
#include "settings_json/fields.h"

namespace martencove {
namespace {

using namespace limedrum::fields;

int indexOf(const std::vector<std::string>& names, const std::string& name, const char* field) {
    const auto at = std::find(names.begin(), names.end(), name);
    if (at == names.end()) throwFieldError(field, "unknown name '" + name + "'");
    return static_cast<int>(at - names.begin());
}

double above0(double value, const char* field) {
    if (!(value > 0)) throwFieldError(field, "not above 0");
    return value;
}

/// The class for an export's commands. A write has no key, and a deadline of the operator's own would look to
/// the module like a client's repeat of the class's: either gets a twin of the class.
int classFor(limedrum::ProgramSettings& site, int classNo, bool write, double deadlineMs) {
    if (!write && deadlineMs == site.scheduler.classes[classNo].deadlineMs) return classNo;
    const std::string name =
        site.classNames[classNo] + (write ? " nbd write " : " nbd read ") + std::to_string(deadlineMs);
    const auto at = std::find(site.classNames.begin(), site.classNames.end(), name);
    if (at != site.classNames.end()) return static_cast<int>(at - site.classNames.begin());
    limedrum::ClassSettings twin = site.scheduler.classes[classNo];
    twin.deadlineMs = deadlineMs;
    if (write) twin.idempotency = limedrum::Idempotency::nonIdempotent;
    site.scheduler.classes.push_back(twin);
    site.classNames.push_back(name);
    return static_cast<int>(site.classNames.size()) - 1;
}

NbdExport exportOf(const config::NbdExport& told, limedrum::ProgramSettings& site) {
    const auto needed = [](const std::string& text, const char* field) {
        if (text.empty()) throwFieldError(field, "missing");
    };
    needed(told.name(), "name");
    needed(told.volume(), "volume");
    needed(told.plan(), "plan");
    if (!told.has_shard()) throwFieldError("shard", "missing");
    needed(told.read_class(), "read_class");
    NbdExport out;
    out.name = told.name();
    out.sizeBytes = told.bytes();
    if (out.sizeBytes == 0) throwFieldError("bytes", "not above 0");
    out.volume = told.volume();
    out.planNo = indexOf(site.planNames, told.plan(), "plan");
    out.shard = told.shard();
    if (out.shard < 0) throwFieldError("shard", "below 0");
    if (site.shardCount > 0 && out.shard >= site.shardCount) throwFieldError("shard", "no such shard");
    out.hostsOfVolume = told.has_hosts() ? told.hosts() : 1;
    if (out.hostsOfVolume < 1) throwFieldError("hosts", "below 1");
    out.readOnly = told.read_only();
    out.readClassNo = indexOf(site.classNames, told.read_class(), "read_class");
    out.readDeadlineMs =
        above0(told.has_read_deadline_ms() ? told.read_deadline_ms()
                                           : site.scheduler.classes[out.readClassNo].deadlineMs,
               "read_deadline_ms");
    out.readClassNo = classFor(site, out.readClassNo, false, out.readDeadlineMs);
    if (out.readOnly) return out;
    const int writes = indexOf(site.classNames, told.write_class(), "write_class");
    out.writeDeadlineMs = above0(
        told.has_write_deadline_ms() ? told.write_deadline_ms() : site.scheduler.classes[writes].deadlineMs,
        "write_deadline_ms");
    out.writeClassNo = classFor(site, writes, true, out.writeDeadlineMs);
    return out;
}

}  // namespace

void addExport(NbdConfig& config, const config::NbdExport& told, limedrum::ProgramSettings& site) {
    NbdExport next = exportOf(told, site);
    if (config.findExport(next.name) != nullptr) throwFieldError("name", "an export named twice");
    config.exports.push_back(std::move(next));
}

}  // namespace martencove
