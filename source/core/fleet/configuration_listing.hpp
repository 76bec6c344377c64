#pragma once

#include "fleet/configuration.hpp"

#include <string>
#include <vector>

namespace kumquatgap::fleet
{

/// A team's key as a file lists it.
struct listed_key
{
    std::string key;
    std::string team;
};

/// A service that a route lists with a weight of zero or less.
struct unused_share
{
    /// The route's position in configuration_listing::routes.
    std::size_t route = 0;
    std::string service;
};

/// The entries of a configuration in the order of their file. Of entries with the same name, route
/// or key, `effective` has only the last one; the lists have all of them.
struct configuration_listing
{
    configuration effective;
    std::vector<route> routes;
    std::vector<unused_share> unused_shares;
    std::vector<std::string> services;
    std::vector<std::string> teams;
    std::vector<listed_key> keys;
};

} // namespace kumquatgap::fleet
