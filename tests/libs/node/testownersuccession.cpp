#include "memorytopics.h"
#include "nodeinstance.h"

#include <jobtopic/jobkeys.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <chrono>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace Hyssop;
using namespace Hyssop::Testing;
using namespace std::chrono_literals;

namespace {

constexpr const char *LargeShare = "0.5";
constexpr const char *SmallShare = "0.07";

/// Instances that take turns on one thread, each with its own events.
struct InstanceGroup
{
    NodeInstance &add(const std::string &name, const std::string &processorShare)
    {
        instances.push_back(std::make_unique<NodeInstance>(name, processorShare, topics));
        return *instances.back();
    }

    /// Processes the events of all instances for @p time. A slow instance processes what is due once in SlowInterval.
    void run(std::chrono::milliseconds time)
    {
        const auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            for (const auto &instance : instances) {
                const bool isSlow = slowInstance == instance.get();
                if (!isSlow) {
                    instance->run(0ms);
                } else if (std::chrono::steady_clock::now() >= slowInstanceRunsAt) {
                    instance->run(0ms);
                    slowInstanceRunsAt = std::chrono::steady_clock::now() + SlowInterval;
                }
            }
            std::this_thread::sleep_for(1ms);
        }
    }

    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
    {
        const auto until = std::chrono::steady_clock::now() + timeout;
        while (!condition() && std::chrono::steady_clock::now() < until) {
            run(10ms);
        }
        return condition();
    }

    void setSilent(std::initializer_list<NodeInstance *> silentInstances, bool isSilent)
    {
        for (NodeInstance *instance : silentInstances) {
            instance->store().isSilent = isSilent;
        }
    }

    static constexpr std::chrono::milliseconds SlowInterval{250};

    MemoryTopics topics;
    std::vector<std::unique_ptr<NodeInstance>> instances;
    const NodeInstance *slowInstance = nullptr;
    std::chrono::steady_clock::time_point slowInstanceRunsAt{};
};

/// Returns the newest claim in @p topics.
Wire::TopicClaim newestClaim(const MemoryTopics &topics)
{
    Wire::TopicClaim claim;
    for (std::string after;;) {
        const NewestRecordsPage page = topics.newest(Topic::Jobs, after);
        for (const KeyedRecord &record : page.records) {
            if (record.key == claimKey()) {
                const auto decoded = capture([&] { return decodeTopicClaim(*record.value); });
                claim = std::get<Wire::TopicClaim>(decoded);
            }
            after = record.key;
        }
        if (!page.more) {
            return claim;
        }
    }
}

} // namespace

// Guards against a small instance that owns a large fleet after the store was silent for all, because it could read first.
Test(ownerSuccession, anOwnerKeepsTheTopicAfterASilenceOfTheStore, .timeout = 60)
{
    InstanceGroup group;
    NodeInstance &large = group.add("large", LargeShare);
    NodeInstance &small = group.add("small", SmallShare);
    cr_assert(group.runUntil([&] { return large.isOwner(); }, 10s));
    group.run(1s);
    group.setSilent({&large, &small}, true);
    group.run(4200ms);
    group.setSilent({&small}, false);
    group.run(400ms);
    group.setSilent({&large}, false);
    group.run(5s);
    cr_assert(large.isOwner());
    cr_assert_not(small.isOwner());
    cr_assert_eq(large.metrics().value("hyssop_ownerships_total"), 1);
}

// Guards against a fleet without an owner, if the owner ended while the store was silent.
Test(ownerSuccession, aSmallInstanceClaimsIfTheOwnerEndedDuringTheSilence, .timeout = 60)
{
    InstanceGroup group;
    NodeInstance &large = group.add("large", LargeShare);
    NodeInstance &small = group.add("small", SmallShare);
    cr_assert(group.runUntil([&] { return large.isOwner(); }, 10s));
    group.setSilent({&large, &small}, true);
    group.run(3s);
    group.setSilent({&small}, false);
    cr_assert(group.runUntil([&] { return small.isOwner(); }, 9s));
}

// Guards against a fleet whose owner processes its events a few times a second for as long as it lives.
Test(ownerSuccession, anOwnerThatCanNotCarryTheTopicHandsItToALargerInstance, .timeout = 60)
{
    InstanceGroup group;
    NodeInstance &small = group.add("small", SmallShare);
    cr_assert(group.runUntil([&] { return small.isOwner(); }, 10s));
    NodeInstance &large = group.add("large", LargeShare);
    group.run(2s);
    cr_assert(small.isOwner());
    group.slowInstance = &small;
    cr_assert(group.runUntil([&] { return large.isOwner(); }, 5s));
    group.run(1s);
    cr_assert_not(small.isOwner());
    cr_assert_eq(small.metrics().value("hyssop_owner_overloaded"), 0, "it is not the owner any more");
}

// Guards against a topic that moves between instances of which none can carry it.
Test(ownerSuccession, anOwnerThatNoLargerInstanceCanRelieveKeepsTheTopic, .timeout = 60)
{
    InstanceGroup group;
    NodeInstance &owner = group.add("owner", SmallShare);
    cr_assert(group.runUntil([&] { return owner.isOwner(); }, 10s));
    NodeInstance &equal = group.add("equal", SmallShare);
    group.slowInstance = &owner;
    group.run(6s);
    cr_assert(owner.isOwner());
    cr_assert_eq(owner.metrics().value("hyssop_owner_overloaded"), 1);
    cr_assert_eq(equal.metrics().value("hyssop_takeover_offers_total"), 0);
}

// Guards against a topic that waits for a successor which has ended after its offer.
Test(ownerSuccession, anotherInstanceClaimsIfTheSuccessorHasEnded, .timeout = 60)
{
    InstanceGroup group;
    NodeInstance &small = group.add("small", SmallShare);
    cr_assert(group.runUntil([&] { return small.isOwner(); }, 10s));
    group.slowInstance = &small;
    group.run(2s);
    Wire::TakeoverOffer offer;
    offer.instance = "ended";
    offer.term = 1;
    offer.processorShare = 1;
    group.topics.put(Topic::Jobs, takeoverOfferKey(), encode(offer));
    cr_assert(group.runUntil([&] { return !small.isOwner(); }, 3s));
    NodeInstance &next = group.add("next", SmallShare);
    cr_assert(group.runUntil([&] { return next.isOwner() || small.isOwner(); }, 9s));
}

// Guards against a small instance that owns a fleet because it could read first, after all have restarted.
Test(ownerSuccession, aSmallClaimantLeavesTheTopicToALargerInstanceAtOnce, .timeout = 60)
{
    InstanceGroup group;
    Wire::TopicClaim ended;
    ended.instance = "ended";
    ended.term = 1;
    ended.processorShare = 0.5;
    group.topics.append({Topic::Jobs, {{0, claimKey(), encode(ended)}}, std::nullopt, ProducerPosition{"owner", 1, 0}});
    group.add("small", SmallShare);
    cr_assert(group.runUntil([&] { return newestClaim(group.topics).term == 2; }, 10s));
    cr_assert(newestClaim(group.topics).overloaded, "it has not shown that it carries the work of a larger owner");
    Wire::TakeoverOffer offer;
    offer.instance = "large";
    offer.term = 2;
    offer.processorShare = 0.5;
    group.topics.put(Topic::Jobs, takeoverOfferKey(), encode(offer));
    cr_assert(group.runUntil([&] { return newestClaim(group.topics).released; }, 2s));
    cr_assert_eq(newestClaim(group.topics).successor, "large");
}

// Guards against a fleet whose owner changes although the small one carries it.
Test(ownerSuccession, aSmallInstanceThatCarriesTheTopicKeepsIt, .timeout = 60)
{
    InstanceGroup group;
    NodeInstance &small = group.add("small", SmallShare);
    cr_assert(group.runUntil([&] { return small.isOwner(); }, 10s));
    group.add("large", LargeShare);
    group.run(4s);
    cr_assert(small.isOwner());
    cr_assert_eq(small.metrics().value("hyssop_ownerships_total"), 1);
}
