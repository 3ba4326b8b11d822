/// @file Implementation of the observation of a running fleet.

#include "LibScenario/FleetView.h"
#include "LibBench/Http.h"
#include "LibBench/Sample.h"
#include "LibPlatform/HttpLog.h"
#include "LibWeights/Manifest.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace Scenario {

namespace {

constexpr const char *AppliedGauge = "oriolerail_control_applied_offset";

bool isServing(const Poco::JSON::Object::Ptr &status, const std::string &digest)
{
    const Poco::JSON::Array::Ptr models = status->getArray("models");
    if (!models) {
        return false;
    }
    for (std::size_t index = 0; index < models->size(); ++index) {
        const Poco::JSON::Object::Ptr model = models->getObject(static_cast<unsigned>(index));
        if (model->optValue<std::string>("digest", "") == digest && model->optValue<std::string>("state", "") == "serving") {
            return true;
        }
    }
    return false;
}

void flatten(const std::string &prefix, const Poco::JSON::Object::Ptr &object, std::map<std::string, double> &counts)
{
    for (Poco::JSON::Object::ConstIterator it = object->begin(); it != object->end(); ++it) {
        const std::string name = prefix.empty() ? it->first : prefix + "." + it->first;
        if (it->second.type() == typeid(Poco::JSON::Object::Ptr)) {
            flatten(name, it->second.extract<Poco::JSON::Object::Ptr>(), counts);
        } else if (it->second.isNumeric()) {
            counts[name] = it->second.convert<double>();
        }
    }
}

/// Parses the last line of the output as a JSON object. Tools may print progress before it. Fails with Corrupt.
Core::Result<Poco::JSON::Object::Ptr> lastObject(const std::string &output)
{
    const std::size_t start = output.rfind("\n{");
    const std::string text = output.starts_with('{') && start == std::string::npos ? output : output.substr(start == std::string::npos ? 0 : start + 1);
    try {
        return Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Corrupt, "read tool output", "", exception.displayText() + ": " + output);
    }
}

}

std::uint64_t originBytesSent(const Bench::Fleet &fleet)
{
    const Core::Result<Poco::JSON::Object::Ptr> journal = fleet.page("origin", "/journal");
    return journal ? journal.value()->optValue<Poco::UInt64>("data_bytes", 0) : 0;
}

Core::Result<std::uint64_t> nextControlOffset(const Bench::Fleet &fleet)
{
    Platform::HttpLog log({}, fleet.layout().m_log);
    const Platform::LogPage page = BOOST_OUTCOME_TRYX(log.read("control", 1, Platform::ReadOptions{1, Core::Duration(0)}));
    return page.m_next;
}

Core::Result<StoredDigests> readStoredDigests(const Bench::Fleet &fleet)
{
    StoredDigests digests;
    for (const Bench::StoredVersion &stored : fleet.topology().m_versions) {
        const std::string path = "/weights/" + stored.m_model + "/" + stored.m_version + "/manifest";
        const std::string encoded = BOOST_OUTCOME_TRYX(Bench::httpGet(fleet.layout().m_origin, path));
        const Weights::Manifest manifest = BOOST_OUTCOME_TRYX(Weights::decodeManifest(encoded, "origin"));
        digests.m_byVersion[stored.m_version] = manifest.m_contentDigest;
    }
    return digests;
}

int servingReplicas(const Bench::Fleet &fleet, const std::string &contentDigest)
{
    int serving = 0;
    for (const Bench::ProcessSpec *engine : fleet.ofKind(Bench::ProcessKind::Engine)) {
        const Core::Result<Poco::JSON::Object::Ptr> status = fleet.page(engine->m_name, "/status");
        if (status && isServing(status.value(), contentDigest)) {
            ++serving;
        }
    }
    return serving;
}

double counterValue(const Bench::Fleet &fleet, const std::string &process, const std::string &name)
{
    const Core::Result<const Bench::ProcessSpec *> spec = fleet.find(process);
    if (!spec) {
        return 0;
    }
    const Core::Result<std::string> text = Bench::httpGet(spec.value()->m_health, "/metrics");
    if (!text) {
        return 0;
    }
    const std::map<std::string, double> metrics = Bench::parseMetrics(text.value());
    const std::map<std::string, double>::const_iterator it = metrics.find(name);
    return it == metrics.end() ? 0 : it->second;
}

bool isInForceEverywhere(const Bench::Fleet &fleet, std::uint64_t revision)
{
    for (const Bench::ProcessKind kind : {Bench::ProcessKind::Entry, Bench::ProcessKind::Agent}) {
        int answered = 0;
        for (const Bench::ProcessSpec *spec : fleet.ofKind(kind)) {
            if (!Bench::httpGet(spec->m_health, "/healthz")) {
                continue;
            }
            ++answered;
            if (counterValue(fleet, spec->m_name, AppliedGauge) < static_cast<double>(revision)) {
                return false;
            }
        }
        if (answered == 0) {
            return false;
        }
    }
    return true;
}

std::int64_t countListedAddresses(const Bench::Fleet &fleet)
{
    std::int64_t maximum = 0;
    for (const Bench::ProcessSpec *entry : fleet.ofKind(Bench::ProcessKind::Entry)) {
        const Core::Result<std::string> body = Bench::httpGet(entry->m_callers, "/v1/addresses");
        if (!body) {
            continue;
        }
        const Core::Result<Poco::JSON::Object::Ptr> answer = lastObject(body.value());
        const Poco::JSON::Array::Ptr addresses = answer ? answer.value()->getArray("addresses") : Poco::JSON::Array::Ptr();
        maximum = std::max(maximum, addresses ? static_cast<std::int64_t>(addresses->size()) : 0);
    }
    return maximum;
}

Core::Result<std::uint64_t> parsePublishedRevision(const std::string &output)
{
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(lastObject(output));
    if (!object->has("revision")) {
        return Core::makeError(Core::ErrorCode::Corrupt, "read publication", "", "no revision in: " + output);
    }
    return object->getValue<Poco::UInt64>("revision");
}

Core::Result<std::map<std::string, double>> parseLoadResult(const std::string &output)
{
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(lastObject(output));
    std::map<std::string, double> counts;
    flatten("", object, counts);
    return counts;
}

std::string describeFleet(const Bench::Fleet &fleet)
{
    std::ostringstream text;
    for (const Bench::ProcessKind kind : {Bench::ProcessKind::Entry, Bench::ProcessKind::Agent, Bench::ProcessKind::Engine}) {
        for (const Bench::ProcessSpec *spec : fleet.ofKind(kind)) {
            const std::string page = kind == Bench::ProcessKind::Engine ? "/status" : "/dump";
            const Core::Result<std::string> body = Bench::httpGet(spec->m_health, page);
            constexpr std::size_t maximumBytes = 1500;
            text << "    " << spec->m_name << ": " << (body ? body.value().substr(0, maximumBytes) : body.error().message()) << "\n";
        }
    }
    return text.str();
}

}
