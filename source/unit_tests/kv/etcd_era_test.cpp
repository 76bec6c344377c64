#include "kv/etcd_era.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::kv;

Test(etcd_era, first_cluster_begins_the_first_era)
{
    cr_assert_eq(required_record(std::nullopt, "x", 0).number, 1);
}

Test(etcd_era, known_cluster_keeps_its_era)
{
    const etcd_era_record stored{3, "x"};
    cr_assert(required_record(stored, "x", 0) == stored);
    cr_assert(required_record(stored, "x", 2) == stored);
}

/// The copy has the record of the cluster before.
Test(etcd_era, restored_cluster_begins_a_later_era)
{
    cr_assert(required_record(etcd_era_record{3, "x"}, "y", 3) == (etcd_era_record{4, "y"}));
}

/// The copy was taken before an era that this process has seen.
Test(etcd_era, era_is_later_than_any_that_was_seen)
{
    cr_assert(required_record(etcd_era_record{1, "x"}, "z", 2) == (etcd_era_record{3, "z"}));
    cr_assert(required_record(etcd_era_record{2, "z"}, "z", 2) == (etcd_era_record{3, "z"}));
}

Test(etcd_era, malformed_record_is_none)
{
    cr_assert(parse_era_record(serialize({2, "x"})) == (etcd_era_record{2, "x"}));
    for (const auto* text : {"", "[]", "{}", R"({"era":"2","cluster":"x"})", R"({"era":2})"})
        cr_assert_not(parse_era_record(text).has_value(), "%s", text);
}
