/// @file How the receiver of a message knows where its body ends.
#pragma once

#include <string_view>

namespace Http {

/**
 * Only a length and a last chunk show that a body is complete. A body that ends with its connection looks the same whether its sender finished it or
 * stopped.
 */
enum class BodyEnd {
    NoBody, ///< The message has none, because of its status or of the request's method.
    Length, ///< The head states the length.
    LastChunk, ///< The body is chunked.
    Close, ///< The connection closes.
};

/// Returns the name in logs and metrics.
constexpr std::string_view bodyEndName(BodyEnd end)
{
    switch (end) {
    case BodyEnd::NoBody:
        return "no_body";
    case BodyEnd::Length:
        return "length";
    case BodyEnd::LastChunk:
        return "last_chunk";
    case BodyEnd::Close:
        return "close";
    }
    return "unknown";
}

}
