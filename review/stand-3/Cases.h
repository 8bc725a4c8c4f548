#pragma once

#include "Bed.h"

namespace stand {

int runTrace(Record &record);
int runParts(Record &record);
int runLookups(Record &record);
int runConnections(Record &record);
int runGone(Record &record);
int runRevoked(Record &record);

struct NamedCase {
    const char *name;
    int (*run)(Record &);
};

constexpr NamedCase Cases[] = {
    {"trace", runTrace},
    {"parts", runParts},
    {"lookups", runLookups},
    {"connections", runConnections},
    {"gone", runGone},
    {"revoked", runRevoked},
};

} // namespace stand
