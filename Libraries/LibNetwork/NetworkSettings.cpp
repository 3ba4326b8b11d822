/// @file Reading of the "network" section.

#include "LibNetwork/NetworkSettings.h"

#include <Poco/Net/IPAddress.h>

namespace Network {

NetworkSettings readNetworkSettings(Settings::Reader &reader)
{
    NetworkSettings settings;
    settings.m_bindHost = reader.text("bind", "");
    Poco::Net::IPAddress ignored;
    if (!settings.m_bindHost.empty() && !Poco::Net::IPAddress::tryParse(settings.m_bindHost, ignored)) {
        reader.addProblem("bind", "expected an IP number");
    }
    if (reader.has("gateway")) {
        settings.m_gateway = reader.address("gateway");
    }
    return settings;
}

}
