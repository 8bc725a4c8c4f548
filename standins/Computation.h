#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// The stand-in model: a deterministic computation in which every token depends on each layer having processed each earlier position exactly once.
namespace standin {

/// A range of the model's layers with their state for one request. Each layer keeps one running value in place of a KV cache.
class LayerRange
{
public:
    /// Creates the layers [firstLayer, endLayer) as they are before the first position.
    LayerRange(std::uint64_t modelSeed, std::uint32_t firstLayer, std::uint32_t endLayer);

    /// Passes the activation of the next position through all layers of the range, updates their state and returns the resulting activation.
    std::uint64_t pass(std::uint64_t activation);

private:
    std::uint64_t modelSeed_;
    std::uint32_t firstLayer_;
    std::vector<std::uint64_t> cache_;
};

/// The seed from which the weights of a model's layers are derived.
std::uint64_t modelSeedOf(const std::string &model);

/// Splits a prompt into tokens: a start token, then one for each word, with a leading space.
std::vector<std::string> tokenize(const std::string &prompt);

/// The activation of a token before the first layer.
std::uint64_t embed(const std::string &token, std::uint64_t position);

/// The token that the activation after the last layer selects, with a leading space.
std::string tokenOf(std::uint64_t activation);

/// The first `count` tokens with which a correct pipeline answers the prompt, computed in one process for comparison.
std::vector<std::string> expectedTokens(const std::string &model, std::uint32_t layers, const std::string &prompt, std::uint32_t count);

} // namespace standin
