#include <jobtopic/jobkeys.h>
#include <jobtopic/jobtable.h>
#include <ports/keyedrecord.h>
#include <wire/codec.h>

#include <criterion/criterion.h>

#include <limits>

using namespace Hyssop;

namespace {

Wire::TakeoverOffer offerOf(std::int64_t term, double processorShare)
{
    Wire::TakeoverOffer offer;
    offer.instance = "large";
    offer.term = term;
    offer.processorShare = processorShare;
    return offer;
}

} // namespace

Test(takeoverOffer, theNewestRecordIsReadAsWritten)
{
    JobTable table;
    cr_assert_eq(table.apply({5, takeoverOfferKey(), encode(offerOf(3, 0.5))}).kind, JobKeyKind::TakeoverOffer);
    table.apply({4, takeoverOfferKey(), encode(offerOf(2, 1))});
    cr_assert(table.takeoverOffer() == offerOf(3, 0.5));
    table.apply({6, takeoverOfferKey(), std::nullopt});
    cr_assert_not(table.takeoverOffer());
    cr_assert_eq(table.malformedRecords(), 0);
}

Test(takeoverOffer, aRecordThatIsOutOfRangeIsCountedAndNotUsed)
{
    for (const std::string &odd : {std::string("odd"), encode(offerOf(-1, 0.5)), encode(offerOf(3, std::numeric_limits<double>::infinity()))}) {
        JobTable table;
        table.apply({5, takeoverOfferKey(), odd});
        cr_expect_not(table.takeoverOffer());
        cr_expect_eq(table.malformedRecords(), 1);
    }
}
