#include "mangoport/routing/quarantine.h"

#include <string>

#include <criterion/criterion.h>

#include "mangoport/ledger/envelope.h"

namespace mangoport {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const AccountId kAccount("gallery");
const WallTime kStart = WallTime(std::chrono::hours(1000));

Fingerprint FingerprintOfPrompt(const std::string& prompt) {
  return FingerprintOf({kAccount, ModelId("drafts"), AdapterId(), prompt});
}

std::int64_t Millis(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

void AddSuspect(wire::CrashReport& report,
                const std::string& prompt,
                bool isolated) {
  wire::Suspect& suspect = *report.add_suspects();
  suspect.set_account(kAccount.value());
  suspect.set_fingerprint(FingerprintOfPrompt(prompt).hash);
  suspect.set_sketch(SketchOf(prompt));
  suspect.set_isolated(isolated);
}

wire::CrashReport Report(const std::string& server, WallTime at) {
  wire::CrashReport report;
  report.set_server(server);
  report.set_crashed_at_ms(Millis(at));
  return report;
}

// NOLINTNEXTLINE
Test(fingerprint, ignores_case_white_space_and_punctuation) {
  const Fingerprint plain =
      FingerprintOfPrompt("Condition report for loan 4711");
  cr_assert(plain ==
            FingerprintOfPrompt("  condition REPORT\tfor, loan 4711.\n"));
  cr_assert(plain ==
            FingerprintOfPrompt("condition\xE2\x80\x8B report for loan 4711"));
  cr_assert(plain != FingerprintOfPrompt("Condition report for loan 4712"));
  const Fingerprint other =
      FingerprintOf({AccountId("other"), ModelId("drafts"), AdapterId(),
                     "Condition report for loan 4711"});
  cr_assert(plain != other);
}

// NOLINTNEXTLINE
Test(fingerprint, sketches_are_near_for_edits_only) {
  const std::string text =
      "Condition report for loan 4711: oil on board, two crates, due in May, "
      "frame scratched at the lower left, glass replaced before the last loan";
  std::string edited = text;
  edited[30] = 'x';
  cr_assert(AreSimilar(SketchOf(text), SketchOf(edited)));
  cr_assert_not(AreSimilar(
      SketchOf(text), SketchOf("Draft a brief for the council on the repair "
                               "of the memorial railings in Market Street, "
                               "with the smith's estimate and the dates")));
}

// NOLINTNEXTLINE
Test(quarantine, second_crash_in_isolation_quarantines_only_the_culprit) {
  QuarantineFold fold;
  wire::CrashReport first = Report("s1", kStart);
  AddSuspect(first, "poison", false);
  AddSuspect(first, "bystander", false);
  fold.MergeReport(first);
  const WallTime later = kStart + seconds(10);
  cr_assert_eq(fold.Assess(later, FingerprintOfPrompt("poison")).level,
               SuspicionLevel::kSuspect);
  wire::CrashReport second = Report("s2", later);
  AddSuspect(second, "poison", true);
  fold.MergeReport(second);
  const WallTime after_report_window = later + seconds(2);
  cr_assert_eq(
      fold.Assess(after_report_window, FingerprintOfPrompt("poison")).level,
      SuspicionLevel::kQuarantined);
  cr_assert_eq(
      fold.Assess(after_report_window, FingerprintOfPrompt("bystander")).level,
      SuspicionLevel::kSuspect);
  fold.Clear(FingerprintOfPrompt("bystander"), after_report_window);
  cr_assert_eq(
      fold.Assess(after_report_window, FingerprintOfPrompt("bystander")).level,
      SuspicionLevel::kClear);
  // The quarantine lasts for one hour and then expires.
  cr_assert_eq(fold.Assess(after_report_window + minutes(50),
                           FingerprintOfPrompt("poison"))
                   .level,
               SuspicionLevel::kQuarantined);
  cr_assert_eq(fold.Assess(after_report_window + minutes(70),
                           FingerprintOfPrompt("poison"))
                   .level,
               SuspicionLevel::kClear);
}

// NOLINTNEXTLINE
Test(quarantine, late_report_of_concurrent_request_revokes_quarantine) {
  QuarantineFold fold;
  wire::CrashReport first = Report("s1", kStart);
  AddSuspect(first, "innocent", false);
  fold.MergeReport(first);
  wire::CrashReport second = Report("s2", kStart + seconds(10));
  AddSuspect(second, "innocent", true);
  fold.MergeReport(second);
  wire::CrashReport late_report = Report("s2", kStart + seconds(10));
  AddSuspect(late_report, "culprit", false);
  fold.MergeReport(late_report);
  cr_assert_eq(
      fold.Assess(kStart + seconds(20), FingerprintOfPrompt("innocent")).level,
      SuspicionLevel::kHeld);
}

// NOLINTNEXTLINE
Test(quarantine, edit_of_quarantined_request_is_suspect) {
  QuarantineFold fold;
  const std::string text =
      "Condition report for loan 4711: oil on board, two crates, due in May, "
      "frame scratched at the lower left, glass replaced before the last loan";
  wire::CrashReport first = Report("s1", kStart);
  AddSuspect(first, text, false);
  fold.MergeReport(first);
  wire::CrashReport second = Report("s2", kStart + seconds(10));
  AddSuspect(second, text, true);
  fold.MergeReport(second);
  std::string edited = text;
  edited[30] = 'x';
  const WallTime now = kStart + seconds(20);
  cr_assert_eq(
      fold.Assess(now, FingerprintOfPrompt(edited), SketchOf(edited)).level,
      SuspicionLevel::kSuspect);
  fold.Clear(FingerprintOfPrompt(edited), now);
  cr_assert_eq(
      fold.Assess(now, FingerprintOfPrompt(edited), SketchOf(edited)).level,
      SuspicionLevel::kClear);
}

// NOLINTNEXTLINE
Test(quarantine, first_claim_in_log_wins_and_release_clears_suspicion) {
  QuarantineFold fold;
  RecordWriter writer(WriterId("h1"));
  std::uint64_t offset = 0;
  const auto apply = [&](const wire::QuarantineRecord& record) {
    fold.Apply({offset++, 0}, writer.Wrap(wire::RECORD_KIND_QUARANTINE,
                                          record.SerializeAsString()));
  };
  wire::QuarantineRecord claim;
  claim.mutable_claim()->set_account(kAccount.value());
  claim.mutable_claim()->set_fingerprint(FingerprintOfPrompt("one").hash);
  claim.mutable_claim()->set_server("s1");
  claim.mutable_claim()->set_host("h1");
  claim.mutable_claim()->set_number(1);
  claim.mutable_claim()->set_claimed_at_ms(Millis(kStart));
  claim.mutable_claim()->set_expires_at_ms(Millis(kStart + seconds(6)));
  apply(claim);
  claim.mutable_claim()->set_host("h2");
  apply(claim);
  const WallTime now = kStart + seconds(1);
  cr_assert(fold.HoldsClaim(now, HostId("h1"), 1));
  cr_assert_not(fold.HoldsClaim(now, HostId("h2"), 1));
  cr_assert_not(fold.HoldsClaim(kStart + seconds(7), HostId("h1"), 1));

  wire::CrashReport first = Report("s1", kStart);
  AddSuspect(first, "one", false);
  fold.MergeReport(first);
  wire::QuarantineRecord release;
  release.mutable_release()->set_account(kAccount.value());
  release.mutable_release()->set_fingerprint(FingerprintOfPrompt("one").hash);
  release.mutable_release()->set_released_at_ms(Millis(now));
  apply(release);
  cr_assert_eq(fold.Assess(now, FingerprintOfPrompt("one")).level,
               SuspicionLevel::kClear);
}

}  // namespace
}  // namespace mangoport
