#include "relayhost/EndpointPages.h"

#include <algorithm>

namespace relayhost {

namespace {

/// Pages of a list that are read at most, far more than a fleet has: the pages of a damaged list may go round in a circle.
constexpr unsigned MaxPages = 256;

} // namespace

EndpointPages::EndpointPages(net::HeldBytes &held, PageReader readPage)
    : held_(held)
    , readPage_(std::move(readPage))
{
}

void EndpointPages::read(ListingDone done)
{
    auto read = std::make_shared<Read>();
    read->done = std::move(done);
    begin(read);
}

void EndpointPages::begin(const std::shared_ptr<Read> &read)
{
    read->after.clear();
    read->listing = {};
    read->bytes = 0;
    read->pagesLeft = MaxPages;
    read->held = held_.share(net::PeerKind::Store, {});
    readNext(read);
}

void EndpointPages::readNext(const std::shared_ptr<Read> &read)
{
    readPage_(read->after, [this, read](const std::optional<EndpointPage> &page) { onPage(read, page); });
}

void EndpointPages::onPage(const std::shared_ptr<Read> &read, const std::optional<EndpointPage> &page)
{
    if (!page) {
        return read->done(std::nullopt);
    }
    EndpointListing &listing = read->listing;
    if (!read->after.empty() && page->version.epoch != listing.version.epoch) {
        return begin(read); // The store was restored between two pages.
    }
    listing.entries.insert(listing.entries.end(), page->entries.begin(), page->entries.end());
    listing.damaged += page->damaged;
    // Pages may be read at different revisions. The watch starts at the lowest one, so that it delivers all changes that some page lacks.
    listing.version = listing.version.revision == 0 ? page->version : std::min(listing.version, page->version);
    if (page->nextAfter.empty()) {
        return read->done(std::move(listing));
    }
    read->bytes += page->bytes;
    read->held.set(read->bytes);
    if (page->nextAfter == read->after || --read->pagesLeft == 0 || read->held.isEnded()) {
        return read->done(std::nullopt);
    }
    read->after = page->nextAfter;
    readNext(read);
}

} // namespace relayhost
