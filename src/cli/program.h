// The running scheduler: constructs and connects the components.
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
struct OperatorSections {};  ///< empty: this build does not support the operator's file
#endif

/// The scheduler process with its listeners, connections and timers on one event loop.
class Program {
public:
    /// Binds the listeners. Throws ConfigError or std::runtime_error if the program cannot start.
    Program(Config config, OperatorSections sections, LogFormat logFormat);
    ~Program();
    Program(const Program&) = delete;
    Program& operator=(const Program&) = delete;

    /// Runs until the shutdown that SIGTERM or SIGINT starts is complete.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace martencove
