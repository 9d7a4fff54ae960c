#include "tarragon/gateway/config_updater.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <ranges>
#include <utility>

namespace tarragon::gateway {

void config_updater::OnTable(const std::vector<table_row>& rows, const table_position& position) {
  NoteEra(position);
  OnChanges(rows, position);
  gateway_.RunGuarded("evacuations", [&] { EndUnlistedEvacuations(rows, position); });
}

void config_updater::OnChanges(const std::vector<table_row>& rows, const table_position& position) {
  std::ranges::for_each(rows, [&](const table_row& row) {
    gateway_.RunGuarded("config_row", [&] { ApplyRow(row, position); });
  });
}

void config_updater::NoteEra(const table_position& position) {
  const std::uint64_t era = position.version.era;
  if (era_ == era) {
    return;
  }
  const bool is_restored = era_.has_value();
  gateway_.log.LogState("store_era", {{"era", era}, {"before", era_.value_or(0)}});
  gateway_.counters.Gauge("tarragon_gateway_store_era").Set(static_cast<std::int64_t>(era));
  era_ = era;
  if (is_restored && gateway_.on_store_restored) {
    gateway_.on_store_restored();
  }
}

void config_updater::ApplyRow(const table_row& row, const table_position& position) {
  if (const auto failure_domain = gateway_.adapter.ReadEvacuatedDomain(row.key)) {
    ApplyEvacuation(*failure_domain, row, position);
  } else if (row.key == gateway_.adapter.ConfigKey() && !row.deleted) {
    ApplyConfig(row, position);
  }
}

void config_updater::ApplyEvacuation(const std::string& failure_domain,
                                     const table_row& row,
                                     const table_position& position) {
  const bool has_changed =
      row.deleted
          ? gateway_.endpoints.EndEvacuation(gateway_.time.Now(), row.version, failure_domain)
          : gateway_.endpoints.BeginEvacuation(row.version, failure_domain);
  if (has_changed) {
    LogEvacuation(row.deleted ? "evacuation_ended" : "evacuation_begun", failure_domain,
                  row.version, position);
  }
}

void config_updater::EndUnlistedEvacuations(const std::vector<table_row>& rows,
                                            const table_position& position) {
  std::vector<std::string> listed;
  for (const table_row& row : rows) {
    if (auto failure_domain = gateway_.adapter.ReadEvacuatedDomain(row.key);
        failure_domain && !row.deleted) {
      listed.push_back(*std::move(failure_domain));
    }
  }
  for (const std::string& failure_domain :
       gateway_.endpoints.EndUnlistedEvacuations(gateway_.time.Now(), position.version, listed)) {
    LogEvacuation("evacuation_ended", failure_domain, position.version, position);
  }
}

void config_updater::LogEvacuation(std::string_view event,
                                   const std::string& failure_domain,
                                   const routing::store_version& row_version,
                                   const table_position& position) {
  const auto endpoints = std::ranges::count_if(
      gateway_.endpoints.all() | std::views::values, [&](const routing::endpoint_ptr& known) {
        return known->entry.failure_domain == failure_domain;
      });
  gateway_.log.LogState(event, {{"failure_domain", failure_domain},
                                {"row_version", row_version},
                                {"age_ms", AgeMs(position)},
                                {"endpoints", endpoints}});
}

std::int64_t config_updater::AgeMs(const table_position& position) const {
  const duration age =
      gateway_.store_time.Age(gateway_.time.Now(), position.version.era, position.store_time);
  return std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
}

void config_updater::ApplyConfig(const table_row& row, const table_position& position) {
  decode_result<routing::service_config_ptr> decoded = gateway_.adapter.DecodeConfig(row.value);
  if (!decoded) {
    gateway_.log.LogState("config_unreadable",
                          {{"row_version", row.version}, {"error", decoded.error().message}});
    return;
  }
  routing::service_config_ptr config = std::move(decoded).value();
  const std::uint64_t in_force = gateway_.config ? gateway_.config->version() : 0;
  if (gateway_.config && config->version() <= in_force) {
    return;
  }
  gateway_.log.LogState("config_in_force", {{"version", config->version()},
                                            {"before", in_force},
                                            {"row_version", row.version},
                                            {"age_ms", AgeMs(position)},
                                            {"routes", config->routes().size()}});
  gateway_.config = std::move(config);
  std::map<std::string, routing::cold_start, std::less<>> cold_starts;
  for (const routing::service& known : gateway_.config->services()) {
    if (known.cold) {
      cold_starts.emplace(known.name, *known.cold);
    }
  }
  gateway_.endpoints.SetColdStarts(gateway_.time.Now(), std::move(cold_starts));
  if (gateway_.origin_lookup != nullptr) {
    gateway_.versions.SetServices(gateway_.config->ResumableServices());
    gateway_.UpdateOrigins();
  }
}

void config_updater::OnStoreLost(std::string_view reason) {
  dependency_.LogLost(reason);
}

void config_updater::OnStaleRead(const routing::store_version& known,
                                 const routing::store_version& read) {
  dependency_.LogStaleRead(known, read);
}

void config_updater::OnStoreRegained(const store_outage& outage) {
  dependency_.LogRegained(outage);
}

}  // namespace tarragon::gateway
