#pragma once

#include "Bed.h"

namespace stand {

int runOutage(Record &record);
int runRevoked(Record &record);
int runLookups(Record &record);
int runGone(Record &record);
int runTrace(Record &record);

struct NamedCase {
    const char *name;
    int (*run)(Record &);
};

constexpr NamedCase Cases[] = {
    {"outage", runOutage},
    {"revoked", runRevoked},
    {"lookups", runLookups},
    {"gone", runGone},
    {"trace", runTrace},
};

} // namespace stand
