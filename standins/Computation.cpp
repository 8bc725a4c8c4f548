#include "Computation.h"

#include "base/Hash.h"

#include <array>
#include <sstream>
#include <string_view>

namespace standin {

namespace {

/// Odd multiplier that spreads a layer's running value over all 64 bits.
constexpr std::uint64_t CacheFactor = 0x9E3779B97F4A7C15ULL;
constexpr std::array<std::string_view, 32> Vocabulary = {"snow",  "block", "cut",   "angle", "dome",  "ramp",  "floor", "vent",  "wall",  "seal", "prize",
                                                         "award", "book",  "pupil", "term",  "house", "sport", "music", "craft", "clear", "firm", "neat",
                                                         "broad", "small", "even",  "cold",  "dry",   "first", "last",  "next",  "keep",  "turn"};

} // namespace

LayerRange::LayerRange(std::uint64_t modelSeed, std::uint32_t firstLayer, std::uint32_t endLayer)
    : modelSeed_(modelSeed)
    , firstLayer_(firstLayer)
    , cache_(endLayer - firstLayer, 0)
{
}

std::uint64_t LayerRange::pass(std::uint64_t activation)
{
    for (std::size_t i = 0; i < cache_.size(); ++i) {
        const std::uint64_t weight = base::mixBits(modelSeed_ + firstLayer_ + i);
        activation = base::mixBits(activation + cache_[i] * CacheFactor + weight);
        cache_[i] = base::mixBits(cache_[i] ^ activation);
    }
    return activation;
}

std::uint64_t modelSeedOf(const std::string &model)
{
    return base::hashOf(model);
}

std::vector<std::string> tokenize(const std::string &prompt)
{
    std::vector<std::string> tokens{"<start>"};
    std::istringstream stream(prompt);
    for (std::string word; stream >> word;) {
        tokens.push_back(" " + word);
    }
    return tokens;
}

std::uint64_t embed(const std::string &token, std::uint64_t position)
{
    return base::mixBits(base::hashOf(token) + position);
}

std::string tokenOf(std::uint64_t activation)
{
    const std::string_view word = Vocabulary[activation % Vocabulary.size()];
    return " " + std::string(word);
}

std::vector<std::string> expectedTokens(const std::string &model, std::uint32_t layers, const std::string &prompt, std::uint32_t count)
{
    LayerRange allLayers(modelSeedOf(model), 0, layers);
    std::uint64_t position = 0;
    std::uint64_t activation = 0;
    for (const std::string &token : tokenize(prompt)) {
        activation = allLayers.pass(embed(token, position++));
    }
    std::vector<std::string> generated;
    while (generated.size() < count) {
        generated.push_back(tokenOf(activation));
        activation = allLayers.pass(embed(generated.back(), position++));
    }
    return generated;
}

} // namespace standin
