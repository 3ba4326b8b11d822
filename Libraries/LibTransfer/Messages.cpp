/// @file Encodes and decodes bitmaps of held chunks.

#include "LibTransfer/Messages.h"

namespace Transfer {

namespace {

constexpr std::size_t BitsPerByte = 8;

}

std::string encodeBitmap(const std::vector<bool> &held)
{
    std::string bitmap((held.size() + BitsPerByte - 1) / BitsPerByte, '\0');
    for (std::size_t index = 0; index < held.size(); ++index) {
        if (held[index]) {
            bitmap[index / BitsPerByte] |= static_cast<char>(1U << (index % BitsPerByte));
        }
    }
    return bitmap;
}

std::vector<bool> decodeBitmap(const std::string &bitmap, std::size_t count)
{
    std::vector<bool> held(count, false);
    for (std::size_t index = 0; index < count && index / BitsPerByte < bitmap.size(); ++index) {
        held[index] = ((static_cast<unsigned char>(bitmap[index / BitsPerByte]) >> (index % BitsPerByte)) & 1U) != 0;
    }
    return held;
}

}
