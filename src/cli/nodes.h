// The sub-commands on files of nodes: check, diff, seal, show. Each returns the program's exit code.
#pragma once

#include <string>
#include <vector>

namespace martencove::cli {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;    ///< something could not be read, written or reached
inline constexpr int kExitRejected = 3;  ///< what was checked is not fit to come into force; 2 is wrong usage

/// Judges what stands at `paths` as a start would; problems go to standard error, a line each.
[[nodiscard]] int checkNodes(const std::vector<std::string>& paths);
/// Tells the change from one version to another, and whether the guards would let it pass.
[[nodiscard]] int diffNodes(const std::string& before, const std::string& after);
/// Puts a file's count right and its last line anew.
[[nodiscard]] int sealNodes(const std::string& path);
/// Asks a running scheduler which version is in force, for how long, and what was refused last.
[[nodiscard]] int showNodes(const std::string& address);

}  // namespace martencove::cli
