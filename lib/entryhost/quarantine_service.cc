#include "mangoport/entryhost/quarantine_service.h"

#include <chrono>
#include <string>
#include <utility>

namespace mangoport {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

const char kStream[] = "quarantine";

std::int64_t WallMillis() {
  return std::chrono::duration_cast<milliseconds>(
             system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

QuarantineService::QuarantineService(LogService& log,
                                     WriterId writer,
                                     HostId host,
                                     BackendDirectory* backends)
    : host_(std::move(host)),
      backends_(backends),
      reader_([this](const LogPosition& position,
                     const wire::Envelope& record) { Fold(position, record); }),
      appender_(log, StreamId(kStream), std::move(writer)),
      follower_(
          log,
          StreamId(kStream),
          [this] {
            const std::lock_guard lock(mutex_);
            return reader_.next_offset();
          },
          [this](MonoTime /*requested_at*/, const LogPage& page) {
            Read(page);
          }) {}

void QuarantineService::Append(const wire::QuarantineRecord& record) {
  appender_.Append(wire::RECORD_KIND_QUARANTINE, record.SerializeAsString(),
                   {});
}

void QuarantineService::Report(wire::CrashReport report) {
  report.set_host(host_.value());
  wire::QuarantineRecord record;
  *record.mutable_crash() = std::move(report);
  Append(record);
}

std::uint64_t QuarantineService::Claim(const Fingerprint& fingerprint,
                                       const ServerId& server,
                                       Duration lease) {
  wire::QuarantineRecord record;
  wire::IsolationClaim& claim = *record.mutable_claim();
  {
    const std::lock_guard lock(mutex_);
    claim.set_number(++last_claim_);
  }
  claim.set_account(fingerprint.account.value());
  claim.set_fingerprint(fingerprint.hash);
  claim.set_server(server.value());
  claim.set_host(appender_.writer().value());
  claim.set_claimed_at_ms(WallMillis());
  claim.set_expires_at_ms(
      claim.claimed_at_ms() +
      std::chrono::duration_cast<milliseconds>(lease).count());
  Append(record);
  return claim.number();
}

std::optional<bool> QuarantineService::ClaimAnswer(std::uint64_t number) {
  {
    const std::lock_guard lock(mutex_);
    if (!read_claims_.contains(number))
      return std::nullopt;
  }
  bool holds = false;
  backends_->WithRouting([&](SupervisorStep step) {
    holds = step.state.quarantine.HoldsClaim(
        step.wall, HostId(appender_.writer().value()), number);
  });
  return holds;
}

void QuarantineService::End(const Fingerprint& fingerprint,
                            std::uint64_t number,
                            bool survived) {
  wire::QuarantineRecord record;
  wire::IsolationEnd& end = *record.mutable_end();
  end.set_account(fingerprint.account.value());
  end.set_fingerprint(fingerprint.hash);
  end.set_host(appender_.writer().value());
  end.set_number(number);
  end.set_survived(survived);
  end.set_ended_at_ms(WallMillis());
  Append(record);
}

void QuarantineService::Release(const Fingerprint& fingerprint,
                                const std::string& released_by) {
  wire::QuarantineRecord record;
  wire::QuarantineRelease& release = *record.mutable_release();
  release.set_account(fingerprint.account.value());
  release.set_fingerprint(fingerprint.hash);
  release.set_released_by(released_by);
  release.set_released_at_ms(WallMillis());
  Append(record);
}

void QuarantineService::Read(const LogPage& page) {
  {
    const std::lock_guard lock(mutex_);
    // Entries that the log has dropped are older than the evidence's validity.
    if (page.first_retained > reader_.next_offset())
      reader_.StartFrom(page.first_retained);
    for (const LogEntry& it : page.entries)
      reader_.ReadEntry(it.offset, it.payload);
  }
  ReserveClaimed();
}

void QuarantineService::Fold(const LogPosition& position,
                             const wire::Envelope& record) {
  backends_->WithRouting([&](SupervisorStep step) {
    step.state.quarantine.Apply(position, record);
  });
  wire::QuarantineRecord body;
  if (record.kind() != wire::RECORD_KIND_QUARANTINE ||
      !body.ParseFromString(record.body()))
    return;
  if (body.has_claim() && body.claim().host() == appender_.writer().value())
    read_claims_.insert(body.claim().number());
}

void QuarantineService::ReserveClaimed() {
  backends_->WithRouting([](SupervisorStep step) {
    for (const ActiveIsolation& it :
         step.state.quarantine.Isolations(step.wall)) {
      step.state.router.Reserve(it.server,
                                step.now + std::chrono::duration_cast<Duration>(
                                               it.expires_at - step.wall));
    }
  });
}

}  // namespace mangoport
