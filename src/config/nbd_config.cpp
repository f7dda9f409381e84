#include "config/nbd_config.h"

#include <algorithm>

#include "config/config.h"
#include "settings_json/fields.h"

namespace martencove {
namespace {

using namespace limedrum::fields;

int indexOf(const std::vector<std::string>& names, const std::string& name, const char* field) {
    const auto at = std::find(names.begin(), names.end(), name);
    if (at == names.end()) complain(field, "unknown name '" + name + "'");
    return static_cast<int>(at - names.begin());
}

Address address(const Json& json, const char* field) {
    const auto parsed = parseAddress(text(json, field));
    if (!parsed) complain(field, "not an address");
    return *parsed;
}

double above0(const Json& json, const char* field, double otherwise) {
    const double value = number(json, field, otherwise);
    if (!(value > 0)) complain(field, "not above 0");
    return value;
}

/// The class for an export's commands. A write has no key, and a deadline of the operator's own would look to
/// the module like a client's repeat of the class's: either gets a twin of the class.
int classFor(limedrum::Site& site, int classNo, bool write, double deadlineMs) {
    if (!write && deadlineMs == site.module.classes[classNo].deadlineMs) return classNo;
    const std::string name =
        site.classNames[classNo] + (write ? " nbd write " : " nbd read ") + std::to_string(deadlineMs);
    const auto at = std::find(site.classNames.begin(), site.classNames.end(), name);
    if (at != site.classNames.end()) return static_cast<int>(at - site.classNames.begin());
    limedrum::ClassSettings twin = site.module.classes[classNo];
    twin.deadlineMs = deadlineMs;
    if (write) twin.repeat = limedrum::Repeat::unsafe;
    site.module.classes.push_back(twin);
    site.classNames.push_back(name);
    return static_cast<int>(site.classNames.size()) - 1;
}

NbdExport exportOf(const Json& json, limedrum::Site& site) {
    NbdExport out;
    out.name = text(need(json, "name"), "name");
    out.bytes = static_cast<std::uint64_t>(above0(json, "bytes", 0));
    out.volume = text(need(json, "volume"), "volume");
    out.planNo = indexOf(site.planNames, text(need(json, "plan"), "plan"), "plan");
    out.shard = small(need(json, "shard"), "shard");
    if (out.shard < 0) complain("shard", "below 0");
    if (site.shards > 0 && out.shard >= site.shards) complain("shard", "no such shard");
    out.hosts = small(json, "hosts", 1);
    if (out.hosts < 1) complain("hosts", "below 1");
    out.readOnly = truth(json, "read_only", false);
    out.readClass = indexOf(site.classNames, text(need(json, "read_class"), "read_class"), "read_class");
    out.readDeadlineMs = above0(json, "read_deadline_ms", site.module.classes[out.readClass].deadlineMs);
    out.readClass = classFor(site, out.readClass, false, out.readDeadlineMs);
    if (out.readOnly) return out;
    const int writes =
        indexOf(site.classNames, text(need(json, "write_class"), "write_class"), "write_class");
    out.writeDeadlineMs = above0(json, "write_deadline_ms", site.module.classes[writes].deadlineMs);
    out.writeClass = classFor(site, writes, true, out.writeDeadlineMs);
    return out;
}

}  // namespace

const NbdExport* NbdConfig::find(const std::string& name) const {
    for (const NbdExport& e : exports) {
        if (e.name == name) return &e;
    }
    return nullptr;
}

NbdConfig readNbdConfig(const std::string& path, limedrum::Site& site) {
    try {
        const Json json = readJsonFile(path, "nbd file");
        NbdConfig out;
        out.listen = address(need(json, "listen"), "listen");
        out.unitBytes = above0(json, "unit_bytes", out.unitBytes);
        for (const Json& entry : list(need(json, "exports"), "exports")) {
            out.exports.push_back(exportOf(entry, site));
            if (out.find(out.exports.back().name) != &out.exports.back())
                complain("name", "an export named twice");
        }
        for (const auto& [name, dial] : need(json, "nodes").items()) out.nodes[name] = address(dial, "nodes");
        return out;
    } catch (const FieldError& error) {
        throw ConfigError("nbd file: " + std::string(error.what()));
    }
}

}  // namespace martencove
