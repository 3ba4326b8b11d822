/// @file Order, bounds and end of the pool that runs live calls.

#include "LibEndpoint/PriorityPool.h"

#include <catch2/catch.hpp>
#include <future>
#include <vector>

namespace {

/// A pool of one thread whose first job holds it until the gate opens.
struct HeldPool
{
    std::promise<void> m_started;
    std::promise<void> m_gate;
    std::shared_future<void> m_opened = m_gate.get_future().share();
    std::vector<int> m_ran; ///< Written by the pool's only thread.
    Endpoint::PriorityPool<int> m_pool;

    explicit HeldPool(std::size_t queue)
        : m_pool(Endpoint::PoolLimits{1, queue, Core::Duration(1000)}, [this](int job) { run(job); })
    {
        REQUIRE(m_pool.tryPush(0, 0));
        m_started.get_future().wait();
    }

    void run(int job)
    {
        if (job == 0) {
            m_started.set_value();
            m_opened.wait();
        }
        m_ran.push_back(job);
    }

    void finish()
    {
        m_gate.set_value();
        while (m_pool.queued() > 0 || m_pool.running() > 0) {
            std::this_thread::yield();
        }
    }
};

}

TEST_CASE("larger priorities go first, equal ones in the order of arrival")
{
    HeldPool held(8);
    REQUIRE(held.m_pool.tryPush(1, 0));
    REQUIRE(held.m_pool.tryPush(2, 5));
    REQUIRE(held.m_pool.tryPush(3, 0));
    REQUIRE(held.m_pool.tryPush(4, 5));
    held.finish();
    REQUIRE(held.m_ran == std::vector<int>{0, 2, 4, 1, 3});
}

TEST_CASE("a full queue refuses at once, and so does a stopped pool")
{
    HeldPool held(1);
    REQUIRE(held.m_pool.tryPush(1, 0));
    REQUIRE_FALSE(held.m_pool.tryPush(2, 9));
    held.finish();
    held.m_pool.stop();
    REQUIRE_FALSE(held.m_pool.tryPush(3, 0));
}
