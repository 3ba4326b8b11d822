/// @file The status page of an entry: what every member has in force, and how far each deployment has come.
#pragma once

#include "LibControl/StateFeed.h"
#include "LibControl/StateStore.h"
#include "LibProtocol/Report.h"

#include <Poco/JSON/Object.h>
#include <map>
#include <string>

namespace Entry {

/// What the page is made from.
struct StatusInput
{
    Protocol::Member m_self;
    const Control::ControlState *m_state = nullptr;
    std::vector<Protocol::Member> m_members;
    std::map<std::string, Control::SubscriberStatus> m_applied; ///< As told by subscribers of this entry.
    std::map<std::string, Protocol::AgentReport> m_reports; ///< Of the agents that this entry watches.
};

/// {"entry","applied","members":[...],"services":[{"service","plan","deployments":[...]}],"transfers":[...]}
Poco::JSON::Object::Ptr makeStatusPage(const StatusInput &situation);

}
