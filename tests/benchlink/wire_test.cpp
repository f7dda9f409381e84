#include "wire.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace limedrum::benchlink {
namespace {

std::string born(int instance, const std::string& extra = "") {
    return R"({"verb":"Born","I":)" + std::to_string(instance) +
           R"(,"RngSeed":5,"Info":{"Classes":[{"AimMs":100.0,"DeadlineMs":1000.0,"Idempotency":"retryable"}])" +
           extra + R"(}},{"verb":"Members","I":)" + std::to_string(instance) +
           R"(,"Kind":"restored","Index":1,"Hosts":[{"Server":9,"Area":0,"Kind":0,"Group":0,)"
           R"("Availability":"SERVING","Share":1,"BootTimeMs":null}]})";
}
std::string submit(int instance, const std::string& id) {
    return R"({"verb":"Submit","I":)" + std::to_string(instance) + R"(,"Corr":")" + id +
           R"(","Service":0,"PolicyNo":0,"Chunk":"00","ExpiresMs":1000,"Volume":"aa","Units":1,"SlotNo":0,)"
           R"("SetSize":1,"Retry":false,"IsWrite":false})";
}
std::string batch(int round, const std::string& inbox) {
    return R"({"ClockMs":10.5,"round":)" + std::to_string(round) + R"(,"inbox":[)" + inbox + "]}";
}
std::string complaint(const std::string& line) {
    BenchSession link;
    try {
        (void)link.handleBatch(line);
    } catch (const WireError& error) {
        return error.what();
    }
    return "accepted";
}

TEST(Wire, ARequestGoesOutAndItsAnswerComesBack) {
    BenchSession link;
    auto reply = nlohmann::json::parse(link.handleBatch(batch(3, born(2) + "," + submit(2, "r-1"))));
    EXPECT_EQ(reply["round"], 3);
    int places = 0;
    for (const auto& decision : reply["decisions"]) {
        EXPECT_EQ(decision["I"], 2);
        if (decision["verb"] != "Place") continue;
        ++places;
        EXPECT_EQ(decision["Corr"], "r-1");
        EXPECT_EQ(decision["Server"], 9);
    }
    EXPECT_EQ(places, 1);
    const auto after = nlohmann::json::parse(link.handleBatch(batch(
        4,
        R"({"verb":"Reply","I":2,"Corr":"r-1","Shot":0,"Server":9,"Verdict":"done","CostTimeMs":1.5,"Last":true})")));
    for (const auto& decision : after["decisions"]) EXPECT_EQ(decision["verb"], "Timer");
}

TEST(Wire, EmptyBatchesUnknownFieldsAndUnknownSettingsAreAccepted) {
    BenchSession link;
    EXPECT_EQ(nlohmann::json::parse(link.handleBatch(batch(1, ""))),
              nlohmann::json::parse(R"({"round":1,"decisions":[]})"));
    EXPECT_NO_THROW((void)link.handleBatch(batch(2, born(0, R"(,"Whatever":{"x":1},"Limits":null)"))));
}

TEST(Wire, MalformedInputIsNamed) {
    EXPECT_EQ(complaint("no json"), "line 1: batch: not JSON");
    EXPECT_EQ(complaint("[]"), "line 1: batch: not an object");
    EXPECT_EQ(complaint(R"({"round":1,"ClockMs":"x","inbox":[]})"), "batch 1: ClockMs: not a number");
    EXPECT_EQ(complaint(batch(4, R"({"verb":"Sing","I":0})")), "batch 4: verb: unknown verb 'Sing'");
    EXPECT_EQ(complaint(batch(4, R"({"verb":"Reminder","I":0})")), "batch 4: KeyBack: missing");
    EXPECT_EQ(complaint(batch(4, R"({"verb":"Reminder","I":0,"KeyBack":"a"})")),
              "batch 4: KeyBack: not a whole number");
    EXPECT_EQ(complaint(batch(5, R"({"verb":"Members","I":0,"Kind":"odd","Hosts":[]})")),
              "batch 5: Kind: unknown word 'odd'");
    EXPECT_EQ(complaint(batch(5, R"({"verb":"Born","I":0,"RngSeed":1,"Info":{}})")),
              "batch 5: Classes: missing");
}

TEST(Wire, ARefusedSettingBecomesAnInternalError) {
    BenchSession link;
    const auto reply = nlohmann::json::parse(link.handleBatch(
        batch(1, R"({"verb":"Born","I":0,"RngSeed":1,"Info":{"Classes":[{"AimMs":1,"DeadlineMs":0}]}})")));
    ASSERT_EQ(reply["decisions"].size(), 1U);
    EXPECT_EQ(reply["decisions"][0]["verb"], "InternalError");
}

TEST(Wire, InstancesAreApartHoweverTheyAreSpread) {
    BenchSession together;
    const auto both = nlohmann::json::parse(together.handleBatch(
        batch(1, born(0) + "," + born(1) + "," + submit(0, "r-0") + "," + submit(1, "r-1"))));
    nlohmann::json apart = nlohmann::json::array();
    for (const int instance : {0, 1}) {
        BenchSession link;
        const auto reply = nlohmann::json::parse(link.handleBatch(
            batch(1, born(instance) + "," + submit(instance, "r-" + std::to_string(instance)))));
        for (const auto& decision : reply["decisions"]) apart.push_back(decision);
    }
    EXPECT_EQ(both["decisions"], apart);
}

TEST(Wire, ACrashForgetsTheInstanceAlsoWithinABatch) {
    BenchSession link;
    const auto reply = nlohmann::json::parse(
        link.handleBatch(batch(1, born(0) + "," + submit(0, "r-1") + R"(,{"verb":"CrashNow","I":0})")));
    EXPECT_TRUE(reply["decisions"].empty());
}

}  // namespace
}  // namespace limedrum::benchlink
