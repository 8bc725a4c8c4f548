#include "base/Hash.h"
#include "settings/Parse.h"

#include <CppUTest/TestHarness.h>

namespace {

const std::string Key(64, 'a');

std::vector<settings::Problem> problemsOf(std::vector<settings::SettingsFile> files)
{
    auto parsed = settings::parseRoutingConfig(std::move(files));
    const auto *problems = std::get_if<std::vector<settings::Problem>>(&parsed);
    return problems != nullptr ? *problems : std::vector<settings::Problem>{};
}

} // namespace

TEST_GROUP(AFolderOfSettings){};

TEST(AFolderOfSettings, isMergedInTheOrderOfFileNames)
{
    const auto parsed = settings::parseRoutingConfig({
        {"20-override.yaml", "models: {tutor: {first_token_ms: 900}}"},
        {"10-base.yaml", "models:\n  tutor: {layers: 12, first_token_ms: 2000}\n"},
    });
    const auto &config = std::get<settings::RoutingConfig>(parsed);
    LONGS_EQUAL(12, config.models.at("tutor").layers);
    LONGS_EQUAL(900, config.models.at("tutor").firstTokenMs);
}

TEST(AFolderOfSettings, namesFileLineAndFieldOfEveryProblem)
{
    const auto problems = problemsOf({
        {"10.yaml", "models:\n  tutor:\n    layers: many\n    colour: red\n"},
        {"20.yaml", "teams:\n  red: {key_sha256: abc}\n"},
    });
    LONGS_EQUAL(3, problems.size());
    STRCMP_EQUAL("10.yaml:3: models.tutor.layers: must be a whole number", settings::toString(problems[0]).c_str());
    STRCMP_EQUAL("10.yaml:4: models.tutor.colour: is not a setting", settings::toString(problems[1]).c_str());
    STRCMP_EQUAL("20.yaml:2: teams.red.key_sha256: must be 64 lower-case hexadecimal digits", settings::toString(problems[2]).c_str());
}

TEST(AFolderOfSettings, refusesADuplicateKey)
{
    const auto problems = problemsOf({{"10.yaml", "models:\n  a: {layers: 1}\n  a: {layers: 2}\n"}});
    LONGS_EQUAL(1, problems.size());
    STRCMP_EQUAL("10.yaml:3: models.a: is given twice in one file", settings::toString(problems[0]).c_str());
}

TEST(AFolderOfSettings, refusesTwoServicesUnderOnePrefix)
{
    const auto problems = problemsOf({{"10.yaml", "services:\n  a: {prefix: /x}\n  b: {prefix: /x}\n"}});
    LONGS_EQUAL(1, problems.size());
    LONGS_EQUAL(3, problems[0].line);
}

/// Guards against a limit that is in use and that no setting reaches.
TEST(AFolderOfSettings, setsHowLongBatchCallsWait)
{
    const auto parsed = settings::parseRoutingConfig({{"10.yaml", "limits: {batch_wait_ms: 90000}\n"}});
    const auto *config = std::get_if<settings::RoutingConfig>(&parsed);
    CHECK(config != nullptr);
    LONGS_EQUAL(90000, config->limits.batchWaitMs);
}

TEST(AFolderOfSettings, doesNotCrashOnRandomlyDamagedText)
{
    const std::string good =
        "models:\n  tutor: {layers: 12, policy: predicted}\nteams:\n  red: {key_sha256: " + Key + ", weight: 3}\nlimits: {stall_ms: 500}\n";
    base::Random random(7);
    for (int round = 0; round < 3000; ++round) {
        std::string damaged = good;
        for (int i = 0; i < 3; ++i) {
            damaged[random.nextBelow(damaged.size())] = static_cast<char>(32 + random.nextBelow(95));
        }
        (void)settings::parseRoutingConfig({{"10.yaml", damaged}});
    }
}

TEST_GROUP(ADaemonsSettings){};

TEST(ADaemonsSettings, needAnIdAZoneAndThePlatform)
{
    const auto parsed = settings::parseDaemonSettings({"d.yaml", "listen: 127.0.0.1:1\n"});
    LONGS_EQUAL(3, std::get<std::vector<settings::Problem>>(parsed).size());
}

TEST(ADaemonsSettings, refuseANumberOutOfRange)
{
    const auto parsed = settings::parseDaemonSettings({"d.yaml", "id: a\nzone: z\nplatform: 127.0.0.1:1\ngossip_ms: 1\n"});
    const auto &problems = std::get<std::vector<settings::Problem>>(parsed);
    LONGS_EQUAL(1, problems.size());
    STRCMP_EQUAL("d.yaml:4: gossip_ms: must be in 20..10000", settings::toString(problems[0]).c_str());
}
