#include "config/nbd_config.h"

namespace martencove {

const NbdExport* NbdConfig::findExport(const std::string& name) const {
    for (const NbdExport& nbdExport : exports) {
        if (nbdExport.name == name) return &nbdExport;
    }
    return nullptr;
}

}  // namespace martencove
