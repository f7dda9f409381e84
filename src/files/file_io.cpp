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
class FileDescriptor {
public:
    explicit FileDescriptor(int fd) : fd_(fd) {}
    ~FileDescriptor() { (void)closeNow(); }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    [[nodiscard]] int get() const { return fd_; }
    [[nodiscard]] bool closeNow() { return fd_ < 0 || close(std::exchange(fd_, -1)) == 0; }

private:
    int fd_;
};

std::string withErrno(const char* what) { return std::string(what) + ": " + std::strerror(errno); }

bool writeAll(int fd, const std::string& bytes) {
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t result = write(fd, bytes.data() + written, bytes.size() - written);
        if (result < 0 && errno == EINTR) continue;
        if (result <= 0) return false;
        written += static_cast<std::size_t>(result);
    }
    return true;
}

}  // namespace

FileContent readRegularFile(const std::string& path, std::size_t maxBytes) {
    FileContent content;
    const FileDescriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK | O_NOCTTY));
    if (file.get() < 0) {
        content.missing = errno == ENOENT || errno == ENOTDIR;
        content.error = withErrno("cannot be opened");
        return content;
    }
    struct stat info {};
    if (fstat(file.get(), &info) != 0) {
        content.error = withErrno("cannot be inspected");
    } else if (!S_ISREG(info.st_mode)) {
        content.error = S_ISDIR(info.st_mode) ? "is a directory" : "is not a regular file";
    } else if (static_cast<std::size_t>(info.st_size) > maxBytes) {
        content.error = "has " + std::to_string(info.st_size) + " bytes, at most " +
                        std::to_string(maxBytes) + " are read";
    }
    if (!content.error.empty()) return content;
    // Reads one byte more than the size that fstat() gave, to detect a file that grows meanwhile.
    content.bytes.resize(std::min(static_cast<std::size_t>(info.st_size), maxBytes) + 1);
    std::size_t bytesRead = 0;
    while (bytesRead < content.bytes.size()) {
        const ssize_t result =
            read(file.get(), content.bytes.data() + bytesRead, content.bytes.size() - bytesRead);
        if (result < 0 && errno == EINTR) continue;
        if (result < 0) {
            content.error = withErrno("cannot be read");
            content.bytes.clear();
            return content;
        }
        if (result == 0) break;
        bytesRead += static_cast<std::size_t>(result);
    }
    content.bytes.resize(bytesRead);
    return content;
}

std::string writeFileAtomically(const std::string& path, const std::string& bytes) {
    const std::string temporaryPath = path + ".new";
    FileDescriptor file(open(temporaryPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
    if (file.get() < 0) return withErrno(("cannot create " + temporaryPath).c_str());
    if (!writeAll(file.get(), bytes) || fsync(file.get()) != 0 || !file.closeNow()) {
        const std::string error = withErrno(("cannot write " + temporaryPath).c_str());
        unlink(temporaryPath.c_str());
        return error;
    }
    if (rename(temporaryPath.c_str(), path.c_str()) != 0)
        return withErrno(("cannot replace " + path).c_str());
    // The rename is durable only once its folder is synced.
    const std::size_t slash = path.rfind('/');
    const std::string folder = slash == path.npos ? "." : path.substr(0, slash + 1);
    const FileDescriptor folderDescriptor(open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (folderDescriptor.get() < 0 || fsync(folderDescriptor.get()) != 0)
        return withErrno(("cannot sync " + folder).c_str());
    return "";
}

}  // namespace martencove::files
