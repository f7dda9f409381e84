// The running scheduler: wires the parts, holds none of their logic.
#pragma once

#include <memory>

#include "config/config.h"
#include "net/log.h"
#ifdef MARTENCOVE_OPERATOR
#include "config/operator.h"
#endif

namespace martencove {

#ifdef MARTENCOVE_OPERATOR
using OperatorSections = OperatorConfig;
#else
struct OperatorSections {};  ///< this build reads no operator's file
#endif

class Program {
public:
    /// Throws ConfigError or std::runtime_error, with the reason, where it cannot start.
    Program(Config config, OperatorSections extras, LogFormat form);
    ~Program();
    Program(const Program&) = delete;
    Program& operator=(const Program&) = delete;

    /// Until it is told to end by SIGTERM or SIGINT.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace martencove
