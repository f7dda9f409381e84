#include "config/nbd_config.h"

namespace martencove {

const NbdExport* NbdConfig::findExport(const std::string& name) const {
    for (const NbdExport& e : exports) {
        if (e.name == name) return &e;
    }
    return nullptr;
}

}  // namespace martencove
