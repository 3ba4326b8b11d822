/// @file Status codes of HTTP that the relay reads or sends.
#pragma once

namespace Relay {

inline constexpr int Ok = 200;
inline constexpr int MultipleChoices = 300; ///< First status that is no success.
inline constexpr int BadRequest = 400;
inline constexpr int Unauthorized = 401;
inline constexpr int NotFound = 404;
inline constexpr int RequestTimeout = 408;
inline constexpr int Misdirected = 421;
inline constexpr int TooManyRequests = 429;
inline constexpr int InternalError = 500;
inline constexpr int BadGateway = 502;
inline constexpr int ServiceUnavailable = 503;
inline constexpr int GatewayTimeout = 504;

}
