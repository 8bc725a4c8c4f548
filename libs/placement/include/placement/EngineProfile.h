#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Decides which endpoint holds which layers of a model, and which endpoints a request passes through. Pure computation, without I/O or clocks.
namespace placement {

/// A kind of accelerator, with its speed relative to the reference accelerator.
struct AcceleratorKind {
    /// Name under which endpoints list their accelerator.
    std::string name;
    /// Memory for layers and for the context of requests, in megabytes of 1e6 bytes.
    double memoryMb = 0;
    /// Duration of a decoding step as a multiple of that on the reference accelerator.
    double stepFactor = 1;
    /// Duration of the prefill as a multiple of that on the reference accelerator.
    double prefillFactor = 1;
};

/// Performance model of the engines that serve one model. Step, prefill and load times are those of all layers on the reference accelerator.
struct EngineProfile {
    /// Number of layers of the model.
    std::uint32_t layers = 0;
    /// Memory of one layer, in megabytes.
    double layerMb = 0;
    /// Size of the key-value cache of one token of context in all layers, in bytes.
    double kvTokenBytes = 0;
    /// Fixed part of the duration of a decoding step. Each sequence of the batch adds `stepMsPerSequence`, and each thousand tokens of context of all
    /// sequences add `stepMsPerThousandTokens`.
    double stepMs = 0;
    double stepMsPerSequence = 0;
    double stepMsPerThousandTokens = 0;
    /// Prefill speed without the time for attention.
    double prefillTokensPerMs = 1;
    /// Attention time of the prefill for each million pairs of a prompt token and an earlier one.
    double prefillMsPerMillionPairs = 0;
    /// Decoding steps in one pass of an engine that has requests in decoding. An event of a stream holds the tokens of one pass.
    std::uint32_t stepsPerPass = 1;
    /// Prompt tokens that an engine reads beside one decoding step at most, so that a long prefill doesn't hold up the requests in decoding; 0 means any
    /// number.
    std::uint32_t prefillTokensPerStep = 0;
    /// Size of the activations that a stage sends to the next one for each token, in bytes.
    double activationBytes = 0;
    /// Bandwidth of the link of one endpoint, and of the link between two availability zones; 0 means that transfers over that link take no time.
    double linkMbps = 0;
    double zoneLinkMbps = 0;
    /// Latency between two zones, added to each transfer.
    double zoneDelayMs = 0;
    /// Time to load all layers; a range takes time in proportion to its layers.
    double loadSeconds = 0;
    /// Number of endpoints that can load at the same time at full speed.
    std::uint32_t maxConcurrentLoads = 1;
    /// Lengths of a typical prompt and of a typical answer.
    double typicalPromptTokens = 1;
    double typicalAnswerTokens = 1;
    /// Number of requests that one endpoint takes as the first stage.
    std::uint32_t slots = 1;
    /// Accelerator kinds of the endpoints that serve the model.
    std::vector<AcceleratorKind> kinds;
};

/// The half-open range of layers [first, end).
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

/// Returns the index of a kind in EngineProfile::kinds, or the number of kinds if no kind has that name.
std::uint32_t kindIndex(const EngineProfile &profile, const std::string &name);

/// Returns how many tokens of context fit into the memory that the given number of layers leaves free; 0 if the layers alone don't fit or `layers`
/// is 0.
double kvCapacityTokens(const EngineProfile &profile, const AcceleratorKind &kind, std::uint32_t layers);

/// Predicts the duration of one decoding step over some of the layers, in ms. `contextTokens` is the total over all sequences of the batch.
double stepMs(const EngineProfile &profile, const AcceleratorKind &kind, std::uint32_t layers, double sequences, double contextTokens);

/// Predicts the duration of the prefill over some of the layers, in ms.
double prefillMs(const EngineProfile &profile, const AcceleratorKind &kind, std::uint32_t layers, double promptTokens);

/// Predicts the duration of the prefill on an engine that has other requests in decoding: between two pieces of the prompt it executes a step for them.
/// `sequences` and `contextTokens` are those of the requests in decoding.
double interleavedPrefillMs(
    const EngineProfile &profile, const AcceleratorKind &kind, std::uint32_t layers, double promptTokens, double sequences, double contextTokens);

/// Predicts how long the activations of the given number of tokens take to the next stage, in ms, without EngineProfile::zoneDelayMs.
double transferMs(const EngineProfile &profile, double tokens, bool otherZone);

} // namespace placement
