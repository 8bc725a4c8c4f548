#pragma once

#include "relayhost/StoreClient.h"

namespace relayhost {

/// One page of the list of endpoints.
struct EndpointPage {
    std::vector<relay::EndpointEntry> entries;
    /// Name of the last entry of this page, after which the next page begins; empty if this is the last page.
    std::string nextAfter;
    /// Number of entries that were left out because they are malformed.
    std::size_t damaged = 0;
    /// Version of the store when the page was read.
    wire::StoreVersion version;
    /// Size of the page as the store sent it.
    std::size_t bytes = 0;
};

/// Reads the list of endpoints page by page. A list whose pages don't end, or take too much memory, is given up.
class EndpointPages
{
public:
    using PageDone = std::function<void(std::optional<EndpointPage>)>;
    using ListingDone = std::function<void(std::optional<EndpointListing>)>;
    /// Reads the page after the entry of that name; the first page if it is empty. The result is passed to `done` later; none if no valid page came.
    using PageReader = std::function<void(const std::string &after, PageDone done)>;

    /// The pages of each list count in `held`, which must outlive this object.
    EndpointPages(net::HeldBytes &held, PageReader readPage);

    /// Reads the list from its first page on, and passes it to `done`; none if a page can't be read, or if the list was given up.
    void read(ListingDone done);

private:
    /// A list that is being read.
    struct Read {
        /// The next page begins after this name; the first one after none.
        std::string after;
        EndpointListing listing;
        /// The size of the pages that were read, and the share that counts them.
        std::size_t bytes = 0;
        net::HeldBytes::Share held;
        unsigned pagesLeft = 0;
        ListingDone done;
    };

    /// Starts the read, or starts it again.
    void begin(const std::shared_ptr<Read> &read);
    /// Reads the next page and all later ones.
    void readNext(const std::shared_ptr<Read> &read);
    /// Takes a page, and reads the next one if there is one.
    void onPage(const std::shared_ptr<Read> &read, const std::optional<EndpointPage> &page);

    net::HeldBytes &held_;
    PageReader readPage_;
};

} // namespace relayhost
