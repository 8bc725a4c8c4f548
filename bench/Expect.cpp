// Prints the text that a correct pipeline of stand-in engines generates for a prompt, computed locally and without any engine.

#include "Computation.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(model, "tutor", "model");
DEFINE_int32(layers, 12, "number of layers of the model");
DEFINE_string(prompt, "", "prompt");
DEFINE_int32(tokens, 12, "number of tokens to generate");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto tokens = standin::expectedTokens(FLAGS_model, static_cast<std::uint32_t>(FLAGS_layers), FLAGS_prompt, static_cast<std::uint32_t>(FLAGS_tokens));
    for (const std::string &token : tokens) {
        std::cout << token;
    }
    std::cout << "\n";
    return 0;
}
