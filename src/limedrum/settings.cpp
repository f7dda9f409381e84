#include "settings.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <utility>

namespace limedrum {
namespace {

void require(bool condition, const std::string& field) {
    if (!condition) throw std::invalid_argument("settings: " + field + " is out of range");
}
/// Requires each value to be finite and not negative.
void requireFigures(std::initializer_list<std::pair<const char*, double>> figures) {
    for (const auto& [field, value] : figures) require(std::isfinite(value) && value >= 0, field);
}

}  // namespace

Settings validatedSettings(Settings s) {
    require(!s.classes.empty(), "classes");
    for (const ClassSettings& c : s.classes) {
        require(std::isfinite(c.deadlineMs) && c.deadlineMs > 0, "classes.deadlineMs");
        requireFigures({{"classes.aimMs", c.aimMs},
                        {"classes.repeatWindowMs", c.repeatWindowMs},
                        {"classes.worth", c.worth},
                        {"classes.lateWorth", c.lateWorth}});
    }
    for (const PlanSettings& p : s.plans) {
        requireFigures({{"plans.rate", p.rate},
                        {"plans.reserve", p.reserve},
                        {"plans.weight", p.weight},
                        {"plans.worthFactor", p.worthFactor},
                        {"plans.limit", p.limit},
                        {"plans.limitDepth", p.limitDepth},
                        {"plans.limitSlack", p.limitSlack}});
    }
    const RuleSettings& r = s.rules;
    requireFigures({{"rules.answerSlackMs", r.answerSlackMs},
                    {"rules.drainGraceMs", r.drainGraceMs},
                    {"rules.coldShare", r.coldShare},
                    {"rules.warmWithinMs", r.warmWithinMs},
                    {"rules.overloadFactor", r.overloadFactor},
                    {"rules.fallMs", r.fallMs},
                    {"rules.orderPauseMs", r.orderPauseMs},
                    {"rules.mustAskInMs", r.mustAskInMs},
                    {"rules.budgetWindowMs", r.budgetWindowMs},
                    {"rules.budgetFree", r.budgetFree},
                    {"rules.budgetRatio", r.budgetRatio}});
    requireFigures({{"tickMs", s.tickMs},
                    {"coldUnits", s.coldUnits},
                    {"meanUnits", s.meanUnits},
                    {"maxUnits", s.maxUnits},
                    {"withinShare", s.withinShare},
                    {"spareWorth", s.spareWorth},
                    {"meterMs", s.meterMs},
                    {"maxRetryAfterMs", s.maxRetryAfterMs}});
    require(s.hosts >= 1, "hosts");
    require(s.self >= 0, "self");
    require(s.attemptCap >= 0, "attemptCap");
    if (s.plans.empty()) s.plans.emplace_back();
    s.attemptCap = std::max(1, s.attemptCap);
    if (s.meanUnits <= 0) s.meanUnits = 1;
    return s;
}

}  // namespace limedrum
