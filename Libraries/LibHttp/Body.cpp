/// @file Implementation of the shared body.

#include "LibHttp/Body.h"

namespace Http {

Body::Body(std::string bytes)
    : Body(std::move(bytes), Core::ByteReservation())
{
}

Body::Body(const char *text)
    : Body(std::string(text))
{
}

Body::Body(std::string bytes, Core::ByteReservation reservation)
{
    if (!bytes.empty() || reservation.bytes() > 0) {
        m_held = std::make_shared<const Held>(Held{std::move(bytes), std::move(reservation)});
    }
}

const std::string &Body::bytes() const
{
    static const std::string empty;
    return m_held ? m_held->m_bytes : empty;
}

}
