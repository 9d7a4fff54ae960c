#include "tarragon/gateway/daemon_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tarragon::gateway {

namespace {

constexpr int kOk = 200;

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
  channel_.Call(gateway_.adapter.PutRowCall(kTable, own_address_, gateway_.own_vm), kTimeout,
                [this](const store_call_result& result) {
                  if (result && result.value().status == kOk) {
                    gateway_.log.LogState("daemon_registered", {{"address", own_address_}});
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

void daemon_table::OnTable(const std::vector<table_row>& rows, std::uint64_t) {
  addresses_.clear();
  OnChanges(rows);
}

void daemon_table::OnChanges(const std::vector<table_row>& rows) {
  for (const table_row& row : rows) {
    if (row.deleted) {
      addresses_.erase(row.key);
    } else {
      addresses_.insert(row.key);
    }
  }
  OnAddressesChanged();
}

void daemon_table::OnAddressesChanged() {
  addresses_.insert(own_address_);
  gateway_.daemons = addresses_.size();
  std::vector<std::string> others;
  std::ranges::copy_if(addresses_, std::back_inserter(others),
                       [this](const std::string& address) { return address != own_address_; });
  gateway_.log.LogState("daemons_known", {{"others", others.size()}});
  on_change_(others);
}

void daemon_table::OnStoreLost(std::string_view reason) {
  gateway_.log.LogState("dependency_lost", {{"dependency", "daemon_table"}, {"reason", reason}});
}

void daemon_table::OnStoreRegained() {
  gateway_.log.LogState("dependency_regained", {{"dependency", "daemon_table"}});
}

}  // namespace tarragon::gateway
