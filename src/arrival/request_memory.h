// Counts the memory that clients' requests hold, from their first byte to their answer. Pure.
#pragma once

#include <cstddef>
#include <utility>

namespace martencove {

/// The memory for the requests of all clients. Its limit may change at any time; what is charged then stays.
class RequestMemory {
public:
    /// `limitBytes` may change. `chargedBytes` is where the sum is kept. Both have to outlive this object.
    RequestMemory(const std::size_t& limitBytes, std::size_t& chargedBytes)
        : limitBytes_(limitBytes), chargedBytes_(chargedBytes) {}
    RequestMemory(const RequestMemory&) = delete;
    RequestMemory& operator=(const RequestMemory&) = delete;

    [[nodiscard]] std::size_t availableBytes() const {
        return chargedBytes_ < limitBytes_ ? limitBytes_ - chargedBytes_ : 0;
    }

    /// Whether more is charged than the limit allows, which may have been lowered.
    [[nodiscard]] bool isOver() const { return chargedBytes_ > limitBytes_; }

    /// What one request holds; released on destruction.
    class Charge {
    public:
        explicit Charge(RequestMemory& memory) : memory_(memory) {}
        ~Charge() { set(0); }
        Charge(const Charge&) = delete;
        Charge& operator=(const Charge&) = delete;

        [[nodiscard]] std::size_t bytes() const { return bytes_; }
        /// Changes the charge whatever the limit is: for memory that is held already.
        void set(std::size_t bytes) {
            memory_.chargedBytes_ += bytes;
            memory_.chargedBytes_ -= std::exchange(bytes_, bytes);
        }
        /// Changes the charge if it shrinks or the limit allows it; returns whether it did.
        [[nodiscard]] bool trySet(std::size_t bytes) {
            if (bytes > bytes_ && bytes - bytes_ > memory_.availableBytes()) return false;
            set(bytes);
            return true;
        }

    private:
        RequestMemory& memory_;
        std::size_t bytes_ = 0;
    };

private:
    const std::size_t& limitBytes_;
    std::size_t& chargedBytes_;
};

}  // namespace martencove
