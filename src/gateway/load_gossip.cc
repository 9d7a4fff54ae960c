#include "tarragon/gateway/load_gossip.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <span>
#include <utility>

#include "gateway/datagram.h"
#include "gateway/load_serialization.h"
#include "gateway/version_serialization.h"
#include "tarragon/base/hash.h"
#include "tarragon/gateway/crash_message.h"
#include "tarragon/gateway/evidence_message.h"
#include "tarragon/gateway/load_relay.h"
#include "tarragon/gateway/socket_options.h"

namespace tarragon::routing {

template <class Archive>
void serialize(Archive& archive, peer_report& report) {
  archive(report.daemon, report.started_unix_ms, report.sequence, report.endpoints,
          report.departures);
}

template <class Archive>
void serialize(Archive& archive, endpoint_departure& departure) {
  archive(departure.endpoint_hash, departure.row_version);
}

}  // namespace tarragon::routing

namespace tarragon::gateway {

namespace {

/** Checksum seed; must change with the datagram format. */
constexpr std::uint64_t kFormat = 0x74676c36;

}  // namespace

std::string EncodeReport(const routing::peer_report& report) {
  return EncodeDatagram(report, kFormat);
}

std::optional<routing::peer_report> DecodeReport(std::string_view datagram) {
  return DecodeDatagram<routing::peer_report>(datagram, kFormat);
}

load_gossip::load_gossip(asio::io_context& loop, gateway_state& gateway)
    : gateway_(gateway), socket_(loop), timer_(loop), report_timer_(loop), evidence_timer_(loop) {}

bool load_gossip::Open(const std::string& address, std::int64_t started_unix_ms) {
  const auto target = ParseAddress(address);
  if (!target) {
    return false;
  }
  started_unix_ms_ = started_unix_ms;
  asio::error_code error;
  socket_.open(asio::ip::udp::v4(), error);
  if (!error) {
    socket_.bind({target->address(), target->port()}, error);
  }
  if (error) {
    return false;
  }
  socket_.non_blocking(true, error);
  Receive();
  ScheduleTick();
  return true;
}

void load_gossip::Close() {
  timer_.cancel();
  report_timer_.cancel();
  evidence_timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
}

void load_gossip::SetPeers(const std::vector<std::string>& addresses) {
  peers_.clear();
  for (const std::string& address : addresses) {
    if (const auto target = ParseAddress(address)) {
      peers_.emplace_back(target->address(), target->port());
    }
  }
}

void load_gossip::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_, [this](const asio::error_code& error, std::size_t size) {
        if (!socket_.is_open()) {
          return;
        }
        if (!error) {
          gateway_.RunGuarded("datagram", [this, size] { OnDatagram({buffer_.data(), size}); });
        }
        Receive();
      });
}

void load_gossip::OnDatagram(std::string_view datagram) {
  const time_point now = gateway_.time.Now();
  if (const auto records = DecodeCrashRecords(datagram)) {
    gateway_.quarantine.Merge(now, *records);
    return;
  }
  if (const auto statements = DecodeEvidence(datagram)) {
    gateway_.MergeEvidence(*statements);
    return;
  }
  const auto report = DecodeReport(datagram);
  if (report && report->daemon != gateway_.own_vm && loads_.RecordReport(now, *report)) {
    ApplyLoads();
    for (const routing::endpoint_departure& departure : report->departures) {
      gateway_.endpoints.MarkLeaving(now, departure.endpoint_hash, departure.row_version);
    }
  }
}

void load_gossip::ScheduleTick() {
  timer_.expires_after(kReportInterval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (error) {
      return;
    }
    gateway_.RunGuarded("gossip", [this] { Tick(); });
    ScheduleTick();
  });
}

void load_gossip::Tick() {
  loads_.DropExpired(gateway_.time.Now());
  ApplyLoads();
  SendReport();
  SendCrashRecords();
  SendEvidence();
}

void load_gossip::ApplyLoads() {
  if (carries_loads_) {
    loads_.Apply(gateway_.time.Now(), gateway_.endpoints);
  }
}

void load_gossip::OnEndpointLeaving(const routing::endpoint& endpoint) {
  departures_.push_back({{Hash64(endpoint.entry.id), endpoint.row_version}, gateway_.time.Now()});
  ScheduleReport();
}

void load_gossip::ScheduleReport() {
  if (peers_.empty() || std::exchange(report_scheduled_, true)) {
    return;
  }
  report_timer_.expires_after(kBatchDelay);
  report_timer_.async_wait([this](const asio::error_code& error) {
    report_scheduled_ = false;
    if (!error) {
      SendReport();
    }
  });
}

void load_gossip::ScheduleEvidence() {
  if (peers_.empty() || std::exchange(evidence_scheduled_, true)) {
    return;
  }
  evidence_timer_.expires_after(kBatchDelay);
  evidence_timer_.async_wait([this](const asio::error_code& error) {
    evidence_scheduled_ = false;
    if (!error) {
      SendEvidence();
    }
  });
}

void load_gossip::SendEvidence() {
  if (!peers_.empty() && gateway_.evidence.HasUnsentChanges()) {
    SendToSome(EncodeEvidence(gateway_.evidence.TakeChanges(gateway_.time.Now(), kMaxStatements)),
               kFanOut);
  }
}

routing::peer_report load_gossip::OwnReport() {
  routing::peer_report report;
  report.daemon = gateway_.own_vm;
  report.started_unix_ms = started_unix_ms_;
  AddDepartures(report);
  if (!carries_loads_) {
    return report;
  }
  // Endpoints with load come first. Measurements of idle endpoints fill the rest of the datagram,
  // round robin if they do not all fit.
  const time_point now = gateway_.time.Now();
  const auto is_loaded = [now](const routing::endpoint& known) {
    return known.own_load != routing::endpoint_load{} || known.limit.statement().revision > 0 ||
           known.limit.OwnSends(now) > 0;
  };
  const auto& all = gateway_.endpoints.all();
  for (const routing::endpoint_ptr& known : all | std::views::values) {
    if (is_loaded(*known) && report.endpoints.size() < kMaxEndpoints) {
      report.endpoints.push_back(MakeLoadReport(now, *known));
    }
  }
  loaded_endpoint_count_ = report.endpoints.size();
  auto next = all.upper_bound(last_idle_endpoint_);
  for (std::size_t seen = 0; seen < all.size() && report.endpoints.size() < kMaxEndpoints; ++seen) {
    next = next == all.end() ? all.begin() : next;
    const routing::endpoint& known = *next->second;
    if (!is_loaded(known) && (known.slowness.OwnMinimum() || known.event_interval.OwnEstimate())) {
      report.endpoints.push_back(MakeLoadReport(now, known));
      last_idle_endpoint_ = next->first;
    }
    ++next;
  }
  return report;
}

void load_gossip::AddDepartures(routing::peer_report& report) {
  std::erase_if(departures_, [now = gateway_.time.Now()](const known_departure& known) {
    return known.announced_at + kDepartureLifetime < now;
  });
  for (const known_departure& known : departures_) {
    if (report.departures.size() < kMaxDepartures) {
      report.departures.push_back(known.departure);
    }
  }
}

void load_gossip::SendReport() {
  if (peers_.empty()) {
    return;
  }
  routing::peer_report report = OwnReport();
  if (!carries_loads_ && report.departures.empty()) {
    return;
  }
  const time_point now = gateway_.time.Now();
  const auto loaded = std::span(report.endpoints).first(loaded_endpoint_count_);
  const bool changed = !std::ranges::equal(loaded, last_sent_, [](const auto& a, const auto& b) {
    return a.endpoint_hash == b.endpoint_hash && a.load == b.load &&
           a.recent_sends == b.recent_sends && a.limit == b.limit;
  });
  if (!changed && now < last_sent_at_ + kRepeatInterval) {
    return;
  }
  report.sequence = ++sequence_;
  last_sent_.assign(loaded.begin(), loaded.end());
  last_sent_at_ = now;
  SendToSome(EncodeReport(report), kFanOut);
}

void load_gossip::SendCrashRecords() {
  const time_point now = gateway_.time.Now();
  if (gateway_.quarantine.HasUnsentChanges()) {
    const auto changes = gateway_.quarantine.TakeChanges(now, kMaxCrashRecords);
    if (!changes.empty()) {
      SendToSome(EncodeCrashRecords(changes), kFanOut);
    }
  }
  if (now >= quarantine_repeated_at_ + kQuarantineRepeatInterval) {
    quarantine_repeated_at_ = now;
    const auto known = gateway_.quarantine.QuarantineRecords(now, kMaxCrashRecords);
    if (!known.empty()) {
      SendToSome(EncodeCrashRecords(known), kQuarantineRepeatFanOut);
    }
  }
}

void load_gossip::SendToSome(const std::string& datagram, std::size_t count) {
  std::vector<asio::ip::udp::endpoint> receivers;
  std::ranges::sample(peers_, std::back_inserter(receivers), count, gateway_.random);
  for (const asio::ip::udp::endpoint& receiver : receivers) {
    asio::error_code ignored;  // A failed send counts as a lost datagram.
    socket_.send_to(asio::buffer(datagram), receiver, 0, ignored);
  }
}

}  // namespace tarragon::gateway
