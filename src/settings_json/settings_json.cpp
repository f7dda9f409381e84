#include "settings_json/settings_json.h"

#include "settings_json/fields.h"

namespace limedrum {
namespace {

using namespace fields;

ClassSettings decodeClass(const Json& json) {
    ClassSettings settings;
    settings.aimMs = getNumber(requireField(json, "AimMs"), "AimMs");
    settings.deadlineMs = getNumber(requireField(json, "DeadlineMs"), "DeadlineMs");
    settings.idempotency = parseEnum<Idempotency>(getString(json, "Idempotency", "fragile"), "Idempotency",
                                                  {{"retryable", Idempotency::idempotent},
                                                   {"dedup", Idempotency::deduplicated},
                                                   {"fragile", Idempotency::nonIdempotent}});
    settings.dedupScope = parseEnum<DedupScope>(
        getString(json, "Group", "cell"), "Group",
        {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::shard}});
    settings.repeatWindowMs = getNumber(json, "DedupWindowMs", 0);
    settings.ordered = getBool(json, "OneAtATime", false);
    settings.stream = getBool(json, "Stream", false);
    settings.worth = getNumber(json, "Points", 1);
    settings.lateWorth = getNumber(json, "LateWorth", 0);
    return settings;
}

PlanSettings decodePlan(const Json& json) {
    PlanSettings settings;
    settings.rate = getNumber(json, "Rate", 0);
    settings.reserve = getNumber(json, "Reserve", 0);
    settings.weight = getNumber(json, "Proportion", 1);
    settings.worthFactor = getNumber(json, "WorthFactor", 1);
    settings.limit = getNumber(json, "Cap", 0);
    settings.limitDepth = getNumber(json, "CapDepth", 0);
    settings.limitSlack = getNumber(json, "CapSlack", 0);
    return settings;
}

}  // namespace

ProgramSettings decodeSettings(const Json& json) {
    ProgramSettings programSettings;
    Settings& settings = programSettings.scheduler;
    for (const Json& entry : getArray(requireField(json, "Classes"), "Classes")) {
        settings.classes.push_back(decodeClass(entry));
        programSettings.classNames.push_back(getString(entry, "Name", ""));
    }
    if (const Json* plans = findField(json, "ServiceLevels")) {
        for (const Json& entry : getArray(*plans, "ServiceLevels")) {
            settings.plans.push_back(decodePlan(entry));
            programSettings.planNames.push_back(getString(entry, "Name", ""));
        }
    }
    const Json& rules = getObject(json, "Rules");
    settings.rules.answerSlackMs = getNumber(rules, "AnswerSlackMs", 0);
    settings.rules.drainGraceMs = getNumber(rules, "DrainGraceMs", 0);
    settings.rules.coldShare = getNumber(rules, "ColdShare", 1);
    settings.rules.warmWithinMs = getNumber(rules, "WarmWithinMs", 0);
    settings.rules.overloadFactor = getNumber(rules, "OverloadFactor", 1);
    settings.rules.fallMs = getNumber(rules, "FallMs", 0);
    settings.rules.orderPauseMs = getNumber(rules, "OrderPauseMs", 0);
    settings.rules.mustAskInMs = getNumber(rules, "MustAskInMs", 0);
    settings.rules.budgetWindowMs = getNumber(rules, "BudgetWindowMs", 0);
    settings.rules.budgetFree = getNumber(rules, "ExtraFree", 0);
    settings.rules.budgetRatio = getNumber(rules, "ExtraRatio", 0);
    const Json& family = getObject(json, "FamilyInfo");
    settings.coldUnits = getNumber(family, "ColdUnits", 0);
    settings.meanUnits = getNumber(family, "MeanUnits", 1);
    settings.maxUnits = getNumber(family, "MaxUnits", settings.meanUnits);
    settings.withinShare = getNumber(family, "WithinShare", 1);
    settings.spareWorth = getNumber(family, "SpareWorth", 1);
    settings.reportsUnitsViaOtherHosts = getBool(family, "CountsOthers", false);
    programSettings.shardCount = getInt(family, "Shards", 0);
    settings.meterMs = getNumber(family, "MeteringMs", 0);
    const Json& limits = getObject(json, "Limits");
    settings.attemptCap = getInt(limits, "SendCap", 1);
    settings.mayCancel = getBool(limits, "MayCancel", false);
    settings.mayRunAttemptsInParallel = getBool(limits, "ParallelTries", false);
    settings.mayMessagePeers = getBool(limits, "PeerMessages", false);
    settings.mayProbe = getBool(limits, "Probes", false);
    settings.maxRetryAfterMs =
        getBool(limits, "RetryAfter", false) ? getNumber(limits, "MaxRetryAfterMs", 0) : 0;
    programSettings.nodeIdleTimeoutMs = getNumber(limits, "ConnIdleMs", programSettings.nodeIdleTimeoutMs);
    programSettings.connectTimeoutMs = getNumber(limits, "DialTimeoutMs", programSettings.connectTimeoutMs);
    programSettings.maxOpenRequests = getInt(limits, "MaxOpen", programSettings.maxOpenRequests);
    settings.hosts = getInt(json, "Siblings", 1);
    settings.self = getInt(json, "SelfIndex", 0);
    settings.zone = getInt(json, "Az", 0);
    settings.tickMs = getNumber(json, "GranularityMs", 1);
    settings.nodeListOnRequest = getString(json, "Discovery", "pushed") == "on_request";
    return programSettings;
}

}  // namespace limedrum
