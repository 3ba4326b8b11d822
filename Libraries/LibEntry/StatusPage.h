/// @file Status page of an entry: the state that each member has applied, and the progress of each deployment.
#pragma once

#include "LibControl/StateFeed.h"
#include "LibControl/StateStore.h"
#include "LibProtocol/Report.h"

#include <Poco/JSON/Object.h>
#include <map>
#include <string>

namespace Entry {

/// Input of the status page.
struct StatusInput
{
    Protocol::Member m_self;
    const Control::ControlState *m_state = nullptr;
    std::vector<Protocol::Member> m_members;
    std::map<std::string, Control::SubscriberStatus> m_applied; ///< As reported by the subscribers of this entry, by instance.
    std::map<std::string, Protocol::AgentReport> m_reports; ///< Newest reports of the agents that this entry watches, by instance.
};

/// {"entry","applied","members":[...],"services":[{"service","plan","deployments":[...]}],"transfers":[...]}
Poco::JSON::Object::Ptr makeStatusPage(const StatusInput &input);

}
