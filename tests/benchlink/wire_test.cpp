// Tests of the bench protocol: decoding of batches, encoding of actions and errors for malformed lines.
#include "wire.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace limedrum::benchlink {
namespace {

std::string bornEvents(int instance, const std::string& extra = "") {
    return R"({"verb":"Born","I":)" + std::to_string(instance) +
           R"(,"RngSeed":5,"Info":{"Classes":[{"AimMs":100.0,"DeadlineMs":1000.0,"Idempotency":"retryable"}])" +
           extra + R"(}},{"verb":"Members","I":)" + std::to_string(instance) +
           R"(,"Kind":"restored","Index":1,"Hosts":[{"Server":9,"Area":0,"Kind":0,"Group":0,)"
           R"("Availability":"SERVING","Share":1,"BootTimeMs":null}]})";
}
std::string submitEvent(int instance, const std::string& id) {
    return R"({"verb":"Submit","I":)" + std::to_string(instance) + R"(,"Corr":")" + id +
           R"(","Service":0,"PolicyNo":0,"Chunk":"00","ExpiresMs":1000,"Volume":"aa","Units":1,"SlotNo":0,)"
           R"("SetSize":1,"Retry":false,"IsWrite":false})";
}
std::string batch(int round, const std::string& inbox) {
    return R"({"ClockMs":10.5,"round":)" + std::to_string(round) + R"(,"inbox":[)" + inbox + "]}";
}
std::string errorMessage(const std::string& line) {
    BenchSession session;
    try {
        (void)session.handleBatch(line);
    } catch (const WireError& error) {
        return error.what();
    }
    return "accepted";
}

TEST(Wire, SendsARequestAndHandlesItsReply) {
    BenchSession session;
    auto reply =
        nlohmann::json::parse(session.handleBatch(batch(3, bornEvents(2) + "," + submitEvent(2, "r-1"))));
    EXPECT_EQ(reply["round"], 3);
    int placeCount = 0;
    for (const auto& decision : reply["decisions"]) {
        EXPECT_EQ(decision["I"], 2);
        if (decision["verb"] != "Place") continue;
        ++placeCount;
        EXPECT_EQ(decision["Corr"], "r-1");
        EXPECT_EQ(decision["Server"], 9);
    }
    EXPECT_EQ(placeCount, 1);
    const auto secondReply = nlohmann::json::parse(session.handleBatch(batch(
        4,
        R"({"verb":"Reply","I":2,"Corr":"r-1","Shot":0,"Server":9,"Verdict":"done","CostTimeMs":1.5,"Last":true})")));
    for (const auto& decision : secondReply["decisions"]) EXPECT_EQ(decision["verb"], "Timer");
}

TEST(Wire, AcceptsEmptyBatchesUnknownFieldsAndUnknownSettings) {
    BenchSession session;
    EXPECT_EQ(nlohmann::json::parse(session.handleBatch(batch(1, ""))),
              nlohmann::json::parse(R"({"round":1,"decisions":[]})"));
    EXPECT_NO_THROW(
        (void)session.handleBatch(batch(2, bornEvents(0, R"(,"Whatever":{"x":1},"Limits":null)"))));
}

TEST(Wire, ErrorsNameBatchAndField) {
    EXPECT_EQ(errorMessage("no json"), "line 1: batch: not JSON");
    EXPECT_EQ(errorMessage("[]"), "line 1: batch: not an object");
    EXPECT_EQ(errorMessage(R"({"round":1,"ClockMs":"x","inbox":[]})"), "batch 1: ClockMs: not a number");
    EXPECT_EQ(errorMessage(batch(4, R"({"verb":"Sing","I":0})")), "batch 4: verb: unknown verb 'Sing'");
    EXPECT_EQ(errorMessage(batch(4, R"({"verb":"Reminder","I":0})")), "batch 4: KeyBack: missing");
    EXPECT_EQ(errorMessage(batch(4, R"({"verb":"Reminder","I":0,"KeyBack":"a"})")),
              "batch 4: KeyBack: not a whole number");
    EXPECT_EQ(errorMessage(batch(5, R"({"verb":"Members","I":0,"Kind":"odd","Hosts":[]})")),
              "batch 5: Kind: unknown word 'odd'");
    EXPECT_EQ(errorMessage(batch(5, R"({"verb":"Born","I":0,"RngSeed":1,"Info":{}})")),
              "batch 5: Classes: missing");
}

TEST(Wire, ReportsInvalidSettingsAsInternalError) {
    BenchSession session;
    const auto reply = nlohmann::json::parse(session.handleBatch(
        batch(1, R"({"verb":"Born","I":0,"RngSeed":1,"Info":{"Classes":[{"AimMs":1,"DeadlineMs":0}]}})")));
    ASSERT_EQ(reply["decisions"].size(), 1U);
    EXPECT_EQ(reply["decisions"][0]["verb"], "InternalError");
}

TEST(Wire, InstancesAreIndependentInOneOrSeveralSessions) {
    BenchSession combinedSession;
    const auto combinedReply = nlohmann::json::parse(combinedSession.handleBatch(batch(
        1, bornEvents(0) + "," + bornEvents(1) + "," + submitEvent(0, "r-0") + "," + submitEvent(1, "r-1"))));
    nlohmann::json separateDecisions = nlohmann::json::array();
    for (const int instance : {0, 1}) {
        BenchSession session;
        const auto reply = nlohmann::json::parse(session.handleBatch(
            batch(1, bornEvents(instance) + "," + submitEvent(instance, "r-" + std::to_string(instance)))));
        for (const auto& decision : reply["decisions"]) separateDecisions.push_back(decision);
    }
    EXPECT_EQ(combinedReply["decisions"], separateDecisions);
}

TEST(Wire, ACrashRemovesTheInstanceAndItsEventsOfTheBatch) {
    BenchSession session;
    const auto reply = nlohmann::json::parse(session.handleBatch(
        batch(1, bornEvents(0) + "," + submitEvent(0, "r-1") + R"(,{"verb":"CrashNow","I":0})")));
    EXPECT_TRUE(reply["decisions"].empty());
}

}  // namespace
}  // namespace limedrum::benchlink
