/// @file The operators' accepted configuration as the request path uses it: routes, services, limits and client accounts.
#pragma once

#include "LibCore/Address.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Fleet {

/// What a route's requests may do more than once.
enum class RequestKind {
    Idempotent = 0, ///< May run any number of times.
    NonIdempotent = 1, ///< Runs once at most.
    Stream = 2, ///< Answered by a series of events; runs once at most unless it may be resumed.
};

/// One service of a route, with its share of the route's requests.
struct ServiceShare
{
    std::string m_service;
    double m_weight = 1; ///< Relative to the other shares of the route.

    bool operator==(const ServiceShare &) const = default;

    MSGPACK_DEFINE_ARRAY(m_service, m_weight);
};

/// Where the requests for a host and a prefix of the path go, and what they are promised.
struct Route
{
    std::string m_name;
    std::string m_host; ///< Lower case, without a port.
    std::string m_pathPrefix; ///< Begins and ends with a slash.
    RequestKind m_kind = RequestKind::NonIdempotent;
    std::vector<ServiceShare> m_services; ///< Never empty.
    std::uint32_t m_timeoutMilliseconds = 0; ///< Longest time that a caller is kept waiting for the end of the answer.
    std::uint32_t m_goalMilliseconds = 0; ///< Latency objective: to the end of the answer, or to the first event of a stream.
    std::uint32_t m_gapGoalMilliseconds = 0; ///< Longest pause between events that is still on time; 0 for routes without streams.
    std::uint32_t m_priority = 0; ///< 0 is the most urgent.
    std::uint32_t m_maximumAttempts = 1; ///< Endpoints that one request may be sent to.
    bool m_isPublic = false; ///< Callers need no key.
    bool m_isSticky = false; ///< Requests name the parts of their prompts.
    bool m_isResumable = false; ///< Another endpoint can go on with a stream after a given event.

    bool operator==(const Route &) const = default;

    /// Whether a request may be sent again although an earlier attempt may have run.
    bool isRepeatable() const
    {
        return m_kind == RequestKind::Idempotent || (m_kind == RequestKind::Stream && m_isResumable);
    }

    MSGPACK_DEFINE_ARRAY(m_name,
                         m_host,
                         m_pathPrefix,
                         m_kind,
                         m_services,
                         m_timeoutMilliseconds,
                         m_goalMilliseconds,
                         m_gapGoalMilliseconds,
                         m_priority,
                         m_maximumAttempts,
                         m_isPublic,
                         m_isSticky,
                         m_isResumable);
};

/// How fast the engines of a model service work, as the operators state it.
struct EngineModel
{
    std::uint32_t m_slots = 0; ///< Requests that are decoded at once; 0 if the service has no engines.
    double m_stepMilliseconds = 0; ///< One token for every running request, without the terms below.
    double m_stepMillisecondsPerRequest = 0; ///< Added to a step for each running request.
    double m_stepMillisecondsPerThousandContext = 0; ///< Added to a step for each request and 1,000 tokens of its context.
    double m_promptTokensPerSecond = 0; ///< Rate at which prompts are read.
    double m_millisecondsPerMillionPairs = 0; ///< Added for pairs of a prompt's tokens, in millions.
    std::uint32_t m_usualPromptTokens = 0;
    std::uint32_t m_usualAnswerTokens = 0;
    std::uint32_t m_layers = 0;
    std::uint32_t m_chunkCount = 0; ///< Chunks of one version of the weights.
    std::uint32_t m_chunkBytes = 0;
    double m_warmSeconds = 0; ///< Time that loading the whole model takes.
    std::vector<std::string> m_models;

    bool operator==(const EngineModel &) const = default;

    MSGPACK_DEFINE_ARRAY(m_slots,
                         m_stepMilliseconds,
                         m_stepMillisecondsPerRequest,
                         m_stepMillisecondsPerThousandContext,
                         m_promptTokensPerSecond,
                         m_millisecondsPerMillionPairs,
                         m_usualPromptTokens,
                         m_usualAnswerTokens,
                         m_layers,
                         m_chunkCount,
                         m_chunkBytes,
                         m_warmSeconds,
                         m_models);
};

/// A set of endpoints that answer the same requests, or the origin of weights.
struct Service
{
    std::string m_name;
    std::uint32_t m_maximumConnections = 0; ///< That one endpoint accepts from all callers together; 0 if not stated.
    std::optional<Core::Address> m_origin; ///< Set for the origin of weights, which serves no callers.
    std::string m_originFailureDomain; ///< Where the origin stands; empty otherwise.
    double m_originLinkMegabits = 0; ///< Rate of the origin's link; 0 otherwise.
    EngineModel m_engine;
    bool m_mayMoveRequests = false; ///< Every route to it allows that another endpoint goes on with a request; derived by noteMovableRequests().

    bool operator==(const Service &) const = default;

    MSGPACK_DEFINE_ARRAY(m_name, m_maximumConnections, m_origin, m_originFailureDomain, m_originLinkMegabits, m_engine, m_mayMoveRequests);
};

/// Bounds on what a caller may send.
struct CallerLimits
{
    std::uint32_t m_maximumHeaderBytes = 16384;
    std::uint32_t m_maximumBodyBytes = 1 << 20;
    std::uint32_t m_headerTimeoutMilliseconds = 3000; ///< For the whole head of a request.
    std::uint32_t m_idleTimeoutMilliseconds = 15000; ///< Between requests of a connection.

    bool operator==(const CallerLimits &) const = default;

    MSGPACK_DEFINE_ARRAY(m_maximumHeaderBytes, m_maximumBodyBytes, m_headerTimeoutMilliseconds, m_idleTimeoutMilliseconds);
};

struct ClientAccount
{
    std::string m_name;
    std::vector<std::string> m_keys;
    std::optional<std::uint32_t> m_priority; ///< 0 is the most urgent; goes before the priority of routes.

    bool operator==(const ClientAccount &) const = default;

    MSGPACK_DEFINE_ARRAY(m_name, m_keys, m_priority);
};

/// One accepted configuration, whole. Versions only rise, in uneven steps.
struct Configuration
{
    std::uint64_t m_version = 0;
    std::vector<Route> m_routes;
    std::vector<Service> m_services;
    CallerLimits m_limits;
    std::vector<ClientAccount> m_accounts; ///< Empty if callers need no keys.

    bool operator==(const Configuration &) const = default;

    MSGPACK_DEFINE_ARRAY(m_version, m_routes, m_services, m_limits, m_accounts);
};

/// Derives for each service whether its requests may move to another endpoint in the middle, from the routes that lead to it.
void deriveMovableRequests(Configuration &configuration);

/// Look-ups over one configuration; holds what it was built from.
class ConfigurationIndex
{
public:
    explicit ConfigurationIndex(Configuration configuration);

    const Configuration &configuration() const
    {
        return m_configuration;
    }

    /// The route of the host whose prefix is the longest that begins @p path; null if there is none.
    const Route *route(const std::string &host, const std::string &path) const;
    /// The account that holds the key; null if nobody does.
    const ClientAccount *accountOfKey(const std::string &key) const;
    const Service *service(const std::string &name) const;
    /// The first service that is an origin of weights; null if there is none.
    const Service *origin() const;

private:
    const Configuration m_configuration;
    std::map<std::string, std::vector<const Route *>> m_routesByHost; ///< Longest prefix first.
    std::map<std::string, const ClientAccount *> m_accountsByKey;
    std::map<std::string, const Service *> m_servicesByName;
};

}

MSGPACK_ADD_ENUM(Fleet::RequestKind);
