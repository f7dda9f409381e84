#include "settings_json/settings_json.h"

#include "settings_json/fields.h"

namespace limedrum {
namespace {

using namespace fields;

ClassSettings classSettings(const Json& json) {
    ClassSettings out;
    out.aimMs = getNumber(requireField(json, "AimMs"), "AimMs");
    out.deadlineMs = getNumber(requireField(json, "DeadlineMs"), "DeadlineMs");
    out.idempotency = parseEnum<Idempotency>(getString(json, "Idempotency", "fragile"), "Idempotency",
                                             {{"retryable", Idempotency::idempotent},
                                              {"dedup", Idempotency::deduplicated},
                                              {"fragile", Idempotency::nonIdempotent}});
    out.dedupScope = parseEnum<DedupScope>(
        getString(json, "Group", "cell"), "Group",
        {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::shard}});
    out.repeatWindowMs = getNumber(json, "DedupWindowMs", 0);
    out.ordered = getBool(json, "OneAtATime", false);
    out.stream = getBool(json, "Stream", false);
    out.worth = getNumber(json, "Points", 1);
    out.lateWorth = getNumber(json, "LateWorth", 0);
    return out;
}

PlanSettings planSettings(const Json& json) {
    PlanSettings out;
    out.rate = getNumber(json, "Rate", 0);
    out.reserve = getNumber(json, "Reserve", 0);
    out.weight = getNumber(json, "Proportion", 1);
    out.worthFactor = getNumber(json, "WorthFactor", 1);
    out.limit = getNumber(json, "Cap", 0);
    out.limitDepth = getNumber(json, "CapDepth", 0);
    out.limitSlack = getNumber(json, "CapSlack", 0);
    return out;
}

}  // namespace

ProgramSettings decodeSettings(const Json& json) {
    ProgramSettings site;
    Settings& out = site.scheduler;
    for (const Json& entry : getArray(requireField(json, "Classes"), "Classes")) {
        out.classes.push_back(classSettings(entry));
        site.classNames.push_back(getString(entry, "Name", ""));
    }
    if (const Json* plans = findField(json, "ServiceLevels")) {
        for (const Json& entry : getArray(*plans, "ServiceLevels")) {
            out.plans.push_back(planSettings(entry));
            site.planNames.push_back(getString(entry, "Name", ""));
        }
    }
    const Json& rules = getObject(json, "Rules");
    out.rules.answerSlackMs = getNumber(rules, "AnswerSlackMs", 0);
    out.rules.drainGraceMs = getNumber(rules, "DrainGraceMs", 0);
    out.rules.coldShare = getNumber(rules, "ColdShare", 1);
    out.rules.warmWithinMs = getNumber(rules, "WarmWithinMs", 0);
    out.rules.overloadFactor = getNumber(rules, "OverloadFactor", 1);
    out.rules.fallMs = getNumber(rules, "FallMs", 0);
    out.rules.orderPauseMs = getNumber(rules, "OrderPauseMs", 0);
    out.rules.mustAskInMs = getNumber(rules, "MustAskInMs", 0);
    out.rules.budgetWindowMs = getNumber(rules, "BudgetWindowMs", 0);
    out.rules.budgetFree = getNumber(rules, "ExtraFree", 0);
    out.rules.budgetRatio = getNumber(rules, "ExtraRatio", 0);
    const Json& family = getObject(json, "FamilyInfo");
    out.coldUnits = getNumber(family, "ColdUnits", 0);
    out.meanUnits = getNumber(family, "MeanUnits", 1);
    out.maxUnits = getNumber(family, "MaxUnits", out.meanUnits);
    out.withinShare = getNumber(family, "WithinShare", 1);
    out.spareWorth = getNumber(family, "SpareWorth", 1);
    out.reportsUnitsViaOtherHosts = getBool(family, "CountsOthers", false);
    site.shardCount = getInt(family, "Shards", 0);
    out.meterMs = getNumber(family, "MeteringMs", 0);
    const Json& limits = getObject(json, "Limits");
    out.attemptCap = getInt(limits, "SendCap", 1);
    out.mayCancel = getBool(limits, "MayCancel", false);
    out.mayRunAttemptsInParallel = getBool(limits, "ParallelTries", false);
    out.mayMessagePeers = getBool(limits, "PeerMessages", false);
    out.mayProbe = getBool(limits, "Probes", false);
    out.maxRetryAfterMs = getBool(limits, "RetryAfter", false) ? getNumber(limits, "MaxRetryAfterMs", 0) : 0;
    site.nodeIdleTimeoutMs = getNumber(limits, "ConnIdleMs", site.nodeIdleTimeoutMs);
    site.connectTimeoutMs = getNumber(limits, "DialTimeoutMs", site.connectTimeoutMs);
    site.maxOpenRequests = getInt(limits, "MaxOpen", site.maxOpenRequests);
    out.hosts = getInt(json, "Siblings", 1);
    out.self = getInt(json, "SelfIndex", 0);
    out.zone = getInt(json, "Az", 0);
    out.tickMs = getNumber(json, "GranularityMs", 1);
    out.nodeListOnRequest = getString(json, "Discovery", "pushed") == "on_request";
    return site;
}

}  // namespace limedrum
