#pragma once

#include "net/Http.h"
#include "wire/Platform.h"
#include "wire/Records.h"

#include <cstdint>
#include <string>

/// Blocking access to the configuration's head object through the platform's object API. The head holds the accepted configuration and, while a change is
/// pending, the staged one.
class HeadStore
{
public:
    /// Takes the address of the object API. Each operation opens a connection of its own.
    explicit HeadStore(net::Address platform);

    /// The result of a read. The head is valid if the status is Ok; it is empty if the status is NotFound, since no configuration was ever applied.
    struct Head {
        wire::StoreStatus status = wire::StoreStatus::Unavailable;
        /// The object's version, to be given to write(); 0 if there is no object.
        std::uint64_t version = 0;
        wire::ConfigHead head;
        /// There is an object, and it can't be decoded.
        bool isDamaged = false;

        /// Says why there is no valid head, if the status is Unavailable.
        std::string problem() const;
    };

    /// Reads the head. An object that can't be decoded gives the status Unavailable.
    Head read() const;

    /// Writes the head if its object still has the expected version, where 0 means that the object must not exist. Returns Ambiguous if it is unknown whether
    /// the head was written.
    wire::StoreStatus write(const wire::ConfigHead &head, std::uint64_t expected) const;

private:
    net::Address platform_;
};
