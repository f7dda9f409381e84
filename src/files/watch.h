// Tells when files may have changed: inotify on every folder that leads to them, symbolic links followed.
// Linux, inotify(7). What it can miss (an overflown queue, file systems that send nothing, a folder made anew
// in the same moment) is the business of fingerprint(), which is looked at now and then.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace martencove::files {

/// What a look from outside shows of the files that paths mean: equal texts, unchanged files, mostly.
[[nodiscard]] std::string computeFingerprint(const std::vector<std::string>& files);

/// The files that paths mean now: a folder stands for its *.textproto files, by name. A path that is not
/// there stands for itself.
[[nodiscard]] std::vector<std::string> expandPaths(const std::vector<std::string>& paths);

class FileWatcher {
public:
    explicit FileWatcher(std::vector<std::string> paths);
    ~FileWatcher();
    FileWatcher(const FileWatcher&) = delete;
    FileWatcher& operator=(const FileWatcher&) = delete;

    /// Readable when something happened. -1: the system gives no watches, only looks are left.
    [[nodiscard]] int fd() const { return fd_; }

    struct EventSummary {
        bool anyEvent = false;
        bool writeFinished = false;    ///< a writer closed or renamed a file: it is likely to be whole
        bool queueOverflowed = false;  ///< the queue overflowed
    };
    /// Takes what has happened, and follows folders that were made, moved or linked anew.
    EventSummary readEvents();

private:
    void updateWatches();

    std::vector<std::string> paths_;
    int fd_;
    std::map<std::string, int> watchDescriptors_;  // watch descriptors
};

}  // namespace martencove::files
