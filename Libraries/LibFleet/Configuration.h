/// @file The accepted configuration as used for requests: routes, services, limits and client accounts.
#pragma once

#include "LibCore/Address.h"
#include "LibFleet/OptionalList.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Fleet {

/// How often a request of a route may run.
enum class RequestKind {
    Idempotent = 0, ///< May run any number of times.
    NonIdempotent = 1, ///< Runs at most once.
    Stream = 2, ///< Answered by a stream of events; runs at most once unless it is resumable.
};

/// One service of a route, with its share of the route's requests.
struct ServiceShare
{
    std::string m_service;
    double m_weight = 1; ///< Relative to the other shares of the route.

    bool operator==(const ServiceShare &) const = default;

    MSGPACK_DEFINE_ARRAY(m_service, m_weight);
};

/// Services, objectives and limits of the requests for a host and a path prefix.
struct Route
{
    std::string m_name;
    std::string m_host; ///< Lower case, without a port.
    std::string m_pathPrefix; ///< Begins and ends with a slash.
    RequestKind m_kind = RequestKind::NonIdempotent;
    std::vector<ServiceShare> m_services; ///< Never empty.
    std::uint32_t m_timeoutMilliseconds = 0; ///< Longest time until the end of the answer.
    std::uint32_t m_goalMilliseconds = 0; ///< Latency objective: to the end of the answer, or to the first event of a stream.
    std::uint32_t m_gapGoalMilliseconds = 0; ///< Objective for the longest pause between events; 0 for routes without streams.
    std::uint32_t m_priority = 0; ///< 0 is the most urgent.
    std::uint32_t m_maximumAttempts = 1; ///< Maximum number of endpoints that one request is sent to.
    bool m_isPublic = false; ///< Callers need no key.
    bool m_isSticky = false; ///< Requests state which parts their prompts consist of.
    bool m_isResumable = false; ///< Another endpoint can continue a stream after a given event.
    OptionalList<std::string> m_homeRegions; ///< Regions whose endpoints may serve its requests, none if the list is empty; absent if all may.

    bool operator==(const Route &) const = default;

    /// Returns whether a request may be sent again although an earlier attempt may have run.
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
                         m_isResumable,
                         m_homeRegions);
};

/// Speed and size of the engines of a model service, as stated by the operators.
struct EngineModel
{
    std::uint32_t m_slots = 0; ///< Requests that are decoded at once; 0 if the service has no engines.
    double m_stepMilliseconds = 0; ///< Time of a step, which yields one token for each running request, without the terms below.
    double m_stepMillisecondsPerRequest = 0; ///< Added to a step for each running request.
    double m_stepMillisecondsPerThousandContext = 0; ///< Added to a step for each request and 1,000 tokens of its context.
    double m_promptTokensPerSecond = 0; ///< Rate at which prompts are read.
    double m_millisecondsPerMillionPairs = 0; ///< Added to the time for reading a prompt of n tokens for each million of its n * n / 2 pairs of tokens.
    std::uint32_t m_usualPromptTokens = 0;
    std::uint32_t m_usualAnswerTokens = 0;
    std::uint32_t m_layers = 0;
    std::uint32_t m_chunkCount = 0; ///< Number of chunks of one version of the weights.
    std::uint32_t m_chunkBytes = 0;
    double m_warmSeconds = 0; ///< Time for loading the complete model.
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

/// A set of endpoints that answer the same requests, or the origin of the weights.
struct Service
{
    std::string m_name;
    std::uint32_t m_maximumConnections = 0; ///< Connections that one endpoint accepts in total; 0 if not stated.
    std::optional<Core::Address> m_origin; ///< Set for the origin of weights, which serves no callers.
    std::string m_originFailureDomain; ///< Failure domain of the origin; empty otherwise.
    double m_originLinkMegabits = 0; ///< Bandwidth of the origin's link; 0 otherwise.
    EngineModel m_engine;
    /// Always false, and part of the encoding: agents that can still abort running requests for a load do so only if it is true.
    bool m_mayAbortRequests = false;
    /// Priority of the most urgent routes to it if they differ, so that its requests are served by rank; empty if all are alike. Derived by deriveRanks().
    std::optional<std::uint32_t> m_mostUrgentRank;
    bool m_hasLongObjectives = false; ///< The longest latency objective of the routes to it is at least twice the shortest. Derived by deriveObjectives().
    std::uint32_t m_shortestGoalMilliseconds = 0; ///< Of the routes to it that have one; 0 if none has. Derived by deriveObjectives().
    double m_coldSeconds = 0; ///< For this time after its start an endpoint is cold.
    double m_coldRequestsPerSecond = 0; ///< Requests per second that a cold endpoint takes from all entries together; 0 if it takes any number.

    bool operator==(const Service &) const = default;

    MSGPACK_DEFINE_ARRAY(m_name,
                         m_maximumConnections,
                         m_origin,
                         m_originFailureDomain,
                         m_originLinkMegabits,
                         m_engine,
                         m_mayAbortRequests,
                         m_mostUrgentRank,
                         m_hasLongObjectives,
                         m_shortestGoalMilliseconds,
                         m_coldSeconds,
                         m_coldRequestsPerSecond);
};

/// Limits on the requests and connections of callers.
struct CallerLimits
{
    std::uint32_t m_maximumHeaderBytes = 16384;
    std::uint32_t m_maximumBodyBytes = 1 << 20;
    std::uint32_t m_headerTimeoutMilliseconds = 3000; ///< For the complete head of a request.
    std::uint32_t m_idleTimeoutMilliseconds = 15000; ///< Between two requests on a connection.

    bool operator==(const CallerLimits &) const = default;

    MSGPACK_DEFINE_ARRAY(m_maximumHeaderBytes, m_maximumBodyBytes, m_headerTimeoutMilliseconds, m_idleTimeoutMilliseconds);
};

struct ClientAccount
{
    std::string m_name;
    std::vector<std::string> m_keys;
    std::optional<std::uint32_t> m_priority; ///< 0 is the most urgent; overrides the priority of routes.
    /// Regions whose endpoints may serve its requests, none if the list is empty; absent if all may. Binds together with the route's.
    OptionalList<std::string> m_homeRegions;

    bool operator==(const ClientAccount &) const = default;

    MSGPACK_DEFINE_ARRAY(m_name, m_keys, m_priority, m_homeRegions);
};

/// Host and path prefix of a route that cannot be read.
struct UnreadableRoute
{
    std::string m_host; ///< As in Route.
    std::string m_pathPrefix;

    bool operator==(const UnreadableRoute &) const = default;

    MSGPACK_DEFINE_ARRAY(m_host, m_pathPrefix);
};

/// One complete accepted configuration. Versions increase, not necessarily by one.
struct Configuration
{
    std::uint64_t m_version = 0;
    std::vector<Route> m_routes;
    std::vector<Service> m_services;
    CallerLimits m_limits;
    std::vector<ClientAccount> m_accounts;
    std::uint32_t m_skippedItems = 0; ///< Elements of the declaration's lists that could not be read and are left out.
    /// Callers need the key of an account, except on public routes; also if there are no accounts. False only if the declaration has no list of accounts.
    bool m_needsKeys = true;
    std::vector<UnreadableRoute> m_unreadableRoutes; ///< Their requests must not be served by routes with shorter prefixes.

    bool operator==(const Configuration &) const = default;

    MSGPACK_DEFINE_ARRAY(m_version, m_routes, m_services, m_limits, m_accounts, m_skippedItems, m_needsKeys, m_unreadableRoutes);
};

/// Derives from the routes to each service whether its requests differ in rank.
void deriveRanks(Configuration &configuration);

/// A route's latency objective leaves room for waiting if it is at least this many times the shortest one of the routes to the same service.
inline constexpr std::uint32_t LongObjectiveRatio = 2;

/// Derives from the routes to each service how their latency objectives differ.
void deriveObjectives(Configuration &configuration);

/// Index of one configuration, of which it holds a copy.
class ConfigurationIndex
{
public:
    explicit ConfigurationIndex(Configuration configuration);

    const Configuration &configuration() const
    {
        return m_configuration;
    }

    /// Returns the route of the host with the longest prefix of @p path; null if there is none, or if it cannot be read.
    const Route *route(const std::string &host, const std::string &path) const;
    /// Returns the account that holds the key; null if there is none.
    const ClientAccount *accountOfKey(const std::string &key) const;
    /// Returns the service of the name; null if there is none.
    const Service *service(const std::string &name) const;
    /// Returns the first service that is an origin of weights; null if there is none.
    const Service *origin() const;

private:
    const Configuration m_configuration;
    struct Prefix
    {
        std::string m_path;
        const Route *m_route = nullptr; ///< Null if the route cannot be read.
    };

    std::map<std::string, std::vector<Prefix>> m_prefixesByHost; ///< Longest first.
    std::map<std::string, const ClientAccount *> m_accountsByKey;
    std::map<std::string, const Service *> m_servicesByName;
};

}

MSGPACK_ADD_ENUM(Fleet::RequestKind);
