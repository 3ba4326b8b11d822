/// @file Implementation of the transfer manager, which delegates to the coordinator.

#include "LibTransfer/TransferManager.h"

#include "LibTransfer/Coordinator.h"

namespace Transfer {

TransferManager::TransferManager(TransferParts parts)
    : m_coordinator(std::make_unique<Coordinator>(std::move(parts)))
{
}

TransferManager::~TransferManager() = default;

void TransferManager::start()
{
    m_coordinator->start();
}

void TransferManager::stop()
{
    m_coordinator->stop();
}

void TransferManager::setTargets(std::vector<Control::Deployment> wanted)
{
    m_coordinator->setTargets(std::move(wanted));
}

std::shared_ptr<const Weights::HeldVersion> TransferManager::heldVersion(const std::string &manifestDigest) const
{
    const PublishedState published = m_coordinator->published();
    const std::map<std::string, std::shared_ptr<const Weights::HeldVersion>>::const_iterator found = published.m_held.find(manifestDigest);
    return found == published.m_held.end() ? nullptr : found->second;
}

void TransferManager::release(const std::string &manifestDigest)
{
    m_coordinator->release(manifestDigest);
}

void TransferManager::setOrigin(const Core::Address &origin, std::uint64_t linkBytesPerSecond)
{
    m_coordinator->setOrigin(origin, linkBytesPerSecond);
}

void TransferManager::setMayDownloadFromOrigin(bool mayDownload)
{
    m_coordinator->setMayDownloadFromOrigin(mayDownload);
}

void TransferManager::offerManifest(const std::string &manifestDigest, std::string encoded)
{
    m_coordinator->offerManifest(manifestDigest, std::move(encoded));
}

void TransferManager::offerChunk(const std::string &manifestDigest, Weights::ChunkIndex chunk, std::string bytes)
{
    m_coordinator->offerChunk(manifestDigest, chunk, std::move(bytes));
}

std::vector<Protocol::TransferProgress> TransferManager::progress() const
{
    return m_coordinator->published().m_progress;
}

std::vector<KnownVersion> TransferManager::knownVersions() const
{
    return m_coordinator->published().m_known;
}

void TransferManager::onManifestVerified(std::function<void(const std::string &manifestDigest)> callback)
{
    m_coordinator->onManifestVerified(std::move(callback));
}

void TransferManager::onVersionComplete(std::function<void(const std::string &manifestDigest)> callback)
{
    m_coordinator->onVersionComplete(std::move(callback));
}

void TransferManager::recordLiveBytes(std::uint64_t bytes)
{
    m_coordinator->recordLiveBytes(bytes);
}

Poco::JSON::Object::Ptr TransferManager::dump() const
{
    const Poco::JSON::Object::Ptr dump = m_coordinator->published().m_dump;
    return dump ? dump : Poco::JSON::Object::Ptr(new Poco::JSON::Object);
}

}
