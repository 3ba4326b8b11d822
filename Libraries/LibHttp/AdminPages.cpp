/// @file Implementation of the administrative pages.

#include "LibHttp/AdminPages.h"

namespace Http {

void answerAdminRequest(const Telemetry::AdminServer &pages, ServerConnection &connection, const ServerRequest &request)
{
    const std::string path = pathOf(request.m_target);
    const std::string query = request.m_target.size() > path.size() ? request.m_target.substr(path.size() + 1) : "";
    Telemetry::AdminAnswer answer = pages.answer(Telemetry::AdminRequest{request.m_method, path, query, request.m_body.bytes()});
    connection.answer(answer.m_status, {HeaderField{"Content-Type", answer.m_contentType}}, std::move(answer.m_body));
}

}
