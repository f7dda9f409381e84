#include "files/file_io.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace martencove::files {
namespace {

/// Owns a file descriptor and closes it.
class Descriptor {
public:
    explicit Descriptor(int fd) : fd_(fd) {}
    ~Descriptor() { (void)shut(); }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    [[nodiscard]] int get() const { return fd_; }
    [[nodiscard]] bool shut() { return fd_ < 0 || close(std::exchange(fd_, -1)) == 0; }

private:
    int fd_;
};

std::string why(const char* what) { return std::string(what) + ": " + std::strerror(errno); }

bool writeAll(int fd, const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = write(fd, bytes.data() + done, bytes.size() - done);
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

}  // namespace

FileContent readRegularFile(const std::string& path, std::size_t most) {
    FileContent out;
    const Descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK | O_NOCTTY));
    if (file.get() < 0) {
        out.missing = errno == ENOENT || errno == ENOTDIR;
        out.error = why("cannot be opened");
        return out;
    }
    struct stat info {};
    if (fstat(file.get(), &info) != 0) {
        out.error = why("cannot be inspected");
    } else if (!S_ISREG(info.st_mode)) {
        out.error = S_ISDIR(info.st_mode) ? "is a directory" : "is not a regular file";
    } else if (static_cast<std::size_t>(info.st_size) > most) {
        out.error =
            "has " + std::to_string(info.st_size) + " bytes, at most " + std::to_string(most) + " are read";
    }
    if (!out.error.empty()) return out;
    // Reads one byte more than the size that fstat() gave, to detect a file that grows meanwhile.
    out.bytes.resize(std::min(static_cast<std::size_t>(info.st_size), most) + 1);
    std::size_t got = 0;
    while (got < out.bytes.size()) {
        const ssize_t n = read(file.get(), out.bytes.data() + got, out.bytes.size() - got);
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) {
            out.error = why("cannot be read");
            out.bytes.clear();
            return out;
        }
        if (n == 0) break;
        got += static_cast<std::size_t>(n);
    }
    out.bytes.resize(got);
    return out;
}

std::string writeFileAtomically(const std::string& path, const std::string& bytes) {
    const std::string beside = path + ".new";
    Descriptor file(open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
    if (file.get() < 0) return why(("cannot create " + beside).c_str());
    if (!writeAll(file.get(), bytes) || fsync(file.get()) != 0 || !file.shut()) {
        const std::string error = why(("cannot write " + beside).c_str());
        unlink(beside.c_str());
        return error;
    }
    if (rename(beside.c_str(), path.c_str()) != 0) return why(("cannot replace " + path).c_str());
    // The rename is durable only once its folder is synced.
    const std::size_t slash = path.rfind('/');
    const std::string folder = slash == path.npos ? "." : path.substr(0, slash + 1);
    const Descriptor entry(open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (entry.get() < 0 || fsync(entry.get()) != 0) return why(("cannot sync " + folder).c_str());
    return "";
}

}  // namespace martencove::files
