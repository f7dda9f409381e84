#include "bids.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace limedrum {
namespace {

constexpr std::size_t kMaxMessageBytes = 256;  // limit of SendPeerMessage
constexpr std::string_view kBidsTag = "b3";
constexpr std::string_view kSumsTag = "s3";
constexpr double kPartsPerUnit = 10;  // figures are written in tenths

constexpr std::string_view kKindTags = "ag";  // in the order of BudgetMessage::Kind

/// Reads numbers from the front of a text.
struct Reader {
    std::string_view rest;
    /// Reads a number that follows the character `before`. Returns false if there is none.
    template <typename Number>
    bool take(Number& number, char before) {
        if (rest.empty() || rest.front() != before) return false;
        const auto [next, error] = std::from_chars(rest.data() + 1, rest.data() + rest.size(), number);
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
    double largest = 0;
    for (const auto figure : kFigures) largest = std::max(largest, this->*figure);
    return largest;
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
    const std::string header =
        std::string(message.isSums ? kSumsTag : kBidsTag) + ' ' + std::to_string(message.round);
    for (const auto& [cell, bid] : message.bids) {
        std::string entry = ' ' + std::to_string(cell);
        for (const auto figure : kFigures)
            entry += ':' + std::to_string(std::lround(bid.*figure * kPartsPerUnit));
        if (texts.empty() || texts.back().size() + entry.size() > kMaxMessageBytes) texts.push_back(header);
        texts.back() += entry;
    }
    return texts;
}

std::optional<BidMessage> readBidMessage(std::string_view text) {
    BidMessage message;
    message.isSums = text.starts_with(kSumsTag);
    if (!message.isSums && !text.starts_with(kBidsTag)) return std::nullopt;
    Reader reader{text.substr(kBidsTag.size())};
    if (!reader.take(message.round, ' ')) return std::nullopt;
    while (!reader.rest.empty()) {
        CellId cell = 0;
        if (!reader.take(cell, ' ')) return std::nullopt;
        Bid& bid = message.bids[cell];
        for (const auto figure : kFigures) {
            std::uint32_t tenths = 0;
            if (!reader.take(tenths, ':')) return std::nullopt;
            bid.*figure = tenths / kPartsPerUnit;
        }
    }
    return message;
}

std::string writeBudgetMessage(const BudgetMessage& message) {
    std::string text = {kKindTags[message.kind], kBidsTag[1], ' ', message.id.first};
    const auto rounded = [](double value) { return std::to_string(std::llround(value)); };
    for (const std::string& field :
         {std::to_string(message.id.second), std::to_string(message.coordinatorIndex),
          rounded(message.bootMsOrPlanNo), rounded(message.units * kPartsPerUnit),
          rounded(std::floor(message.askerClockMs))})
        text += ' ' + field;
    return text;
}

std::optional<BudgetMessage> readBudgetMessage(std::string_view text) {
    BudgetMessage message;
    const std::size_t kind = text.empty() ? std::string_view::npos : kKindTags.find(text[0]);
    if (kind == std::string_view::npos || text.size() < 4 || text[1] != kBidsTag[1] || text[2] != ' ' ||
        (text[3] != 'n' && text[3] != 'v'))
        return std::nullopt;
    message.kind = static_cast<BudgetMessage::Kind>(kind);
    message.id.first = text[3];
    Reader reader{text.substr(4)};
    std::uint64_t bootMsOrPlanNo = 0;
    std::uint32_t tenths = 0;
    std::uint64_t askerClockMs = 0;
    if (!reader.take(message.id.second, ' ') || !reader.take(message.coordinatorIndex, ' ') ||
        !reader.take(bootMsOrPlanNo, ' ') || !reader.take(tenths, ' ') || !reader.take(askerClockMs, ' ') ||
        !reader.rest.empty())
        return std::nullopt;
    message.bootMsOrPlanNo = static_cast<double>(bootMsOrPlanNo);
    message.units = tenths / kPartsPerUnit;
    message.askerClockMs = static_cast<double>(askerClockMs);
    return message;
}

}  // namespace limedrum
