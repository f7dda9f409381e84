#include "settings_json/settings_json.h"

#include "settings_json/fields.h"

namespace limedrum {
namespace {

using namespace fields;

ClassSettings classSettings(const Json& json) {
    ClassSettings out;
    out.aimMs = number(need(json, "AimMs"), "AimMs");
    out.deadlineMs = number(need(json, "DeadlineMs"), "DeadlineMs");
    out.repeat =
        word<Repeat>(text(json, "Idempotency", "fragile"), "Idempotency",
                     {{"retryable", Repeat::safe}, {"dedup", Repeat::keyed}, {"fragile", Repeat::unsafe}});
    out.group = word<RepeatGroup>(
        text(json, "Group", "cell"), "Group",
        {{"all", RepeatGroup::all}, {"zone", RepeatGroup::zone}, {"cell", RepeatGroup::cell}});
    out.repeatWindowMs = number(json, "DedupWindowMs", 0);
    out.ordered = truth(json, "OneAtATime", false);
    out.stream = truth(json, "Stream", false);
    out.worth = number(json, "Points", 1);
    out.lateWorth = number(json, "LateWorth", 0);
    return out;
}

PlanSettings planSettings(const Json& json) {
    PlanSettings out;
    out.rate = number(json, "Rate", 0);
    out.reserve = number(json, "Reserve", 0);
    out.weight = number(json, "Proportion", 1);
    out.worthFactor = number(json, "WorthFactor", 1);
    out.limit = number(json, "Cap", 0);
    out.limitDepth = number(json, "CapDepth", 0);
    out.limitSlack = number(json, "CapSlack", 0);
    return out;
}

}  // namespace

Site decodeSettings(const Json& json) {
    Site site;
    Settings& out = site.module;
    for (const Json& entry : list(need(json, "Classes"), "Classes")) {
        out.classes.push_back(classSettings(entry));
        site.classNames.push_back(text(entry, "Name", ""));
    }
    if (const Json* plans = find(json, "ServiceLevels")) {
        for (const Json& entry : list(*plans, "ServiceLevels")) {
            out.plans.push_back(planSettings(entry));
            site.planNames.push_back(text(entry, "Name", ""));
        }
    }
    const Json& rules = part(json, "Rules");
    out.rules.answerSlackMs = number(rules, "AnswerSlackMs", 0);
    out.rules.drainGraceMs = number(rules, "DrainGraceMs", 0);
    out.rules.coldShare = number(rules, "ColdShare", 1);
    out.rules.warmWithinMs = number(rules, "WarmWithinMs", 0);
    out.rules.overloadFactor = number(rules, "OverloadFactor", 1);
    out.rules.fallMs = number(rules, "FallMs", 0);
    out.rules.orderPauseMs = number(rules, "OrderPauseMs", 0);
    out.rules.mustAskInMs = number(rules, "MustAskInMs", 0);
    out.rules.budgetWindowMs = number(rules, "BudgetWindowMs", 0);
    out.rules.budgetFree = number(rules, "ExtraFree", 0);
    out.rules.budgetRatio = number(rules, "ExtraRatio", 0);
    const Json& family = part(json, "FamilyInfo");
    out.coldUnits = number(family, "ColdUnits", 0);
    out.meanUnits = number(family, "MeanUnits", 1);
    out.maxUnits = number(family, "MaxUnits", out.meanUnits);
    out.withinShare = number(family, "WithinShare", 1);
    out.spareWorth = number(family, "SpareWorth", 1);
    out.countsOthers = truth(family, "CountsOthers", false);
    site.shards = small(family, "Shards", 0);
    out.meterMs = number(family, "MeteringMs", 0);
    const Json& limits = part(json, "Limits");
    out.attemptCap = small(limits, "SendCap", 1);
    out.mayCancel = truth(limits, "MayCancel", false);
    out.mayOverlap = truth(limits, "ParallelTries", false);
    out.mayTellPeers = truth(limits, "PeerMessages", false);
    out.mayProbe = truth(limits, "Probes", false);
    out.maxRetryAfterMs = truth(limits, "RetryAfter", false) ? number(limits, "MaxRetryAfterMs", 0) : 0;
    site.nodeIdleMs = number(limits, "ConnIdleMs", site.nodeIdleMs);
    site.dialMs = number(limits, "DialTimeoutMs", site.dialMs);
    site.openRequests = small(limits, "MaxOpen", site.openRequests);
    out.hosts = small(json, "Siblings", 1);
    out.self = small(json, "SelfIndex", 0);
    out.zone = small(json, "Az", 0);
    out.tickMs = number(json, "GranularityMs", 1);
    out.listOnRequest = text(json, "Discovery", "pushed") == "on_request";
    return site;
}

}  // namespace limedrum
