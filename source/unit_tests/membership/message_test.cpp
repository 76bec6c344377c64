#include "membership/message.hpp"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

using namespace kumquatgap;
using namespace kumquatgap::membership;
using nlohmann::json;

namespace
{

/// A message as the build before eras sent it.
std::string without_era(const message& m)
{
    auto body = json::from_cbor(to_bytes(m, "t"));
    body.erase("era");
    std::string out;
    json::to_cbor(body, out);
    return out;
}

std::string from_hex(std::string_view hex)
{
    std::string out;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        out.push_back(static_cast<char>(std::stoi(std::string{hex.substr(i, 2)}, nullptr, 16)));
    return out;
}

/// A delta from 10 to 11 that sets "k" to "v", as build 1f93228 encodes it with the token "t".
constexpr std::string_view old_delta =
    "a5676368616e6765738183616b61760b6466726f6d0a62746f0b65746f6b656e617464747970656564656c7461";

} // namespace

Test(membership_message, era_survives_encoding)
{
    const digest d{"a", "10.0.0.1:1", 9, 8, {}, 3};
    cr_assert_eq(std::get<digest>(from_bytes(to_bytes(d, "t"), "t").value()).in_era, 3);
    const snapshot_message s{{9, {{"k", "v", 4}}, 3}};
    cr_assert_eq(
        std::get<snapshot_message>(from_bytes(to_bytes(s, "t"), "t").value()).state.position(),
        (kv::position{3, 9}));
    const delta_message c{{4, 9, {{"k", "v", 9}}, 3}};
    cr_assert_eq(std::get<delta_message>(from_bytes(to_bytes(c, "t"), "t").value()).changes.in_era,
                 3);
}

Test(membership_message, confirmation_survives_encoding)
{
    digest d{"a", "10.0.0.1:1", 9, 8, {}, 3};
    d.asked_at = 1234;
    d.answer_to = 5678;
    d.unconfirmed_time = kumquatgap::common::milliseconds{90};
    const auto read = std::get<digest>(from_bytes(to_bytes(d, "t"), "t").value());
    cr_assert_eq(read.asked_at, 1234);
    cr_assert_eq(read.answer_to, 5678);
    cr_assert_eq(read.unconfirmed_time.count(), 90);
}

/// A digest as build 1d75c01 encodes it with the token "t".
constexpr std::string_view former_digest =
    "a867616464726573736a31302e302e302e313a316561735f6f660963657261036b6c6173745f6368616e"
    "676508646e616d65616165746f6b656e6174647479706566646967657374687761746368657273818261"
    "6207";

Test(membership_message, digest_of_build_without_confirmations_asks_for_none)
{
    const auto d = std::get<digest>(from_bytes(from_hex(former_digest), "t").value());
    cr_assert_eq(d.watchers.at(0).age.count(), 7);
    cr_assert_eq(d.in_era, 3);
    cr_assert_eq(d.asked_at, 0);
    cr_assert_eq(d.answer_to, 0);
}

/// A digest that neither asks nor answers is the same as that of the builds before.
Test(membership_message, digest_without_confirmation_has_no_new_fields)
{
    const auto body = json::from_cbor(to_bytes(digest{"a", "10.0.0.1:1", 9, 8, {}, 3}, "t"));
    cr_assert_eq(body.size(), 8U);
    auto answer = json::from_cbor(to_bytes(digest{"a", "10.0.0.1:1", 9, 8, {}, 3}, "t"));
    answer["answer_to"] = 5678;
    std::string bytes;
    json::to_cbor(answer, bytes);
    cr_assert_not(from_bytes(bytes, "t"));
}

Test(membership_message, message_of_build_without_eras_is_of_default_era)
{
    const auto bytes = without_era(digest{"a", "10.0.0.1:1", 9, 8, {}, 3});
    cr_assert_eq(std::get<digest>(from_bytes(bytes, "t", 1).value()).in_era, 1);
    const auto m = from_bytes(from_hex(old_delta), "t", 2);
    cr_assert(m.has_value());
    const auto& changes = std::get<delta_message>(*m).changes;
    cr_assert_eq(changes.in_era, 2);
    cr_assert_eq(changes.to, 11);
    cr_assert_eq(changes.changes.at(0).value.value(), "v");
}
