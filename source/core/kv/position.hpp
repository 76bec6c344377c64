#pragma once

#include <cstdint>

namespace kumquatgap::kv
{

/// A revision of the platform's store; it grows with every write.
using revision = std::int64_t;

/// The number of a history of the store. A store that is restored from a copy has lost its newest
/// writes and leases and begins a new history, with a higher number, in which it assigns their
/// revisions again. 0 when the store does not number its histories.
using era = std::int64_t;

/// A point in the store's histories. Revisions of different histories can't be compared.
struct position
{
    era in_era = 0;
    revision at = 0;

    bool operator==(const position&) const = default;
    bool operator<(const position& it) const
    {
        return in_era != it.in_era ? in_era < it.in_era : at < it.at;
    }
    bool operator>(const position& it) const { return it < *this; }
    bool operator<=(const position& it) const { return !(it < *this); }
    bool operator>=(const position& it) const { return !(*this < it); }
};

} // namespace kumquatgap::kv
