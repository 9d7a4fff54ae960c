#include "tarragon/gateway/daemon_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "tarragon/gateway/version_announcements.h"

namespace tarragon::gateway {

namespace {

constexpr int kOk = 200;

/** Between the VM's name and its failure domain in a row. */
constexpr char kSeparator = '\n';

}  // namespace

daemon_table::daemon_table(asio::io_context& loop,
                           gateway_state& gateway,
                           store_channel& channel,
                           std::string own_address,
                           listener on_change)
    : gateway_(gateway),
      channel_(channel),
      own_address_(std::move(own_address)),
      on_change_(std::move(on_change)),
      timer_(loop) {}

void daemon_table::Register() {
  constexpr std::chrono::milliseconds kTimeout{1000};
  const std::string row = gateway_.own_vm + kSeparator + gateway_.own_failure_domain;
  channel_.Call(gateway_.adapter.PutRowCall(kTable, own_address_, row), kTimeout,
                [this](const store_call_result& result) {
                  if (result && result.value().status == kOk) {
                    OnRegistered(result.value());
                    return;
                  }
                  timer_.expires_after(kRegisterRetryDelay);
                  timer_.async_wait([this](const asio::error_code& error) {
                    if (!error) {
                      Register();
                    }
                  });
                });
}

void daemon_table::OnRegistered(const store_response& response) {
  const decode_result<table_page> page = gateway_.adapter.DecodePage(response.body, response.era);
  registered_at_ = page ? page.value().version : routing::store_version{response.era, 0};
  gateway_.log.LogState("daemon_registered",
                        {{"address", own_address_}, {"version", *registered_at_}});
}

void daemon_table::RegisterIfLost(const table_position& position) {
  const bool is_lost =
      registered_at_ && position.version > *registered_at_ && !domains_.contains(own_address_);
  if (is_lost) {
    registered_at_.reset();
    Register();
  }
}

void daemon_table::OnTable(const std::vector<table_row>& rows, const table_position& position) {
  domains_.clear();
  WithdrawUnlisted(rows);
  OnChanges(rows, position);
  gateway_.versions.OnLoaded();
  gateway_.UpdateOrigins();
}

void daemon_table::WithdrawUnlisted(const std::vector<table_row>& rows) {
  std::erase_if(announcements_, [&](const auto& known) {
    const bool is_listed = std::ranges::find(rows, known.first, &table_row::key) != rows.end();
    if (!is_listed) {
      gateway_.versions.OnWithdrawn(known.second);
    }
    return !is_listed;
  });
}

void daemon_table::ApplyAnnouncement(const table_row& row) {
  const auto known = announcements_.find(row.key);
  const auto version = DecodeVersion(row.value);
  if (row.deleted && known != announcements_.end()) {
    gateway_.versions.OnWithdrawn(known->second);
    announcements_.erase(known);
  } else if (!row.deleted && version) {
    announcements_.insert_or_assign(row.key, *version);
    gateway_.versions.OnAnnounced(gateway_.time.Now(), *version);
  }
}

void daemon_table::OnChanges(const std::vector<table_row>& rows, const table_position& position) {
  for (const table_row& row : rows) {
    if (IsAnnouncement(row)) {
      ApplyAnnouncement(row);
    } else if (row.deleted) {
      domains_.erase(row.key);
    } else {
      const std::size_t separator = row.value.find(kSeparator);
      domains_[row.key] =
          separator == std::string::npos ? std::string() : row.value.substr(separator + 1);
    }
  }
  OnMembersChanged(position);
  gateway_.UpdateOrigins();
}

void daemon_table::OnMembersChanged(const table_position& position) {
  RegisterIfLost(position);
  domains_.insert_or_assign(own_address_, gateway_.own_failure_domain);
  gateway_.daemons = domains_.size();
  std::vector<routing::relay_member> others;
  for (const auto& [address, domain] : domains_) {
    if (address != own_address_) {
      others.push_back({address, domain});
    }
  }
  gateway_.log.LogState("daemons_known", {{"others", others.size()}});
  on_change_(others);
}

void daemon_table::OnStoreLost(std::string_view reason) {
  dependency_.LogLost(reason);
}

void daemon_table::OnStaleRead(const routing::store_version& known,
                               const routing::store_version& read) {
  dependency_.LogStaleRead(known, read);
}

void daemon_table::OnStoreRegained(const store_outage& outage) {
  dependency_.LogRegained(outage);
}

}  // namespace tarragon::gateway
