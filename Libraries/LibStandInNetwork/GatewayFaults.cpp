/// @file Parses and formats the network stand-in's fault switches.

#include "LibStandInNetwork/GatewayFaults.h"

#include "LibJson/Json.h"

#include <Poco/JSON/Array.h>

namespace StandIn {

namespace {

Core::Result<Poco::JSON::Array::Ptr> listOf(const Poco::JSON::Object &object, const std::string &field)
{
    const Poco::JSON::Array::Ptr list = object.getArray(field);
    if (!list) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read JSON", "", field + ": expected a list");
    }
    return list;
}

Core::Result<std::vector<LinkSelector>> selectorsOf(const Poco::JSON::Object &object, const std::string &field)
{
    const Poco::JSON::Array::Ptr list = BOOST_OUTCOME_TRYX(listOf(object, field));
    std::vector<LinkSelector> selectors;
    for (std::size_t index = 0; index < list->size(); ++index) {
        const Poco::JSON::Object::Ptr item = list->getObject(static_cast<unsigned int>(index));
        if (!item) {
            return Core::makeError(Core::ErrorCode::InvalidInput, "read JSON", "", field + ": expected objects with from and to");
        }
        BOOST_OUTCOME_TRYV(Json::refuseUnknownFields(*item, {"from", "to"}));
        const std::string from = BOOST_OUTCOME_TRYX(Json::textOf(*item, "from"));
        const std::string to = BOOST_OUTCOME_TRYX(Json::textOf(*item, "to"));
        selectors.push_back(LinkSelector{from, to});
    }
    return selectors;
}

Core::Result<std::vector<std::string>> textsOf(const Poco::JSON::Object &object, const std::string &field)
{
    const Poco::JSON::Array::Ptr list = BOOST_OUTCOME_TRYX(listOf(object, field));
    std::vector<std::string> texts;
    for (const Poco::Dynamic::Var &item : *list) {
        if (!item.isString()) {
            return Core::makeError(Core::ErrorCode::InvalidInput, "read JSON", "", field + ": expected texts");
        }
        texts.push_back(item.convert<std::string>());
    }
    return texts;
}

Poco::JSON::Array showSelectors(const std::vector<LinkSelector> &selectors)
{
    Poco::JSON::Array list;
    for (const LinkSelector &selector : selectors) {
        Poco::JSON::Object object;
        object.set("from", selector.m_from);
        object.set("to", selector.m_to);
        list.add(object);
    }
    return list;
}

}

Core::Result<GatewayFaults> changeGatewayFaults(GatewayFaults faults, const Poco::JSON::Object &object)
{
    BOOST_OUTCOME_TRYV(Json::refuseUnknownFields(object, {"cut", "silent", "freeze", "corrupt_percent"}));
    if (object.has("cut")) {
        faults.m_cut = BOOST_OUTCOME_TRYX(selectorsOf(object, "cut"));
    }
    if (object.has("silent")) {
        faults.m_silent = BOOST_OUTCOME_TRYX(selectorsOf(object, "silent"));
    }
    if (object.has("freeze")) {
        faults.m_freeze = BOOST_OUTCOME_TRYX(textsOf(object, "freeze"));
    }
    if (object.has("corrupt_percent")) {
        faults.m_corruptPercent = BOOST_OUTCOME_TRYX(Json::numberOf(object, "corrupt_percent"));
    }
    return faults;
}

std::string showGatewayFaults(const GatewayFaults &faults)
{
    Poco::JSON::Array freeze;
    for (const std::string &host : faults.m_freeze) {
        freeze.add(host);
    }
    Poco::JSON::Object object;
    object.set("cut", showSelectors(faults.m_cut));
    object.set("silent", showSelectors(faults.m_silent));
    object.set("freeze", freeze);
    object.set("corrupt_percent", faults.m_corruptPercent);
    return Json::toLine(object);
}

}
