#pragma once

#include <string>

/// Bytes as text of recorded files.
namespace hex {

inline std::string encode(const std::string &bytes)
{
    constexpr char Digits[] = "0123456789abcdef";
    std::string text;
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += {Digits[value / 16], Digits[value % 16]};
    }
    return text;
}

inline std::string decode(const std::string &text)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
    }
    return bytes;
}

} // namespace hex
