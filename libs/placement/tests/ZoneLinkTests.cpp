#include "placement/PipelineChooser.h"

#include <CppUTest/TestHarness.h>

using namespace placement;

/// Two zones with a slow link between them. The holder of the upper half in zone 0 has been lost, so that streams that begin there have to cross the link.
TEST_GROUP(ABusyZoneLink)
{
    EngineProfile profile;
    std::vector<LayerHolder> holders;
    PipelineRequest request;

    void setup() override
    {
        profile.layers = 80;
        profile.layerMb = 1000;
        profile.kvTokenBytes = 80000;
        profile.stepMs = 1;
        profile.prefillTokensPerMs = 100;
        profile.activationBytes = 40000;
        profile.zoneLinkMbps = 10000;
        profile.zoneDelayMs = 1;
        profile.typicalPromptTokens = 500;
        profile.typicalAnswerTokens = 100;
        profile.kinds = {{"gpu", 50000, 1, 1}};
        addHolder(0, {0, 40});
        addHolder(1, {0, 40});
        addHolder(1, {40, 80});
        request.promptTokens = 500;
        request.answerTokens = 100;
    }

    void addHolder(std::uint32_t zone, LayerRange layers)
    {
        LayerHolder holder;
        holder.zone = zone;
        holder.held = layers;
        holders.push_back(holder);
    }
};

TEST(ABusyZoneLink, isAvoidedByAPipelineInAnotherZone)
{
    request.zoneLinkTokens = 20000;
    const Pipeline pipeline = choosePipeline(profile, holders, request);
    LONGS_EQUAL(2, pipeline.stages.size());
    LONGS_EQUAL(1, pipeline.stages.front().holder);
    DOUBLES_EQUAL(0, pipeline.waitMs, 0.01);
}

/// 20,000 prompt tokens of 40,000 bytes each take 640 ms on the link.
TEST(ABusyZoneLink, isPredictedAsAWaitWhereItMustBeCrossed)
{
    holders[1].usable = false;
    DOUBLES_EQUAL(0, choosePipeline(profile, holders, request).waitMs, 0.01);
    request.zoneLinkTokens = 20000;
    const Pipeline pipeline = choosePipeline(profile, holders, request);
    DOUBLES_EQUAL(640, pipeline.waitMs, 1);
    CHECK(pipeline.firstTokenMs > 640);
}

/// The prompts of requests that wait for nobody are in the backlog of each stage until their first token.
TEST_GROUP(TheBacklogOfAStage)
{
    EngineProfile profile;
    std::vector<LayerHolder> holders;
    PipelineRequest request;

    void setup() override
    {
        profile.layers = 80;
        profile.layerMb = 100;
        profile.kvTokenBytes = 8000;
        profile.stepMs = 1;
        profile.prefillTokensPerMs = 100;
        profile.typicalPromptTokens = 1000;
        profile.kinds = {{"gpu", 50000, 1, 1}};
        for (std::uint32_t first = 0; first < profile.layers; first += 20) {
            LayerHolder holder;
            holder.held = {first, first + 20};
            holders.push_back(holder);
        }
        request.promptTokens = 1000;
        request.answerTokens = 100;
    }

    double waitWithBacklog(double tokens)
    {
        for (LayerHolder &holder : holders) {
            holder.pendingPrefillTokens = tokens;
        }
        return choosePipeline(profile, holders, request).waitMs;
    }
};

TEST(TheBacklogOfAStage, isNoWaitWhileTheStageIsNotSaturated)
{
    // A prompt takes 10 ms through all four stages, and a stage can serve four in that time.
    DOUBLES_EQUAL(0, waitWithBacklog(4000), 0.01);
}

TEST(TheBacklogOfAStage, isAWaitBeyondWhatIsInProgress)
{
    DOUBLES_EQUAL(90, waitWithBacklog(40000), 0.01);
}
