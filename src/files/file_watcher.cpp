#include "files/file_watcher.h"

#include <fcntl.h>
#include <sys/inotify.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <filesystem>

namespace martencove::files {
namespace {

namespace fs = std::filesystem;

constexpr std::uint32_t kWatchedEvents = IN_CLOSE_WRITE | IN_MODIFY | IN_ATTRIB | IN_CREATE | IN_DELETE |
                                         IN_MOVED_TO | IN_MOVED_FROM | IN_DELETE_SELF | IN_MOVE_SELF;
constexpr int kMaxSymlinks = 40;  // on one path, the same as Linux's own limit

/// Adds to `folders` the folders whose entries decide which file `path` leads to: its own folder and that
/// folder's parent, the folder of each symbolic link on the way, and the deepest existing folder if a part is
/// missing.
void collectWatchedFolders(const fs::path& path, std::set<std::string>& folders) {
    std::error_code error;
    fs::path resolved = fs::absolute(path, error).lexically_normal();
    int symlinkCount = 0;
    for (bool restart = true; restart && symlinkCount < kMaxSymlinks;) {
        restart = false;
        fs::path parent = resolved.root_path();
        const fs::path relativePath = resolved.relative_path();
        for (auto part = relativePath.begin(); part != relativePath.end(); ++part) {
            const fs::path current = parent / *part;
            const fs::file_status status = fs::symlink_status(current, error);
            const bool isLast = std::next(part) == relativePath.end();
            if (status.type() == fs::file_type::symlink) {
                folders.insert(parent);
                fs::path target = fs::read_symlink(current, error);
                if (target.is_relative()) target = parent / target;
                for (auto remaining = std::next(part); remaining != relativePath.end(); ++remaining)
                    target /= *remaining;
                resolved = target.lexically_normal();
                ++symlinkCount;
                restart = true;
                break;
            }
            if (isLast || status.type() == fs::file_type::not_found) folders.insert(parent);
            if (status.type() == fs::file_type::not_found) break;
            // The folder itself may be moved away and recreated, which only its parent reports.
            if (status.type() == fs::file_type::directory) {
                if (isLast) folders.insert(current);
                const auto next = std::next(part);
                if (!isLast && std::next(next) == relativePath.end()) folders.insert(parent);
            }
            parent = current;
        }
    }
}

}  // namespace

std::string computeFingerprint(const std::vector<std::string>& files) {
    std::string fingerprint;
    for (const std::string& file : files) {
        struct stat info {};
        fingerprint += file;
        if (stat(file.c_str(), &info) != 0) {
            fingerprint += " none\n";
            continue;
        }
        for (const long long value :
             {static_cast<long long>(info.st_dev), static_cast<long long>(info.st_ino),
              static_cast<long long>(info.st_size), static_cast<long long>(info.st_mode),
              static_cast<long long>(info.st_mtim.tv_sec), static_cast<long long>(info.st_mtim.tv_nsec),
              static_cast<long long>(info.st_ctim.tv_sec), static_cast<long long>(info.st_ctim.tv_nsec)})
            fingerprint += ' ' + std::to_string(value);
        fingerprint += '\n';
    }
    return fingerprint;
}

std::vector<std::string> expandPaths(const std::vector<std::string>& paths) {
    std::vector<std::string> files;
    for (const std::string& path : paths) {
        std::error_code error;
        if (!fs::is_directory(path, error)) {
            files.push_back(path);
            continue;
        }
        std::vector<std::string> folderFiles;
        for (fs::directory_iterator entry(path, error), end; !error && entry != end; entry.increment(error)) {
            const std::string name = entry->path().filename();
            if (!name.starts_with('.') && entry->path().extension() == ".textproto")
                folderFiles.push_back(entry->path());
        }
        std::sort(folderFiles.begin(), folderFiles.end());
        files.insert(files.end(), folderFiles.begin(), folderFiles.end());
    }
    return files;
}

FileWatcher::FileWatcher(std::vector<std::string> paths)
    : paths_(std::move(paths)), fd_(inotify_init1(IN_NONBLOCK | IN_CLOEXEC)) {
    updateWatches();
}

FileWatcher::~FileWatcher() {
    if (fd_ >= 0) close(fd_);
}

void FileWatcher::updateWatches() {
    if (fd_ < 0) return;
    std::set<std::string> folders;
    for (const std::string& path : paths_) collectWatchedFolders(path, folders);
    std::map<std::string, int> descriptors;
    // Returns the existing descriptor for a folder that is already watched, a new one for a recreated folder.
    for (const std::string& folder : folders) {
        const int descriptor = inotify_add_watch(fd_, folder.c_str(), kWatchedEvents | IN_ONLYDIR);
        if (descriptor >= 0) descriptors[folder] = descriptor;
    }
    for (const auto& [folder, descriptor] : watchDescriptors_) {
        const auto isSameDescriptor = [descriptor = descriptor](const auto& entry) {
            return entry.second == descriptor;
        };
        if (std::none_of(descriptors.begin(), descriptors.end(), isSameDescriptor))
            (void)inotify_rm_watch(fd_, descriptor);
    }
    watchDescriptors_ = std::move(descriptors);
}

FileWatcher::EventSummary FileWatcher::readEvents() {
    EventSummary summary;
    bool foldersMayHaveChanged = false;
    alignas(inotify_event) std::array<char, 16 * 1024> buffer;
    for (;;) {
        const ssize_t bytesRead = read(fd_, buffer.data(), buffer.size());
        if (bytesRead < 0 && errno == EINTR) continue;
        if (bytesRead <= 0) break;
        for (ssize_t offset = 0; offset < bytesRead;) {
            inotify_event event;
            std::memcpy(&event, buffer.data() + offset, sizeof event);
            offset += static_cast<ssize_t>(sizeof event + event.len);
            summary.anyEvent = true;
            summary.writeFinished =
                summary.writeFinished || (event.mask & (IN_CLOSE_WRITE | IN_MOVED_TO)) != 0;
            summary.queueOverflowed = summary.queueOverflowed || (event.mask & IN_Q_OVERFLOW) != 0;
            foldersMayHaveChanged =
                foldersMayHaveChanged ||
                (event.mask & ~static_cast<std::uint32_t>(IN_CLOSE_WRITE | IN_MODIFY)) != 0;
        }
    }
    if (foldersMayHaveChanged) updateWatches();
    return summary;
}

}  // namespace martencove::files
