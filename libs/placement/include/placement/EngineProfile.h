#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Which endpoint holds which layers of a model, and which of them a request passes through. Pure computation, without I/O or clocks.
namespace placement {

/// One kind of accelerator.
struct AcceleratorKind {
    std::string name;
    /// Memory for layers and requests, in megabytes.
    double memoryMb = 0;
    /// How much longer a decoding step takes than on the reference accelerator.
    double stepFactor = 1;
    /// How much longer reading a prompt takes than on the reference accelerator.
    double prefillFactor = 1;
};

/// How the engines of one model behave; times hold for the whole model on the reference accelerator.
struct EngineProfile {
    std::uint32_t layers = 0;
    double layerMb = 0;
    /// Bytes that one token of context takes over all layers.
    double kvTokenBytes = 0;
    double stepMs = 0;
    double stepMsPerSequence = 0;
    double stepMsPerThousandTokens = 0;
    double prefillTokensPerMs = 1;
    /// For each million pairs of a prompt token and an earlier one.
    double prefillMsPerMillionPairs = 0;
    std::uint32_t stepsPerPass = 1;
    /// Bytes that go from stage to stage for each token.
    double activationBytes = 0;
    /// Link of one endpoint, and the pipe between two availability zones.
    double linkMbps = 0;
    double zoneLinkMbps = 0;
    double zoneDelayMs = 0;
    /// Time to load the whole model; a range takes its share.
    double loadSeconds = 0;
    std::uint32_t maxConcurrentLoads = 1;
    double reportLagMs = 0;
    double typicalPromptTokens = 1;
    double typicalAnswerTokens = 1;
    /// Requests that one endpoint takes as the first stage.
    std::uint32_t slots = 1;
    std::vector<AcceleratorKind> kinds;
};

/// Layers [first, end).
struct LayerRange {
    std::uint32_t first = 0;
    std::uint32_t end = 0;

    std::uint32_t size() const
    {
        return end - first;
    }

    bool empty() const
    {
        return end <= first;
    }

    friend bool operator==(const LayerRange &, const LayerRange &) = default;
};

/// Index of the kind of that name; the number of kinds if there is none.
std::uint32_t kindIndex(const EngineProfile &profile, const std::string &name);

/// Tokens of context that fit beside so many layers; 0 if the layers alone don't fit.
double kvTokens(const EngineProfile &profile, const AcceleratorKind &kind, std::uint32_t layers);

/// One decoding step over a share of the layers, in ms, for a batch of sequences with so many tokens of context in all.
double stepMs(const EngineProfile &profile, const AcceleratorKind &kind, std::uint32_t layers, double sequences, double contextTokens);

/// Reading a prompt through a share of the layers, in ms.
double prefillMs(const EngineProfile &profile, const AcceleratorKind &kind, std::uint32_t layers, double promptTokens);

/// Sending the activations of so many tokens to the next stage, in ms.
double transferMs(const EngineProfile &profile, double tokens, bool otherZone);

} // namespace placement
