/// @file First implementation: one duty draws every chunk from the origin.

#include "LibTransfer/TransferManager.h"

#include "LibTransfer/OriginClient.h"

#include <condition_variable>
#include <map>
#include <set>

namespace Transfer {

class TransferManager::Implementation
{
public:
    explicit Implementation(TransferParts parts)
        : m_parts(std::move(parts))
        , m_origin(m_parts.m_network, m_parts.m_origin, m_parts.m_settings.m_originTimeout)
        , m_badChunks(m_parts.m_metrics->counter("transfer_chunks_bad_total"))
    {
    }

    void start()
    {
        m_running = true;
        m_thread = std::thread([this] { run(); });
    }

    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_running = false;
        }
        m_changed.notify_all();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    void setTargets(std::vector<Control::Deployment> wanted)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_wanted = std::move(wanted);
        }
        m_changed.notify_all();
    }

    std::shared_ptr<const Weights::HeldVersion> held(const std::string &digest) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::map<std::string, std::shared_ptr<const Weights::HeldVersion>>::const_iterator it = m_held.find(digest);
        return it == m_held.end() ? nullptr : it->second;
    }

    std::vector<std::string> heldDigests() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<std::string> digests;
        for (const std::pair<const std::string, std::shared_ptr<const Weights::HeldVersion>> &entry : m_held) {
            digests.push_back(entry.first);
        }
        return digests;
    }

    void release(const std::string &digest)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!isWanted(digest)) {
            m_held.erase(digest);
        }
    }

    std::vector<Protocol::TransferProgress> progress() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<Protocol::TransferProgress> all;
        for (const std::pair<const std::string, std::shared_ptr<const Weights::HeldVersion>> &entry : m_held) {
            all.push_back(Protocol::TransferProgress{entry.first, entry.second->m_manifest.chunkCount(), entry.second->m_manifest.chunkCount()});
        }
        if (!m_current.m_digest.empty()) {
            all.push_back(m_current);
        }
        return all;
    }

    std::function<void(const std::string &)> m_onComplete;

private:
    bool isWanted(const std::string &digest) const
    {
        return std::any_of(m_wanted.begin(), m_wanted.end(), [&digest](const Control::Deployment &wanted) { return wanted.m_digest == digest; });
    }

    std::optional<Control::Deployment> nextTarget() const
    {
        for (const Control::Deployment &deployment : m_wanted) {
            if (!m_held.contains(deployment.m_digest)) {
                return deployment;
            }
        }
        return std::nullopt;
    }

    void run()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        while (m_running) {
            const std::optional<Control::Deployment> target = nextTarget();
            if (!target) {
                m_changed.wait_for(lock, std::chrono::seconds(1));
                continue;
            }
            lock.unlock();
            const Core::Result<void> fetched = fetch(*target);
            lock.lock();
            m_current = {};
            if (!fetched) {
                LOG(WARNING) << fetched.error();
                m_changed.wait_for(lock, std::chrono::milliseconds(500));
            }
        }
    }

    Core::Result<void> fetch(const Control::Deployment &target)
    {
        const std::string encoded = BOOST_OUTCOME_TRYX(m_origin.readManifest(target.m_model, target.m_version));
        const Weights::Manifest manifest = BOOST_OUTCOME_TRYX(Weights::verifyManifest(encoded, target.m_digest, m_parts.m_origin.toString()));
        std::vector<Weights::ChunkBytes> chunks;
        for (Weights::ChunkIndex chunk = 0; chunk < manifest.chunkCount(); ++chunk) {
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                if (!m_running || !isWanted(target.m_digest)) {
                    return Core::success();
                }
                m_current = Protocol::TransferProgress{target.m_digest, chunk, manifest.chunkCount()};
            }
            std::string bytes =
                BOOST_OUTCOME_TRYX(m_origin.readRange(target.m_model, target.m_version, manifest.chunkOffset(chunk), manifest.chunkLength(chunk)));
            if (!Weights::isChunk(manifest, chunk, bytes)) {
                m_badChunks.add();
                return Core::makeError(Core::ErrorCode::Corrupt, "verify chunk", m_parts.m_origin.toString(), "chunk " + std::to_string(chunk));
            }
            chunks.push_back(std::make_shared<const std::string>(std::move(bytes)));
        }
        const std::shared_ptr<const Weights::HeldVersion> version = BOOST_OUTCOME_TRYX(Weights::assembleVersion(target.m_digest, manifest, std::move(chunks)));
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_held[target.m_digest] = version;
        }
        if (m_onComplete) {
            m_onComplete(target.m_digest);
        }
        return Core::success();
    }

    const TransferParts m_parts;
    OriginClient m_origin;
    Telemetry::Counter &m_badChunks;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_running = false;
    std::vector<Control::Deployment> m_wanted;
    std::map<std::string, std::shared_ptr<const Weights::HeldVersion>> m_held;
    Protocol::TransferProgress m_current;
    std::thread m_thread;
};

TransferManager::TransferManager(TransferParts parts)
    : m_implementation(std::make_unique<Implementation>(std::move(parts)))
{
}

TransferManager::~TransferManager()
{
    stop();
}

void TransferManager::start()
{
    m_implementation->start();
}

void TransferManager::stop()
{
    m_implementation->stop();
}

void TransferManager::setTargets(std::vector<Control::Deployment> wanted)
{
    m_implementation->setTargets(std::move(wanted));
}

std::shared_ptr<const Weights::HeldVersion> TransferManager::held(const std::string &manifestDigest) const
{
    return m_implementation->held(manifestDigest);
}

std::vector<std::string> TransferManager::heldDigests() const
{
    return m_implementation->heldDigests();
}

void TransferManager::release(const std::string &manifestDigest)
{
    m_implementation->release(manifestDigest);
}

std::vector<Protocol::TransferProgress> TransferManager::progress() const
{
    return m_implementation->progress();
}

void TransferManager::onComplete(std::function<void(const std::string &manifestDigest)> callback)
{
    m_implementation->m_onComplete = std::move(callback);
}

void TransferManager::noteLiveBytes(std::uint64_t)
{
    // FIXME: Give way to live traffic; there is no pacing yet.
}

Poco::JSON::Object::Ptr TransferManager::dump() const
{
    Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
    for (const Protocol::TransferProgress &transfer : progress()) {
        object->set(transfer.m_digest, std::to_string(transfer.m_chunksHeld) + "/" + std::to_string(transfer.m_chunksTotal));
    }
    return object;
}

}
