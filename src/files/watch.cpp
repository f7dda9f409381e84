#include "files/watch.h"

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

constexpr std::uint32_t kEvents = IN_CLOSE_WRITE | IN_MODIFY | IN_ATTRIB | IN_CREATE | IN_DELETE |
                                  IN_MOVED_TO | IN_MOVED_FROM | IN_DELETE_SELF | IN_MOVE_SELF;
constexpr int kMostLinks = 40;  // on one path, the same as Linux's own limit

/// Adds to `out` the folders whose entries decide which file `path` leads to: its own folder and that
/// folder's parent, the folder of each symbolic link on the way, and the deepest existing folder if a part is
/// missing.
void foldersOf(const fs::path& path, std::set<std::string>& out) {
    std::error_code error;
    fs::path rest = fs::absolute(path, error).lexically_normal();
    int links = 0;
    for (bool again = true; again && links < kMostLinks;) {
        again = false;
        fs::path walked = rest.root_path();
        const fs::path relative = rest.relative_path();
        for (auto part = relative.begin(); part != relative.end(); ++part) {
            const fs::path here = walked / *part;
            const fs::file_status status = fs::symlink_status(here, error);
            const bool last = std::next(part) == relative.end();
            if (status.type() == fs::file_type::symlink) {
                out.insert(walked);
                fs::path target = fs::read_symlink(here, error);
                if (target.is_relative()) target = walked / target;
                for (auto more = std::next(part); more != relative.end(); ++more) target /= *more;
                rest = target.lexically_normal();
                ++links;
                again = true;
                break;
            }
            if (last || status.type() == fs::file_type::not_found) out.insert(walked);
            if (status.type() == fs::file_type::not_found) break;
            // The folder itself may be moved away and recreated, which only its parent reports.
            if (status.type() == fs::file_type::directory) {
                if (last) out.insert(here);
                const auto second = std::next(part);
                if (!last && std::next(second) == relative.end()) out.insert(walked);
            }
            walked = here;
        }
    }
}

}  // namespace

std::string computeFingerprint(const std::vector<std::string>& files) {
    std::string out;
    for (const std::string& file : files) {
        struct stat s {};
        out += file;
        if (stat(file.c_str(), &s) != 0) {
            out += " none\n";
            continue;
        }
        for (const long long part :
             {static_cast<long long>(s.st_dev), static_cast<long long>(s.st_ino),
              static_cast<long long>(s.st_size), static_cast<long long>(s.st_mode),
              static_cast<long long>(s.st_mtim.tv_sec), static_cast<long long>(s.st_mtim.tv_nsec),
              static_cast<long long>(s.st_ctim.tv_sec), static_cast<long long>(s.st_ctim.tv_nsec)})
            out += ' ' + std::to_string(part);
        out += '\n';
    }
    return out;
}

std::vector<std::string> expandPaths(const std::vector<std::string>& paths) {
    std::vector<std::string> out;
    for (const std::string& path : paths) {
        std::error_code error;
        if (!fs::is_directory(path, error)) {
            out.push_back(path);
            continue;
        }
        std::vector<std::string> inside;
        for (fs::directory_iterator at(path, error), end; !error && at != end; at.increment(error)) {
            const std::string name = at->path().filename();
            if (!name.starts_with('.') && at->path().extension() == ".textproto")
                inside.push_back(at->path());
        }
        std::sort(inside.begin(), inside.end());
        out.insert(out.end(), inside.begin(), inside.end());
    }
    return out;
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
    std::set<std::string> wanted;
    for (const std::string& path : paths_) foldersOf(path, wanted);
    std::map<std::string, int> now;
    // Returns the existing descriptor for a folder that is already watched, a new one for a recreated folder.
    for (const std::string& folder : wanted) {
        const int watch = inotify_add_watch(fd_, folder.c_str(), kEvents | IN_ONLYDIR);
        if (watch >= 0) now[folder] = watch;
    }
    for (const auto& [folder, watch] : watchDescriptors_) {
        const auto same = [watch = watch](const auto& e) { return e.second == watch; };
        if (std::none_of(now.begin(), now.end(), same)) (void)inotify_rm_watch(fd_, watch);
    }
    watchDescriptors_ = std::move(now);
}

FileWatcher::EventSummary FileWatcher::readEvents() {
    EventSummary seen;
    bool moved = false;
    alignas(inotify_event) std::array<char, 16 * 1024> buffer;
    for (;;) {
        const ssize_t got = read(fd_, buffer.data(), buffer.size());
        if (got < 0 && errno == EINTR) continue;
        if (got <= 0) break;
        for (ssize_t at = 0; at < got;) {
            inotify_event event;
            std::memcpy(&event, buffer.data() + at, sizeof event);
            at += static_cast<ssize_t>(sizeof event + event.len);
            seen.anyEvent = true;
            seen.writeFinished = seen.writeFinished || (event.mask & (IN_CLOSE_WRITE | IN_MOVED_TO)) != 0;
            seen.queueOverflowed = seen.queueOverflowed || (event.mask & IN_Q_OVERFLOW) != 0;
            moved = moved || (event.mask & ~static_cast<std::uint32_t>(IN_CLOSE_WRITE | IN_MODIFY)) != 0;
        }
    }
    if (moved) updateWatches();
    return seen;
}

}  // namespace martencove::files
