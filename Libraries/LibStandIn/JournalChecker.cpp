/// @file Implementation of the journal checks.

#include "LibStandIn/JournalChecker.h"

#include "LibJson/Json.h"
#include "LibStandIn/Tokens.h"

#include <Poco/JSON/Array.h>
#include <map>

namespace StandIn {

namespace {

using EffectsByKey = std::map<std::string, std::vector<std::string>>;

/// Counts the runs of one question (an account and its prompt) over all engines.
struct QuestionRuns
{
    std::uint64_t m_runs = 0;
    std::uint64_t m_completed = 0;
    std::string m_engine; ///< One of the engines that ran it.
};

Core::Error corruptError(const std::string &name, const std::string &detail)
{
    return Core::makeError(Core::ErrorCode::Corrupt, "read journal", name, detail);
}

Core::Result<Poco::JSON::Array::Ptr> listOf(const Poco::JSON::Object &object, const std::string &field, const std::string &name)
{
    const Poco::JSON::Array::Ptr list = object.getArray(field);
    if (!list) {
        return corruptError(name, field + ": expected a list");
    }
    return list;
}

Core::Result<Poco::JSON::Object::Ptr> itemOf(const Poco::JSON::Array &list, std::size_t index, const std::string &name)
{
    const Poco::JSON::Object::Ptr item = list.getObject(static_cast<unsigned int>(index));
    if (!item) {
        return corruptError(name, "item " + std::to_string(index) + " is no object");
    }
    return item;
}

Core::Result<bool> isComplete(const Poco::JSON::Object &object)
{
    return BOOST_OUTCOME_TRYX(Json::numberOf(object, "dropped")) == 0;
}

Core::Result<EngineRun> parseRun(const Poco::JSON::Object &item)
{
    EngineRun run;
    run.m_request = BOOST_OUTCOME_TRYX(Json::textOf(item, "request"));
    run.m_account = BOOST_OUTCOME_TRYX(Json::textOf(item, "account"));
    run.m_question = BOOST_OUTCOME_TRYX(Json::textOf(item, "question"));
    run.m_digest = BOOST_OUTCOME_TRYX(Json::textOf(item, "digest"));
    run.m_tokens = static_cast<std::uint64_t>(BOOST_OUTCOME_TRYX(Json::numberOf(item, "tokens")));
    run.m_completed = BOOST_OUTCOME_TRYX(Json::flagOf(item, "completed"));
    return run;
}

Core::Result<ServiceEffect> parseEffect(const Poco::JSON::Object &item)
{
    ServiceEffect effect;
    effect.m_effect = static_cast<std::uint64_t>(BOOST_OUTCOME_TRYX(Json::numberOf(item, "effect")));
    effect.m_key = BOOST_OUTCOME_TRYX(Json::textOf(item, "key"));
    effect.m_attempt = BOOST_OUTCOME_TRYX(Json::textOf(item, "attempt"));
    effect.m_account = BOOST_OUTCOME_TRYX(Json::textOf(item, "account"));
    effect.m_path = BOOST_OUTCOME_TRYX(Json::textOf(item, "path"));
    return effect;
}

EffectsByKey effectsByKey(const std::vector<ServiceJournal> &services)
{
    EffectsByKey effects;
    for (const ServiceJournal &service : services) {
        for (const ServiceEffect &effect : service.m_effects) {
            if (!effect.m_key.empty()) {
                effects[effect.m_key].push_back(service.m_name + " effect " + std::to_string(effect.m_effect) + " attempt " + effect.m_attempt);
            }
        }
    }
    return effects;
}

std::map<std::string, QuestionRuns> runsByQuestion(const std::vector<EngineJournal> &engines)
{
    std::map<std::string, QuestionRuns> questions;
    for (const EngineJournal &engine : engines) {
        for (const EngineRun &run : engine.m_runs) {
            QuestionRuns &question = questions[run.m_question];
            ++question.m_runs;
            question.m_completed += run.m_completed ? 1 : 0;
            question.m_engine = engine.m_name;
        }
    }
    return questions;
}

template <typename Journal>
bool areComplete(const std::vector<Journal> &journals)
{
    return std::all_of(journals.begin(), journals.end(), [](const Journal &journal) { return journal.m_isComplete; });
}

void checkKeyedCall(const CallerRecord &record, const EffectsByKey &effects, bool complete, std::vector<Violation> &violations)
{
    const EffectsByKey::const_iterator found = effects.find(record.m_key);
    const bool hadEffect = found != effects.end();
    if (record.m_outcome == "not-run" && hadEffect) {
        violations.push_back(Violation{"not run is true", "key " + record.m_key + " was told not-run and had " + found->second.front()});
    }
    if (record.m_outcome == "ok" && !hadEffect && complete) {
        violations.push_back(Violation{"an answer has run", "key " + record.m_key + " was answered and had no effect anywhere"});
    }
}

void checkGeneration(const CallerRecord &record, const std::map<std::string, QuestionRuns> &questions, bool complete, std::vector<Violation> &violations)
{
    const std::map<std::string, QuestionRuns>::const_iterator found = questions.find(record.m_question);
    const bool ran = found != questions.end();
    if (record.m_outcome == "not-run" && ran && record.m_brokenTries == 0) {
        violations.push_back(Violation{"not run is true", "question " + record.m_question + " was told not-run and ran at " + found->second.m_engine});
    }
    const bool completed = ran && found->second.m_completed > 0;
    if (record.m_outcome == "ok" && !completed && complete) {
        violations.push_back(Violation{"an answer has run", "question " + record.m_question + " was answered and was completed nowhere"});
    }
}

}

Core::Result<EngineJournal> parseEngineJournal(const std::string &name, const std::string &json)
{
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(Json::parseObject(json));
    const Poco::JSON::Array::Ptr list = BOOST_OUTCOME_TRYX(listOf(*object, "ran", name));
    EngineJournal journal{name, BOOST_OUTCOME_TRYX(isComplete(*object)), {}};
    for (std::size_t index = 0; index < list->size(); ++index) {
        const Poco::JSON::Object::Ptr item = BOOST_OUTCOME_TRYX(itemOf(*list, index, name));
        journal.m_runs.push_back(BOOST_OUTCOME_TRYX(parseRun(*item)));
    }
    return journal;
}

Core::Result<ServiceJournal> parseServiceJournal(const std::string &name, const std::string &json)
{
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(Json::parseObject(json));
    const Poco::JSON::Array::Ptr list = BOOST_OUTCOME_TRYX(listOf(*object, "effects", name));
    ServiceJournal journal{name, BOOST_OUTCOME_TRYX(isComplete(*object)), {}};
    for (std::size_t index = 0; index < list->size(); ++index) {
        const Poco::JSON::Object::Ptr item = BOOST_OUTCOME_TRYX(itemOf(*list, index, name));
        journal.m_effects.push_back(BOOST_OUTCOME_TRYX(parseEffect(*item)));
    }
    return journal;
}

Core::Result<CallerRecord> parseCallerRecord(const std::string &line)
{
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(Json::parseObject(line));
    const Poco::JSON::Object::Ptr observed = object->getObject("observed");
    if (!observed) {
        return corruptError("trace", "the line has nothing observed");
    }
    CallerRecord record;
    record.m_isCall = BOOST_OUTCOME_TRYX(Json::textOf(*object, "kind")) == "call";
    record.m_isKeyed = record.m_isCall && BOOST_OUTCOME_TRYX(Json::flagOf(*object, "keyed"));
    const std::string account = BOOST_OUTCOME_TRYX(Json::textOf(*object, "account"));
    const std::string prompt = BOOST_OUTCOME_TRYX(Json::textOf(*object, "prompt"));
    record.m_question = questionName(account, prompt);
    record.m_outcome = BOOST_OUTCOME_TRYX(Json::textOf(*object, "expect"));
    record.m_key = BOOST_OUTCOME_TRYX(Json::textOf(*observed, "key"));
    record.m_digest = BOOST_OUTCOME_TRYX(Json::textOf(*observed, "digest"));
    record.m_brokenTries = static_cast<std::uint64_t>(BOOST_OUTCOME_TRYX(Json::numberOf(*observed, "broken_tries")));
    return record;
}

std::vector<Violation> checkCompleteWeights(const std::vector<EngineJournal> &engines, const std::set<std::string> &knownDigests)
{
    std::vector<Violation> violations;
    for (const EngineJournal &engine : engines) {
        for (const EngineRun &run : engine.m_runs) {
            if (!knownDigests.contains(run.m_digest)) {
                violations.push_back(Violation{"whole weights only", engine.m_name + " ran " + run.m_request + " on unknown weights " + run.m_digest});
            }
        }
    }
    return violations;
}

std::vector<Violation> checkAttemptsRanOnce(const std::vector<EngineJournal> &engines)
{
    std::vector<Violation> violations;
    std::map<std::string, std::string> firstEngine;
    for (const EngineJournal &engine : engines) {
        for (const EngineRun &run : engine.m_runs) {
            const std::pair<std::map<std::string, std::string>::const_iterator, bool> added = firstEngine.emplace(run.m_request, engine.m_name);
            if (!added.second) {
                violations.push_back(Violation{"an attempt runs once", run.m_request + " ran at " + added.first->second + " and at " + engine.m_name});
            }
        }
    }
    return violations;
}

std::vector<Violation> checkKeysHadOneEffect(const std::vector<ServiceJournal> &services)
{
    std::vector<Violation> violations;
    for (const std::pair<const std::string, std::vector<std::string>> &entry : effectsByKey(services)) {
        if (entry.second.size() > 1) {
            violations.push_back(Violation{"at most once", "key " + entry.first + " had " + entry.second[0] + " and " + entry.second[1]});
        }
    }
    return violations;
}

std::vector<Violation> checkReportedOutcomes(const RunEvidence &evidence)
{
    std::vector<Violation> violations;
    const EffectsByKey effects = effectsByKey(evidence.m_services);
    const std::map<std::string, QuestionRuns> questions = runsByQuestion(evidence.m_engines);
    const bool servicesComplete = areComplete(evidence.m_services);
    const bool enginesComplete = areComplete(evidence.m_engines);
    for (const CallerRecord &record : evidence.m_callers) {
        if (record.m_outcome == "wrong") {
            violations.push_back(Violation{"each gets the whole answer to its own request", "question " + record.m_question});
        }
        if (record.m_isKeyed) {
            checkKeyedCall(record, effects, servicesComplete, violations);
        } else if (!record.m_isCall) {
            checkGeneration(record, questions, enginesComplete, violations);
        }
    }
    return violations;
}

std::vector<Violation> checkRun(const RunEvidence &evidence, const std::set<std::string> &knownWeights)
{
    std::vector<Violation> violations = checkCompleteWeights(evidence.m_engines, knownWeights);
    for (const std::vector<Violation> &more :
         {checkAttemptsRanOnce(evidence.m_engines), checkKeysHadOneEffect(evidence.m_services), checkReportedOutcomes(evidence)}) {
        violations.insert(violations.end(), more.begin(), more.end());
    }
    return violations;
}

}
