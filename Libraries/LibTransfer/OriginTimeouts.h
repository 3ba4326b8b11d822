/// @file Time limits of calls to the origin.
#pragma once

#include "LibCore/Clock.h"

namespace Transfer {

struct OriginTimeouts
{
    Core::Duration m_connect{500}; ///< For opening a connection.
    Core::Duration m_read{5000}; ///< For a whole head, and for each further kibibyte of a body.
    Core::Duration m_body{60000}; ///< For a whole body, which otherwise may go on for as long as bytes keep coming.

    bool operator==(const OriginTimeouts &) const = default;
};

}
