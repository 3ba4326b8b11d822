/// @file The value types of the control state: templates that operators publish, and plans that the system makes.
#pragma once

#include "LibProtocol/Member.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Control {

/// Offset of a record in the control stream. Offsets order all changes, and serve as revisions and fencing numbers; 0 means none.
using Offset = std::uint64_t;

enum class ServiceKind {
    Model = 0, ///< Endpoints are model engines, which hold weights.
    Plain = 1, ///< Endpoints are plain services.
};

enum class BurstPolicy {
    OriginBytes = 0, ///< Download about one copy from the origin, even if the last replica serves a little later.
    Time = 1, ///< Use up to the origin budget to serve sooner.
};

/// Parameters of one client account in a template.
struct AccountParameters
{
    std::string m_account;
    std::string m_model;
    std::string m_version; ///< Name of the version at the weight store.
    std::string m_digest; ///< Manifest digest that the name resolved to when it was published; this digest is deployed.
    std::uint32_t m_replicas = 1;
    std::vector<std::string> m_failureDomains; ///< Where replicas may run; empty allows all failure domains.
    std::uint32_t m_weight = 1; ///< Share of the service under contention, relative to other accounts.

    bool operator==(const AccountParameters &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("account", m_account),
                       MSGPACK_NVP("model", m_model),
                       MSGPACK_NVP("version", m_version),
                       MSGPACK_NVP("digest", m_digest),
                       MSGPACK_NVP("replicas", m_replicas),
                       MSGPACK_NVP("failure_domains", m_failureDomains),
                       MSGPACK_NVP("weight", m_weight));
};

/// A template: the configuration of a service with the parameters of its client accounts, published as one unit.
struct Template
{
    std::string m_name;
    std::string m_service;
    ServiceKind m_kind = ServiceKind::Model;
    BurstPolicy m_policy = BurstPolicy::OriginBytes;
    double m_originCopies = 1; ///< Budget of origin bytes for one burst, in copies of the weights.
    std::vector<AccountParameters> m_accounts;

    bool operator==(const Template &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("name", m_name),
                       MSGPACK_NVP("service", m_service),
                       MSGPACK_NVP("kind", m_kind),
                       MSGPACK_NVP("policy", m_policy),
                       MSGPACK_NVP("origin_copies", m_originCopies),
                       MSGPACK_NVP("accounts", m_accounts));
};

/// Number of earlier versions kept for each account. It leaves room for versions that were superseded before they served.
inline constexpr std::size_t MaximumEarlierVersions = 3;

/**
 * A version that an account's parameters named before.
 *
 * During a rollout the earlier version serves until enough replicas of the new one do. An entry that has just been
 * replaced, or that has received no request of the account, knows the earlier version only from here. Without it, the entry
 * would refuse the account's requests during the rollout.
 */
struct EarlierVersion
{
    std::string m_account;
    std::string m_version;
    std::string m_digest;

    bool operator==(const EarlierVersion &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("account", m_account), MSGPACK_NVP("version", m_version), MSGPACK_NVP("digest", m_digest));
};

/// A template in force.
struct AcceptedTemplate
{
    Template m_template;
    Offset m_revision = 0; ///< Offset of the record that put it in force.
    std::string m_operator; ///< Operator who published it.
    std::vector<EarlierVersion> m_earlier; ///< Newest first for each account, without the version in force.

    bool operator==(const AcceptedTemplate &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("template", m_template),
                       MSGPACK_NVP("revision", m_revision),
                       MSGPACK_NVP("operator", m_operator),
                       MSGPACK_NVP("earlier", m_earlier));
};

/// An instance that is planned to hold a version.
struct PlannedReplica
{
    std::string m_instance;
    std::string m_region;
    std::string m_failureDomain;
    Core::Address m_wire; ///< Address of the instance's agent.

    bool operator==(const PlannedReplica &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("instance", m_instance),
                       MSGPACK_NVP("region", m_region),
                       MSGPACK_NVP("failure_domain", m_failureDomain),
                       MSGPACK_NVP("wire", m_wire));
};

/// One version of one model, and every instance that is planned to hold it.
struct Deployment
{
    std::string m_model;
    std::string m_version;
    std::string m_digest;
    BurstPolicy m_policy = BurstPolicy::OriginBytes;
    double m_originCopies = 1;
    std::vector<PlannedReplica> m_replicas; ///< Sorted by instance.

    bool operator==(const Deployment &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("model", m_model),
                       MSGPACK_NVP("version", m_version),
                       MSGPACK_NVP("digest", m_digest),
                       MSGPACK_NVP("policy", m_policy),
                       MSGPACK_NVP("origin_copies", m_originCopies),
                       MSGPACK_NVP("replicas", m_replicas));
};

/// Which instances of a service hold which versions. Plans are agreed through the log; a plan's offset is the fencing number of
/// every order that follows from it.
struct Plan
{
    std::string m_service;
    Offset m_offset = 0; ///< Offset of the record that put it in force.
    Offset m_basedOnConfiguration = 0; ///< Newest revision among the service's templates when it was made.
    std::vector<Deployment> m_deployments; ///< Sorted by digest; each digest once.

    bool operator==(const Plan &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("service", m_service),
                       MSGPACK_NVP("offset", m_offset),
                       MSGPACK_NVP("based_on", m_basedOnConfiguration),
                       MSGPACK_NVP("deployments", m_deployments));
};

}

MSGPACK_ADD_ENUM(Control::ServiceKind);
MSGPACK_ADD_ENUM(Control::BurstPolicy);
