// Detects that files may have changed, with inotify(7) watches on every folder on the way to them; symbolic
// links are followed. Linux only. Changes that inotify can miss (a queue overflow, file systems that send no
// events, a folder that is deleted and recreated at once) are found by comparing computeFingerprint() from
// time to time.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace martencove::files {

/// Summarizes stat() of each file: device, inode, size, mode, mtime and ctime. An equal result means, with
/// high probability, unchanged files.
[[nodiscard]] std::string computeFingerprint(const std::vector<std::string>& files);

/// Replaces each folder by the *.textproto files in it, sorted by name and without hidden files. Any other
/// path, also one that does not exist, is kept as it is.
[[nodiscard]] std::vector<std::string> expandPaths(const std::vector<std::string>& paths);

/// Watches files and folders of files for changes.
class FileWatcher {
public:
    explicit FileWatcher(std::vector<std::string> paths);
    ~FileWatcher();
    FileWatcher(const FileWatcher&) = delete;
    FileWatcher& operator=(const FileWatcher&) = delete;

    /// The inotify descriptor, readable when there are events. -1 if inotify is not available; then only
    /// polling finds changes.
    [[nodiscard]] int fd() const { return fd_; }

    /// What the events that were read have in common.
    struct EventSummary {
        bool anyEvent = false;
        bool writeFinished = false;  ///< a file was closed after writing or renamed, so it is likely complete
        bool queueOverflowed = false;  ///< events were lost
    };
    /// Reads all pending events without blocking and renews the watches if folders or links may have changed.
    EventSummary readEvents();

private:
    void updateWatches();

    std::vector<std::string> paths_;
    int fd_;
    std::map<std::string, int> watchDescriptors_;  // by folder
};

}  // namespace martencove::files
