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
[[nodiscard]] std::string fingerprint(const std::vector<std::string>& files);

/// The files that paths mean now: a folder stands for its *.textproto files, by name. A path that is not
/// there stands for itself.
[[nodiscard]] std::vector<std::string> filesOf(const std::vector<std::string>& paths);

class Watch {
public:
    explicit Watch(std::vector<std::string> paths);
    ~Watch();
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;

    /// Readable when something happened. -1: the system gives no watches, only looks are left.
    [[nodiscard]] int fd() const { return fd_; }

    struct Seen {
        bool any = false;
        bool closed = false;  ///< a writer closed or renamed a file: it is likely to be whole
        bool lost = false;    ///< the queue overflowed
    };
    /// Takes what has happened, and follows folders that were made, moved or linked anew.
    Seen take();

private:
    void follow();

    std::vector<std::string> paths_;
    int fd_;
    std::map<std::string, int> folders_;  // watch descriptors
};

}  // namespace martencove::files
