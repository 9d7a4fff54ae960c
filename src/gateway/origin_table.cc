#include "tarragon/gateway/origin_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "tarragon/gateway/daemon_table.h"

namespace tarragon::gateway {

namespace {

constexpr int kOk = 200;

/** Entries that the store takes in one transaction. */
constexpr std::size_t kMaxEntries = 100;
/** Share of the store's transactions per second and partition that all daemons use for records. */
constexpr int kFleetWritesPerSecond = 150;
/** Shortest delay of a scheduled update. */
constexpr std::chrono::milliseconds kMinUpdateDelay{5};
/** Rows that are erased without a record to write, while further records are expected. */
constexpr std::size_t kMinErasedAlone = 50;
constexpr std::chrono::milliseconds kCallTimeout{800};
constexpr std::chrono::milliseconds kRetryDelay{150};
/** A caller waits for the answer to its take-up. */
constexpr std::chrono::milliseconds kMaxLookupTime{1000};
/** Time for each daemon over which the same writes of all daemons are spread. */
constexpr std::chrono::milliseconds kSpread{20};

std::string RecordPrefix(routing::stream_key key) {
  return fmt::format("{:016x}/", key.value);
}

std::string RecordKey(const routing::stream_origin& origin) {
  return RecordPrefix(origin.key) + AnnouncementKey(origin.version);
}

/** @return the versions that the rows name; empty if a row cannot be read. */
std::optional<std::vector<routing::software_version>> ReadVersions(
    const std::vector<table_row>& rows) {
  std::vector<routing::software_version> versions;
  for (const table_row& row : rows) {
    std::optional<routing::software_version> version = DecodeVersion(row.value);
    if (!version) {
      return std::nullopt;
    }
    versions.push_back(*std::move(version));
  }
  return versions;
}

}  // namespace

origin_table::origin_table(asio::io_context& loop,
                           gateway_state& gateway,
                           store_channel& writes,
                           store_channel& reads)
    : gateway_(gateway), writes_(writes), reads_(reads), timer_(loop) {}

duration origin_table::WriteInterval() const {
  return std::chrono::milliseconds(1000) * static_cast<std::int64_t>(gateway_.daemons) /
         kFleetWritesPerSecond;
}

void origin_table::ScheduleUpdate(duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      gateway_.RunGuarded("stream_origins", [this] { Update(); });
    }
  });
}

bool origin_table::HasWaited(time_point now, std::optional<time_point>& until) {
  if (!until) {
    std::uniform_int_distribution<duration::rep> spread(
        0, duration(kSpread * static_cast<std::int64_t>(gateway_.daemons)).count());
    until = now + duration(spread(gateway_.random));
  }
  return now >= *until;
}

bool origin_table::MayAnnounce(time_point now) {
  if (gateway_.versions.Unannounced().empty()) {
    announce_at_.reset();
    return false;
  }
  return HasWaited(now, announce_at_);
}

bool origin_table::MayWithdraw(time_point now) {
  if (gateway_.versions.Expired(now).empty()) {
    withdraw_at_.reset();
    return false;
  }
  return HasWaited(now, withdraw_at_);
}

origin_table::write_batch origin_table::MakeBatch(time_point now) {
  write_batch batch;
  if (MayAnnounce(now)) {
    batch.announced = gateway_.versions.Unannounced();
    return batch;
  }
  if (now < next_record_write_) {
    return batch;
  }
  batch.written = gateway_.origins.Unwritten(kMaxEntries);
  const std::size_t min_erased_alone = gateway_.HasMixedServices() ? kMinErasedAlone : 1;
  if (!batch.written.empty() || gateway_.origins.obsolete_count() >= min_erased_alone) {
    batch.erased = gateway_.origins.Obsolete(kMaxEntries - batch.written.size());
  }
  return batch;
}

service_call origin_table::MakeCall(const write_batch& batch) const {
  table_change change;
  if (!batch.announced.empty()) {
    change.table = daemon_table::kTable;
    for (const routing::software_version& version : batch.announced) {
      change.rows.push_back({AnnouncementKey(version), EncodeVersion(version)});
    }
    return gateway_.adapter.ChangeRowsCall(change);
  }
  change.table = kTable;
  change.partition = kPartition;
  for (const routing::stream_origin& origin : batch.written) {
    change.rows.push_back({RecordKey(origin), EncodeVersion(origin.version)});
  }
  std::ranges::transform(batch.erased, std::back_inserter(change.removed), RecordKey);
  return gateway_.adapter.ChangeRowsCall(change);
}

void origin_table::Update() {
  const time_point now = gateway_.time.Now();
  gateway_.versions.Apply(now, gateway_.endpoints);
  if (is_writing_ || !gateway_.versions.is_loaded()) {
    return;
  }
  write_batch batch = MakeBatch(now);
  if (!batch.empty()) {
    Write(std::move(batch));
    return;
  }
  if (MayWithdraw(now)) {
    withdraw_at_.reset();
    Withdraw(gateway_.versions.Expired(now).front());
    return;
  }
  if (announce_at_) {
    ScheduleUpdate(*announce_at_ - now);
  } else if (gateway_.origins.unwritten_count() > 0) {
    ScheduleUpdate(std::max<duration>(next_record_write_ - now, kMinUpdateDelay));
  }
}

void origin_table::Write(write_batch batch) {
  is_writing_ = true;
  if (batch.announced.empty()) {
    next_record_write_ = gateway_.time.Now() + WriteInterval();
  }
  service_call call = MakeCall(batch);
  gateway_.counters.Counter("tarragon_gateway_origin_writes_total").Add();
  writes_.Call(std::move(call), kCallTimeout,
               [this, batch = std::move(batch)](const store_call_result& result) {
                 gateway_.RunGuarded("stream_origins", [&] { OnWritten(batch, result); });
               });
}

void origin_table::OnWritten(const write_batch& batch, const store_call_result& result) {
  is_writing_ = false;
  if (!result || result.value().status != kOk) {
    // The write may have been made; it has the same effect when it is repeated.
    gateway_.counters.Counter("tarragon_gateway_origin_write_failures_total").Add();
    ScheduleUpdate(kRetryDelay);
    return;
  }
  const time_point now = gateway_.time.Now();
  for (const routing::software_version& version : batch.announced) {
    gateway_.versions.OnAnnounced(now, version);
    gateway_.log.LogState(
        "version_announced",
        {{"service", version.service}, {"version", version.version}, {"own", true}});
  }
  gateway_.origins.OnWritten(batch.written);
  gateway_.origins.OnErased(batch.erased);
  Update();
}

void origin_table::Withdraw(const routing::software_version& version) {
  is_writing_ = true;
  const std::string key = AnnouncementKey(version);
  writes_.Call(gateway_.adapter.ReadRangeCall({daemon_table::kTable, {}, key, key + '\0'}),
               kCallTimeout, [this, version](const store_call_result& result) {
                 gateway_.RunGuarded("stream_origins", [&] { OnVersionRead(version, result); });
               });
}

void origin_table::OnVersionRead(const routing::software_version& version,
                                 const store_call_result& result) {
  is_writing_ = false;
  const decode_result<table_page> page = Decode(result, {});
  if (!page) {
    ScheduleUpdate(kRetryDelay);
    return;
  }
  if (page.value().rows.empty()) {
    gateway_.versions.OnWithdrawn(version);
    return;
  }
  is_writing_ = true;
  // If a daemon has announced the version again since it was read, the row stays.
  const table_change change{.table = daemon_table::kTable,
                            .partition = {},
                            .rows = {},
                            .removed = {page.value().rows.front().key},
                            .removed_version = page.value().rows.front().version};
  writes_.Call(gateway_.adapter.ChangeRowsCall(change), kCallTimeout,
               [this, version](const store_call_result& removal) {
                 is_writing_ = false;
                 if (removal && removal.value().status == kOk) {
                   gateway_.versions.OnWithdrawn(version);
                   gateway_.log.LogState("version_withdrawn", {{"service", version.service},
                                                               {"version", version.version}});
                 }
                 ScheduleUpdate(kRetryDelay);
               });
}

void origin_table::Find(routing::stream_key key, std::string service, callback done) {
  lookups_.push_back({key, std::move(service), std::move(done), gateway_.time.Now()});
  AskNext();
}

void origin_table::AskNext() {
  if (is_asking_ || lookups_.empty()) {
    return;
  }
  is_asking_ = true;
  const std::string prefix = RecordPrefix(lookups_.front().key);
  gateway_.counters.Counter("tarragon_gateway_origin_lookups_total").Add();
  reads_.Call(gateway_.adapter.ReadRangeCall(
                  {kTable, kPartition, prefix, prefix.substr(0, prefix.size() - 1) + '0'}),
              kCallTimeout, [this](const store_call_result& result) {
                gateway_.RunGuarded("stream_origins", [&] { OnRecords(result); });
              });
}

decode_result<table_page> origin_table::Decode(const store_call_result& result,
                                               std::string_view partition) const {
  if (!result || result.value().status != kOk) {
    return decode_error{"no answer"};
  }
  return gateway_.adapter.DecodePage(result.value().body, result.value().era, partition);
}

void origin_table::OnRecords(const store_call_result& result) {
  const decode_result<table_page> page = Decode(result, kPartition);
  const auto recorded = page ? ReadVersions(page.value().rows) : std::nullopt;
  if (!recorded) {
    FinishLookup(std::nullopt);
    return;
  }
  if (!recorded->empty()) {
    FinishLookup(routing::DecideTakeUp(*recorded, {}));
    return;
  }
  // The own list of versions may be older than the stream.
  reads_.Call(gateway_.adapter.ReadRangeCall(
                  {daemon_table::kTable, {}, kAnnouncementPrefix, kAnnouncementEnd}),
              kCallTimeout, [this](const store_call_result& versions) {
                gateway_.RunGuarded("stream_origins", [&] { OnVersions(versions); });
              });
}

void origin_table::OnVersions(const store_call_result& result) {
  const decode_result<table_page> page = Decode(result, {});
  auto announced = page ? ReadVersions(page.value().rows) : std::nullopt;
  if (!announced) {
    FinishLookup(std::nullopt);
    return;
  }
  const std::string& service = lookups_.front().service;
  std::erase_if(*announced, [&](const routing::software_version& version) {
    return version.service != service;
  });
  // A store that has returned from a copy may lack an announcement for a moment.
  std::ranges::copy_if(
      gateway_.versions.Known(service), std::back_inserter(*announced),
      [&](const auto& known) { return std::ranges::find(*announced, known) == announced->end(); });
  FinishLookup(routing::DecideTakeUp({}, *announced));
}

void origin_table::FinishLookup(std::optional<routing::take_up_decision> decision) {
  lookup finished = std::move(lookups_.front());
  lookups_.pop_front();
  is_asking_ = false;
  if (!decision) {
    gateway_.counters.Counter("tarragon_gateway_origin_lookup_failures_total").Add();
  }
  finished.done(std::move(decision));
  const time_point oldest = gateway_.time.Now() - kMaxLookupTime;
  while (!lookups_.empty() && lookups_.front().asked_at < oldest) {
    lookup late = std::move(lookups_.front());
    lookups_.pop_front();
    late.done(std::nullopt);
  }
  AskNext();
}

}  // namespace tarragon::gateway
