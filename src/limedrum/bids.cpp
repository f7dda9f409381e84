#include "bids.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace limedrum {
namespace {

constexpr std::size_t kMessageBytes = 256;  // limit of SendPeerMessage
constexpr std::string_view kBids = "b3";
constexpr std::string_view kSums = "s3";
constexpr double kParts = 10;  // per unit: figures are written in tenths

constexpr std::string_view kKinds = "ag";  // in the order of BudgetMessage::Kind

/// Reads numbers from the front of a text.
struct Reader {
    std::string_view rest;
    /// Reads a number that follows the character `before`. Returns false if there is none.
    template <typename Number>
    bool take(Number& value, char before) {
        if (rest.empty() || rest.front() != before) return false;
        const auto [next, error] = std::from_chars(rest.data() + 1, rest.data() + rest.size(), value);
        rest.remove_prefix(static_cast<std::size_t>(next - rest.data()));
        return error == std::errc{};
    }
};

/// In the order of the text.
constexpr double Bid::*kFigures[] = {&Bid::offeredUnits, &Bid::reservedUnits, &Bid::weightedUnits,
                                     &Bid::servedUnits,  &Bid::overloadUnits, &Bid::bidderCount};

}  // namespace

Bid& Bid::operator+=(const Bid& other) {
    for (const auto figure : kFigures) this->*figure += other.*figure;
    return *this;
}

double Bid::maxFigure() const {
    double most = 0;
    for (const auto figure : kFigures) most = std::max(most, this->*figure);
    return most;
}

std::map<int, std::map<CellId, Bid>> GatheredBids::takeSums(int hosts,
                                                            const std::function<bool(const Bid&)>& toAll) {
    std::map<int, std::map<CellId, Bid>> sums;
    for (const auto& [cell, bidders] : bids) {
        Bid sum;
        for (const auto& [host, bid] : bidders) sum += bid;
        for (const auto& [host, bid] : bidders) sums[host][cell] = sum;
        if (!toAll(sum)) continue;
        for (int host = 0; host < hosts; ++host) sums[host][cell] = sum;
    }
    bids.clear();
    return sums;
}

std::vector<std::string> writeBidMessages(const BidMessage& message) {
    std::vector<std::string> texts;
    const std::string head =
        std::string(message.isSums ? kSums : kBids) + ' ' + std::to_string(message.round);
    for (const auto& [cell, bid] : message.bids) {
        std::string entry = ' ' + std::to_string(cell);
        for (const auto figure : kFigures) entry += ':' + std::to_string(std::lround(bid.*figure * kParts));
        if (texts.empty() || texts.back().size() + entry.size() > kMessageBytes) texts.push_back(head);
        texts.back() += entry;
    }
    return texts;
}

std::optional<BidMessage> readBidMessage(std::string_view text) {
    BidMessage message;
    message.isSums = text.starts_with(kSums);
    if (!message.isSums && !text.starts_with(kBids)) return std::nullopt;
    Reader read{text.substr(kBids.size())};
    if (!read.take(message.round, ' ')) return std::nullopt;
    while (!read.rest.empty()) {
        CellId cell = 0;
        if (!read.take(cell, ' ')) return std::nullopt;
        Bid& bid = message.bids[cell];
        for (const auto figure : kFigures) {
            std::uint32_t parts = 0;
            if (!read.take(parts, ':')) return std::nullopt;
            bid.*figure = parts / kParts;
        }
    }
    return message;
}

std::string writeBudgetMessage(const BudgetMessage& m) {
    std::string text = {kKinds[m.kind], kBids[1], ' ', m.id.first};
    const auto whole = [](double value) { return std::to_string(std::llround(value)); };
    for (const std::string& part :
         {std::to_string(m.id.second), std::to_string(m.coordinatorIndex), whole(m.bootMsOrPlanNo),
          whole(m.units * kParts), whole(std::floor(m.askerClockMs))})
        text += ' ' + part;
    return text;
}

std::optional<BudgetMessage> readBudgetMessage(std::string_view text) {
    BudgetMessage m;
    const std::size_t kind = text.empty() ? std::string_view::npos : kKinds.find(text[0]);
    if (kind == std::string_view::npos || text.size() < 4 || text[1] != kBids[1] || text[2] != ' ' ||
        (text[3] != 'n' && text[3] != 'v'))
        return std::nullopt;
    m.kind = static_cast<BudgetMessage::Kind>(kind);
    m.id.first = text[3];
    Reader read{text.substr(4)};
    std::uint64_t figure = 0;
    std::uint32_t parts = 0;
    std::uint64_t stamp = 0;
    if (!read.take(m.id.second, ' ') || !read.take(m.coordinatorIndex, ' ') || !read.take(figure, ' ') ||
        !read.take(parts, ' ') || !read.take(stamp, ' ') || !read.rest.empty())
        return std::nullopt;
    m.bootMsOrPlanNo = static_cast<double>(figure);
    m.units = parts / kParts;
    m.askerClockMs = static_cast<double>(stamp);
    return m;
}

}  // namespace limedrum
