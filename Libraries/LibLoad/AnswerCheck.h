/// @file Checks that an answer is whole and belongs to its request: decision logic without sockets.
#pragma once

#include "LibLoad/Request.h"

#include <map>
#include <mutex>
#include <string>

namespace Load {

/// Follows the lines of one generated answer.
class AnswerCheck
{
public:
    explicit AnswerCheck(const Request &request)
        : m_request(request)
    {
    }

    /// Takes the next line. Returns false once nothing more is to be read.
    bool onLine(const std::string &line);
    /// The connection has ended. Fills in outcome, code, detail, digest and tokens.
    void finish(Observation &observation) const;

    std::uint64_t tokens() const
    {
        return m_tokens;
    }

private:
    void fail(Outcome outcome, std::string code, std::string detail);
    void onToken(const std::string &token);
    void onEnd(std::uint64_t tokens, const std::string &digest);

    const Request &m_request;
    bool m_hasHead = false;
    bool m_hasEnd = false;
    std::uint64_t m_tokens = 0;
    std::string m_version;
    std::string m_digest;
    std::string m_weights; ///< Second part of every token so far.
    Outcome m_failure = Outcome::Ok; ///< Anything but Ok ends the check.
    std::string m_code;
    std::string m_detail;
};

/// Checks the answer of a plain service, which echoes the body that it was sent.
void checkServiceAnswer(const Request &request, const std::string &body, Observation &observation);

/// Outcome and code of an answer that is an error.
void readErrorAnswer(int status, const std::string &body, Observation &observation);

/// Outcome that a caller draws from an error code.
Outcome outcomeFromErrorCode(const std::string &code);

/// Remembers which weights made the answers of each version: two kinds of weights under one digest mean a mixed version. Thread-safe.
class VersionConsistencyChecker
{
public:
    /// False if the digest was seen with other weights before.
    bool recordAndCheck(const std::string &digest, const std::string &weights);

private:
    std::mutex m_mutex;
    std::map<std::string, std::string> m_weightsByDigest;
};

}
