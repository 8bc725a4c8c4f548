#pragma once

#include "Bed.h"

namespace stand {

int runOdd(Record &record);
int runOutage(Record &record);
int runRevoked(Record &record);
int runLookups(Record &record);
int runGone(Record &record);

struct NamedCase {
    const char *name;
    int (*run)(Record &);
};

constexpr NamedCase Cases[] = {
    {"odd", runOdd},
    {"outage", runOutage},
    {"revoked", runRevoked},
    {"lookups", runLookups},
    {"gone", runGone},
};

} // namespace stand
