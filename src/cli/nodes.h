// The sub-commands `nodes check`, `diff`, `seal` and `show` for node files. Each returns the program's exit
// code.
#pragma once

#include <string>
#include <vector>

namespace martencove::cli {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;    ///< something could not be read, written or reached
inline constexpr int kExitRejected = 3;  ///< the checked input is invalid; code 2 is wrong usage

/// Checks the files at `paths` as the program does at startup. Prints problems to standard error, one per
/// line.
[[nodiscard]] int checkNodes(const std::vector<std::string>& paths);
/// Prints the changes between two versions. Returns kExitRejected if the membership rules do not allow them.
[[nodiscard]] int diffNodes(const std::string& before, const std::string& after);
/// Updates the node count and the trailer line of a file after an edit.
[[nodiscard]] int sealNodes(const std::string& path);
/// Prints the status page of a running scheduler: the active version, its age, and the last rejected version.
[[nodiscard]] int showNodes(const std::string& address);

}  // namespace martencove::cli
