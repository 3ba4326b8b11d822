/// @file The body of a request, held once however many parts of the process refer to it.
#pragma once

#include "LibCore/ByteBudget.h"

#include <memory>
#include <string>

namespace Http {

/// An immutable body. Copies share its bytes, and the last one to be destroyed frees them and gives back what was reserved for them.
class Body
{
public:
    Body() = default;
    Body(std::string bytes); // NOLINT(google-explicit-constructor): callers assign texts.
    Body(const char *text); // NOLINT(google-explicit-constructor): as above.
    Body(std::string bytes, Core::ByteReservation reservation);

    const std::string &bytes() const;
    std::size_t size() const
    {
        return bytes().size();
    }
    bool isEmpty() const
    {
        return bytes().empty();
    }

    bool operator==(const Body &other) const
    {
        return bytes() == other.bytes();
    }

private:
    struct Held
    {
        std::string m_bytes;
        Core::ByteReservation m_reservation;
    };

    std::shared_ptr<const Held> m_held; ///< Null if the body is empty and nothing is reserved.
};

}
