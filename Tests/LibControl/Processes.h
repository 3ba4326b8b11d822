/// @file Entries and agents in one process, on real connections, with the log in memory.
#pragma once

#include "Examples.h"
#include "LibControl/Checkpointer.h"
#include "LibControl/LogTail.h"
#include "LibControl/PlannerWorker.h"
#include "LibControl/StateFeed.h"
#include "LibControl/StateSubscriber.h"
#include "LibNetwork/Listener.h"
#include "LibStandInLog/LogStore.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <memory>

namespace Examples {

inline Wire::NodeSettings nodeSettings(const Core::Address &listen)
{
    Wire::NodeSettings settings;
    settings.m_listen = listen;
    settings.m_limits.m_heartbeatInterval = Core::Duration(200);
    settings.m_limits.m_silenceTimeout = Core::Duration(700);
    return settings;
}

inline Protocol::Member entry(int number, const Core::Address &wire)
{
    Protocol::Member member;
    member.m_id = "entry-" + std::to_string(number);
    member.m_incarnation = "life-of-" + member.m_id;
    member.m_role = Protocol::Role::Entry;
    member.m_region = "hcm";
    member.m_failureDomain = "hcm-a";
    member.m_wire = wire;
    return member;
}

/// Times short enough for tests.
inline Control::LogTailSettings tailSettings(const std::string &author)
{
    Control::LogTailSettings settings;
    settings.m_author = author;
    settings.m_longPoll = Core::Duration(200);
    settings.m_initialBackoff = Core::Duration(20);
    settings.m_maximumBackoff = Core::Duration(100);
    settings.m_restoreDelay = Core::Duration(500);
    return settings;
}

/// The control components of an entry. @p log may differ from the log of the other entries.
struct EntryProcess
{
    Telemetry::Metrics m_metrics;
    Protocol::Member m_member;
    Wire::Node m_node;
    Control::StateStore m_store;
    Control::StateFeed m_feed;
    Control::LogTail m_tail;
    Control::StateSubscriber m_subscriber;
    Control::PlannerWorker m_planner;
    Control::Checkpointer m_checkpointer;

    EntryProcess(int number, const Core::Address &wire, const std::vector<Core::Address> &seeds, Platform::Log &log)
        : m_member(entry(number, wire))
        , m_node(nodeSettings(wire), m_metrics)
        , m_store(m_metrics)
        , m_feed(m_node, m_store, m_metrics)
        , m_tail(log, m_store, m_metrics, tailSettings(m_member.m_id))
        , m_subscriber(m_node, m_store, m_member, seeds, m_metrics)
        , m_planner(log, m_store, m_member, m_metrics)
        , m_checkpointer(log, m_store, m_member, m_metrics)
    {
        m_store.announce(m_member);
        REQUIRE(m_node.start());
        m_feed.start();
        m_tail.start();
        m_subscriber.start();
        m_planner.start();
        m_checkpointer.start();
    }

    ~EntryProcess()
    {
        m_checkpointer.stop();
        m_planner.stop();
        m_subscriber.stop();
        m_tail.stop();
        m_node.stop();
        m_feed.stop();
    }
};

/// The control components of an agent.
struct AgentProcess
{
    Telemetry::Metrics m_metrics;
    Protocol::Member m_member;
    Wire::Node m_node;
    Control::StateStore m_store;
    Control::StateSubscriber m_subscriber;

    using ChangeCallback = std::function<void(const Control::StateStore &)>;

    /// @p callback, if given, is called after each change of what is in force.
    AgentProcess(int number, const std::vector<Core::Address> &seeds, const ChangeCallback &callback)
        : m_member(agent(number, "hcm-a"))
        , m_node(nodeSettings(Network::freeLoopbackAddress()), m_metrics)
        , m_store(m_metrics)
        , m_subscriber(m_node, m_store, m_member, seeds, m_metrics)
    {
        if (callback) {
            m_store.onChange([this, callback] { callback(m_store); });
        }
        REQUIRE(m_node.start());
        m_subscriber.start();
    }

    ~AgentProcess()
    {
        m_subscriber.stop();
        m_node.stop();
    }
};

inline bool holdsTemplate(const Control::StateStore &store, const std::string &name, char digest)
{
    const std::shared_ptr<const Control::ControlState> state = store.current();
    const std::map<std::string, Control::AcceptedTemplate>::const_iterator found = state->m_templates.find(name);
    return found != state->m_templates.end() && found->second.m_template.m_accounts.front().m_digest == std::string(64, digest);
}

}
