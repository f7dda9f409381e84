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

/// A message of the file with the source locations of its fields.
template <typename Message>
struct Section {
    const Message& in;
    const pb::TextFormat::ParseInfoTree* locations;
    std::string file;

    /// Runs `check` and turns its FieldError into a ConfigError with the location of the field, whose name
    /// the error's text begins with.
    template <typename Check>
    auto checked(Check check) const {
        try {
            return check(in);
        } catch (const FieldError& error) {
            const std::string text = error.what();
            const auto* field = in.GetDescriptor()->FindFieldByName(text.substr(0, text.find(':')));
            const int index = field != nullptr && field->is_repeated() ? 0 : -1;
            std::string position = file;
            if (field != nullptr && locations != nullptr && locations->GetLocation(field, index).line >= 0) {
                const auto location = locations->GetLocation(field, index);
                position +=
                    ':' + std::to_string(location.line + 1) + ':' + std::to_string(location.column + 1);
            }
            throw ConfigError(position + ": " + text);
        }
    }
    template <typename Inner>
    Section<Inner> inner(const Inner& message, const char* field, int index = -1) const {
        const auto* descriptor = in.GetDescriptor()->FindFieldByName(field);
        return {message, locations == nullptr ? nullptr : locations->GetTreeForNested(descriptor, index),
                file};
    }
};

Address address(const std::string& text, const char* field) {
    const auto parsed = parseAddress(text);
    if (!parsed) throwFieldError(field, text.empty() ? "missing" : "not an address: '" + text + "'");
    return *parsed;
}
const std::string& requireText(const std::string& text, const char* field) {
    if (text.empty()) throwFieldError(field, "missing");
    return text;
}
double requireInRange(double value, double minValue, double maxValue, const char* field) {
    if (!(value >= minValue && value <= maxValue)) throwFieldError(field, "out of range");
    return value;
}

files::NodeFileConfig decodeNodes(const config::NodesSection& in, const limedrum::ProgramSettings& settings,
                                  const Limits& limits) {
    files::NodeFileConfig out;
    if (in.path().empty()) throwFieldError("path", "missing");
    for (const std::string& path : in.path()) out.paths.push_back(requireText(path, "path"));
    out.keptVersionPath = in.keep();
    if (in.has_depart_s())
        out.rules.removalDrainMs = requireInRange(in.depart_s(), 0, 86'400, "depart_s") * 1000;
    if (in.has_most_lost()) out.rules.maxLostFraction = requireInRange(in.most_lost(), 0, 1, "most_lost");
    if (in.has_look_s()) out.pollIntervalMs = requireInRange(in.look_s(), 0.05, 3600, "look_s") * 1000;
    out.rules.shardCount = settings.shardCount;
    out.rules.maxNodes = limits.maxNodes;
    return out;
}

NbdConfig decodeNbd(const Section<config::NbdSection>& section, limedrum::ProgramSettings& settings) {
    NbdConfig out;
    section.checked([&](const config::NbdSection& in) {
        out.listen = address(in.listen(), "listen");
        if (in.has_unit_bytes()) out.unitBytes = in.unit_bytes();
        if (!(out.unitBytes > 0)) throwFieldError("unit_bytes", "not above 0");
        for (const auto& [name, dial] : in.nodes()) out.nodeAddresses[name] = address(dial, "nodes");
    });
    for (int i = 0; i < section.in.exports_size(); ++i) {
        section.inner(section.in.exports(i), "exports", i).checked([&](const config::NbdExport& in) {
            addExport(out, in, settings);
        });
    }
    return out;
}

}  // namespace

OperatorConfig readOperatorConfig(const std::string& path, limedrum::ProgramSettings& settings,
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
        throw ConfigError(path + ": nodes and etcd: only one of them is allowed");
    if (message.has_nodes())
        out.nodeFiles = top.inner(message.nodes(), "nodes").checked([&](const auto& in) {
            return decodeNodes(in, settings, limits);
        });
    if (message.has_etcd())
        out.etcd = top.inner(message.etcd(), "etcd").checked([](const auto& in) {
            return EtcdConfig{address(in.address(), "address"), requireText(in.prefix(), "prefix")};
        });
    if (message.has_nbd()) out.nbd = decodeNbd(top.inner(message.nbd(), "nbd"), settings);
    if (message.has_xds())
        out.xdsListen = top.inner(message.xds(), "xds").checked([](const auto& in) {
            return address(in.listen(), "listen");
        });
    return out;
}

}  // namespace martencove
