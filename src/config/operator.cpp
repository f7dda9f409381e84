#include "config/operator.h"

#include "config/config.h"
#include "config/nbd_section.h"
#include "files/file_io.h"
#include "files/text_format.h"
#include "operator.pb.h"
#include "settings_json/fields.h"

namespace martencove {
namespace {

namespace pb = google::protobuf;
using limedrum::fields::FieldError;
using limedrum::fields::throwFieldError;

/// A message of the file, with the places where its fields stand.
template <typename Message>
struct Section {
    const Message& in;
    const pb::TextFormat::ParseInfoTree* places;
    std::string file;

    /// Runs `check`; what it complains of is told with the place of the field that the complaint begins with.
    template <typename Check>
    auto checked(Check check) const {
        try {
            return check(in);
        } catch (const FieldError& error) {
            const std::string text = error.what();
            const auto* field = in.GetDescriptor()->FindFieldByName(text.substr(0, text.find(':')));
            const int index = field != nullptr && field->is_repeated() ? 0 : -1;
            std::string at = file;
            if (field != nullptr && places != nullptr && places->GetLocation(field, index).line >= 0) {
                const auto place = places->GetLocation(field, index);
                at += ':' + std::to_string(place.line + 1) + ':' + std::to_string(place.column + 1);
            }
            throw ConfigError(at + ": " + text);
        }
    }
    template <typename Inner>
    Section<Inner> inner(const Inner& message, const char* field, int index = -1) const {
        const auto* at = in.GetDescriptor()->FindFieldByName(field);
        return {message, places == nullptr ? nullptr : places->GetTreeForNested(at, index), file};
    }
};

Address address(const std::string& text, const char* field) {
    const auto parsed = parseAddress(text);
    if (!parsed) throwFieldError(field, text.empty() ? "missing" : "not an address: '" + text + "'");
    return *parsed;
}
const std::string& need(const std::string& text, const char* field) {
    if (text.empty()) throwFieldError(field, "missing");
    return text;
}
double within(double value, double least, double most, const char* field) {
    if (!(value >= least && value <= most)) throwFieldError(field, "out of range");
    return value;
}

files::NodeFileConfig nodesOf(const config::NodesSection& in, const limedrum::ProgramSettings& site,
                              const Limits& limits) {
    files::NodeFileConfig out;
    if (in.path().empty()) throwFieldError("path", "missing");
    for (const std::string& path : in.path()) out.paths.push_back(need(path, "path"));
    out.keptVersionPath = in.keep();
    if (in.has_depart_s()) out.rules.removalDrainMs = within(in.depart_s(), 0, 86'400, "depart_s") * 1000;
    if (in.has_most_lost()) out.rules.maxLostFraction = within(in.most_lost(), 0, 1, "most_lost");
    if (in.has_look_s()) out.pollIntervalMs = within(in.look_s(), 0.05, 3600, "look_s") * 1000;
    out.rules.shardCount = site.shardCount;
    out.rules.maxNodes = limits.maxNodes;
    return out;
}

NbdConfig nbdOf(const Section<config::NbdSection>& section, limedrum::ProgramSettings& site) {
    NbdConfig out;
    section.checked([&](const config::NbdSection& in) {
        out.listen = address(in.listen(), "listen");
        if (in.has_unit_bytes()) out.unitBytes = in.unit_bytes();
        if (!(out.unitBytes > 0)) throwFieldError("unit_bytes", "not above 0");
        for (const auto& [name, dial] : in.nodes()) out.nodeAddresses[name] = address(dial, "nodes");
    });
    for (int i = 0; i < section.in.exports_size(); ++i) {
        section.inner(section.in.exports(i), "exports", i).checked([&](const config::NbdExport& in) {
            addExport(out, in, site);
        });
    }
    return out;
}

}  // namespace

OperatorConfig readOperatorConfig(const std::string& path, limedrum::ProgramSettings& site,
                                  const Limits& limits) {
    const files::FileContent content = files::readRegularFile(path, limits.maxOperatorFileBytes);
    if (!content.error.empty()) throw ConfigError(path + ": " + content.error);
    config::Operator message;
    pb::TextFormat::ParseInfoTree tree;
    if (const auto error = files::parseTextFormat(content.bytes, message, &tree))
        throw ConfigError(path + ':' + std::to_string(error->line) + ':' + std::to_string(error->column) +
                          ": " + error->reason);

    const Section<config::Operator> top{message, &tree, path};
    OperatorConfig out;
    if (message.has_nodes() && message.has_etcd())
        throw ConfigError(path + ": nodes and etcd: storage nodes come from one of them");
    if (message.has_nodes())
        out.nodeFiles = top.inner(message.nodes(), "nodes").checked([&](const auto& in) {
            return nodesOf(in, site, limits);
        });
    if (message.has_etcd())
        out.etcd = top.inner(message.etcd(), "etcd").checked([](const auto& in) {
            return EtcdConfig{address(in.address(), "address"), need(in.prefix(), "prefix")};
        });
    if (message.has_nbd()) out.nbd = nbdOf(top.inner(message.nbd(), "nbd"), site);
    if (message.has_xds())
        out.xdsListen = top.inner(message.xds(), "xds").checked([](const auto& in) {
            return address(in.listen(), "listen");
        });
    return out;
}

}  // namespace martencove
