#include "mangoport/membership/lease.h"

#include <criterion/criterion.h>

namespace mangoport {
namespace {

using std::chrono::seconds;

/// One contender and its record writer. All hosts of a test share one fold.
struct Host {
  explicit Host(const std::string& name)
      : writer(WriterId(name)),
        contender({.resource = "placement"}, WriterId(name)) {}

  /// Appends a claim if one is due at `now`; returns whether it did.
  bool Claim(MonoTime now, LeaseFold& fold, std::uint64_t offset) {
    const std::optional<std::string> body = contender.NextClaim(now);
    if (body)
      fold.Apply({offset, 0},
                 writer.Wrap(wire::RECORD_KIND_LEASE_CLAIM, *body));
    contender.Observe(now, fold);
    return body.has_value();
  }

  RecordWriter writer;
  LeaseContender contender;
};

// NOLINTNEXTLINE
Test(lease, claim_waits_for_expiry_and_fences_old_holder) {
  const MonoTime start{};
  LeaseFold fold;
  Host a("a");
  Host b("b");
  a.contender.Observe(start, fold);
  cr_assert(a.Claim(start, fold, 1));
  b.contender.Observe(start + seconds(1), fold);
  cr_assert(a.contender.HeldEpoch(start + seconds(9)));
  cr_assert_not(a.contender.HeldEpoch(start + seconds(10)));
  cr_assert_not(b.Claim(start + seconds(12), fold, 2));
  cr_assert(b.Claim(start + seconds(13), fold, 3));
  cr_assert(b.contender.HeldEpoch(start + seconds(13)) == LogPosition({3, 0}));
  // The old holder was paused. Its renewal arrives late and is ignored.
  cr_assert(a.Claim(start + seconds(14), fold, 4));
  cr_assert_eq(fold.Find("placement")->holder.value(), "b");
  cr_assert_not(a.contender.HeldEpoch(start + seconds(14)));
}

// NOLINTNEXTLINE
Test(lease, claim_is_ignored_if_holder_has_renewed) {
  const MonoTime start{};
  LeaseFold fold;
  Host a("a");
  Host b("b");
  a.contender.Observe(start, fold);
  a.Claim(start, fold, 1);
  b.contender.Observe(start, fold);
  cr_assert(a.Claim(start + seconds(4), fold, 2));
  // Host b has not read the renewal, so its claim names the previous record.
  const std::optional<std::string> claim =
      b.contender.NextClaim(start + seconds(13));
  cr_assert(claim);
  cr_assert_not(
      fold.Apply({3, 0}, b.writer.Wrap(wire::RECORD_KIND_LEASE_CLAIM, *claim)));
  cr_assert(fold.IsCurrent("placement", WriterId("a"), {1, 0}));
}

// NOLINTNEXTLINE
Test(lease, lease_can_be_claimed_immediately_after_release) {
  const MonoTime start{};
  LeaseFold fold;
  Host a("a");
  Host b("b");
  a.contender.Observe(start, fold);
  a.Claim(start, fold, 1);
  const std::optional<std::string> release = a.contender.Release();
  cr_assert(release);
  cr_assert_not(a.contender.HeldEpoch(start));
  fold.Apply({2, 0}, a.writer.Wrap(wire::RECORD_KIND_LEASE_RELEASE, *release));
  b.contender.Observe(start + seconds(1), fold);
  cr_assert(b.Claim(start + seconds(1), fold, 3));
  cr_assert(b.contender.HeldEpoch(start + seconds(1)));
}

}  // namespace
}  // namespace mangoport
