#include "tarragon/gateway/quarantine_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <sstream>
#include <utility>

#include "tarragon/routing/crash_quarantine.h"

namespace tarragon::gateway {

namespace {

constexpr int kOk = 200;

}  // namespace

quarantine_table::quarantine_table(asio::io_context& loop,
                                   gateway_state& gateway,
                                   store_channel& channel,
                                   std::string own_address)
    : gateway_(gateway), channel_(channel), own_address_(std::move(own_address)), timer_(loop) {}

void quarantine_table::Restore() {
  read_wanted_ = true;
  StartCall();
}

void quarantine_table::Save() {
  has_saved_ = true;
  write_wanted_ = true;
  StartCall();
}

void quarantine_table::SaveAgain() {
  if (has_saved_) {
    Save();
  }
}

void quarantine_table::StartCall() {
  if (call_pending_) {
    return;
  }
  if (read_wanted_) {
    Read();
  } else if (write_wanted_) {
    Write();
  }
}

void quarantine_table::Read() {
  call_pending_ = true;
  channel_.Call(gateway_.adapter.ReadTableCall(kTable, next_key_), kTimeout,
                [this](const store_call_result& result) { OnPage(result); });
}

void quarantine_table::OnPage(const store_call_result& result) {
  const bool answered = result && result.value().status == kOk;
  const auto page = answered ? gateway_.adapter.DecodePage(result.value().body, result.value().era)
                             : decode_result<table_page>(decode_error{"no answer"});
  if (!page) {
    RetryLater();
    return;
  }
  call_pending_ = false;
  std::ranges::for_each(page.value().rows, [this](const table_row& row) { ApplyRow(row); });
  read_wanted_ = page.value().more && !page.value().rows.empty();
  if (read_wanted_) {
    next_key_ = page.value().rows.back().key + '\0';
  }
  StartCall();
}

void quarantine_table::ApplyRow(const table_row& row) {
  const time_point now = gateway_.time.Now();
  const std::int64_t wall_now = gateway_.time.WallNow().time_since_epoch().count();
  std::istringstream lines(row.value);
  std::uint64_t trait = 0;
  unsigned specificity = 0;
  std::int64_t quarantined_unix_ms = 0;
  while (lines >> std::hex >> trait >> std::dec >> specificity >> quarantined_unix_ms) {
    const std::chrono::milliseconds age{std::max<std::int64_t>(0, wall_now - quarantined_unix_ms)};
    gateway_.quarantine.Restore(now, {{trait}, static_cast<std::uint8_t>(specificity)}, age);
    gateway_.log.LogState("quarantine_restored",
                          {{"trait", fmt::format("{:016x}", trait)}, {"age_ms", age.count()}});
  }
}

void quarantine_table::Write() {
  call_pending_ = true;
  write_wanted_ = false;
  const time_point now = gateway_.time.Now();
  const wall_time_point wall_now = gateway_.time.WallNow();
  std::string row;
  for (const routing::quarantined_trait& known : gateway_.quarantine.Quarantined()) {
    const auto since = wall_now - std::chrono::floor<std::chrono::milliseconds>(now - known.since);
    row += fmt::format("{:016x} {} {}\n", known.trait.id.value, known.trait.specificity,
                       since.time_since_epoch().count());
  }
  channel_.Call(gateway_.adapter.PutRowCall(kTable, own_address_, row), kTimeout,
                [this](const store_call_result& result) {
                  if (!result || result.value().status != kOk) {
                    write_wanted_ = true;
                    RetryLater();
                    return;
                  }
                  call_pending_ = false;
                  StartCall();
                });
}

void quarantine_table::RetryLater() {
  timer_.expires_after(kRetryDelay);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      call_pending_ = false;
      StartCall();
    }
  });
}

}  // namespace tarragon::gateway
