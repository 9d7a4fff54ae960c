#include "emulator/store_emulator.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "base64.h"
#include "tarragon/gateway/version_announcements.h"

namespace tarragon::emulator {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusGone = 410;
constexpr int kStatusConflict = 412;
constexpr int kStatusUnavailable = 503;

std::int64_t SteadyMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/** @return name under which the rows of a table's partition are kept. */
std::string PartitionName(const std::string& table, const std::string& part) {
  return part.empty() ? table : table + '\n' + part;
}

std::uint64_t ParseNumberOrZero(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

store_emulator::store_emulator(asio::io_context& loop)
    : loop_(loop), service_(loop, [this](const auto& request, const auto& response) {
        Handle(request, response, nullptr);
      }) {}

void store_emulator::Write(const std::string& table, const std::string& key, row value) {
  value.version = version_;
  tables_[table][key] = std::move(value);
}

void store_emulator::Put(const std::string& table,
                         const std::string& key,
                         const std::string& value) {
  ++version_;
  Write(table, key, {.value = value});
  AnswerWaitingFeeds();
}

void store_emulator::Remove(const std::string& table, const std::string& key) {
  ++version_;
  Write(table, key, {.value = {}, .version = 0, .deleted = true});
  AnswerWaitingFeeds();
}

void store_emulator::Respond(const responder_ptr& response,
                             int status,
                             std::string_view body) const {
  response->SendWhole(status, {{"Store-Era", std::to_string(era_)}}, body);
}

void store_emulator::MakeCopy() {
  copy_ = {tables_, version_};
}

void store_emulator::RestoreCopy() {
  const auto lost = std::exchange(tables_, copy_.tables);
  version_ = copy_.version;
  oldest_feed_version_ = std::min(oldest_feed_version_, version_);
  ++era_;
  std::ranges::for_each(waiting_feeds_, [](const waiting_feed& feed) { feed.response->Reset(); });
  waiting_feeds_.clear();
  for (const char* table : {"op", "servers"}) {
    if (const auto found = lost.find(table); found != lost.end()) {
      WriteAgain(table, found->second);
    }
  }
}

void store_emulator::WriteAgain(const std::string& table, const std::map<std::string, row>& lost) {
  for (const auto& [key, last] : lost) {
    const auto known = tables_[table].find(key);
    const bool has_row = known != tables_[table].end() && !known->second.deleted;
    const bool is_same = last.deleted ? !has_row : has_row && known->second.value == last.value;
    if (!is_same) {
      ++version_;
      Write(table, key, last);
    }
  }
}

std::string store_emulator::AddView(row_rewriter rewrite) {
  view& added = views_.emplace_back(view{.rewrite = std::move(rewrite), .service = {}});
  added.service = std::make_unique<http_service>(
      loop_, [this, &added](const auto& request, const auto& response) {
        Handle(request, response, &added);
      });
  return added.service->address();
}

std::size_t store_emulator::CountDaemons() const {
  const auto found = tables_.find("daemons");
  const auto is_daemon = [](const auto& entry) {
    return !entry.second.deleted && !entry.first.starts_with(gateway::kAnnouncementPrefix);
  };
  return found == tables_.end()
             ? 0
             : static_cast<std::size_t>(std::ranges::count_if(found->second, is_daemon));
}

std::size_t store_emulator::CountStreamRecords() const {
  const auto found = tables_.find(PartitionName("streams", "streams"));
  return found == tables_.end() ? 0 : found->second.size();
}

void store_emulator::Handle(const incoming_request& request,
                            const responder_ptr& response,
                            const view* seen_by) {
  ++call_count_;
  switch (state_) {
    case store_state::kServing:
      break;
    case store_state::kBusy:
      Respond(response, kStatusUnavailable, "");
      return;
    case store_state::kResetting:
      response->Reset();
      return;
    case store_state::kSilent:
      return;
  }
  const std::string path = request.Path();
  if (path == "/tarragondyke/rows-get") {
    HandleRowsGet(request, response, seen_by);
  } else if (path == "/tarragondyke/rows-feed") {
    HandleRowsFeed(request, response, seen_by);
  } else if (path == "/tarragondyke/rows-tx") {
    HandleRowsTransaction(request, response);
  } else {
    Respond(response, kStatusNotFound, "");
  }
}

nlohmann::json store_emulator::MakePage(const std::string& table,
                                        const page_filter& filter,
                                        const view* seen_by) const {
  nlohmann::json rows = nlohmann::json::array();
  if (const auto found = tables_.find(PartitionName(table, filter.part)); found != tables_.end()) {
    for (const auto& [key, row] : found->second) {
      const bool is_wanted = row.version > filter.after && (!row.deleted || filter.with_deleted) &&
                             key >= filter.from && (filter.to.empty() || key < filter.to);
      if (!is_wanted) {
        continue;
      }
      nlohmann::json item = {
          {"table", table}, {"part", filter.part}, {"key", key}, {"ver", row.version}};
      if (row.deleted) {
        item["tombstone"] = true;
      } else {
        item["value"] = platform::EncodeBase64(
            seen_by != nullptr ? seen_by->rewrite(table, row.value) : row.value);
      }
      rows.push_back(std::move(item));
    }
  }
  return {{"rows", std::move(rows)},
          {"more-pages", false},
          {"ver", version_},
          {"now-ms", SteadyMilliseconds()}};
}

void store_emulator::HandleRowsGet(const incoming_request& request,
                                   const responder_ptr& response,
                                   const view* seen_by) {
  Respond(response, kStatusOk,
          MakePage(request.Query("table"),
                   {.part = request.Query("part"),
                    .from = request.Query("from"),
                    .to = request.Query("to"),
                    .after = 0,
                    .with_deleted = false},
                   seen_by)
              .dump());
}

store_emulator::page_filter store_emulator::FeedFilter(std::uint64_t after) {
  return {.part = {}, .from = {}, .to = {}, .after = after, .with_deleted = true};
}

void store_emulator::HandleRowsFeed(const incoming_request& request,
                                    const responder_ptr& response,
                                    const view* seen_by) {
  const std::string table = request.Query("table");
  const std::uint64_t after = ParseNumberOrZero(request.Query("after"));
  if (after < oldest_feed_version_ || after > version_) {
    Respond(response, kStatusGone, "{}");
    return;
  }
  nlohmann::json page = MakePage(table, FeedFilter(after), seen_by);
  const auto wait = std::chrono::milliseconds(ParseNumberOrZero(request.Query("wait-ms")));
  if (!page["rows"].empty() || wait.count() == 0) {
    Respond(response, kStatusOk, page.dump());
    return;
  }
  auto timeout = std::make_shared<asio::steady_timer>(loop_, wait);
  waiting_feeds_.push_back({seen_by, table, after, response, timeout});
  timeout->async_wait([this, timeout](const asio::error_code& error) {
    const auto expired = std::ranges::find(waiting_feeds_, timeout,
                                           [](const waiting_feed& feed) { return feed.timeout; });
    if (!error && expired != waiting_feeds_.end()) {
      Respond(expired->response, kStatusOk,
              MakePage(expired->table, FeedFilter(expired->after), expired->seen_by).dump());
      waiting_feeds_.erase(expired);
    }
  });
}

void store_emulator::AnswerWaitingFeeds() {
  waiting_feeds_.remove_if([this](const waiting_feed& feed) {
    const nlohmann::json page = MakePage(feed.table, FeedFilter(feed.after), feed.seen_by);
    if (state_ != store_state::kServing || page["rows"].empty()) {
      return feed.response->is_closed();
    }
    Respond(feed.response, kStatusOk, page.dump());
    return true;
  });
}

void store_emulator::HandleRowsTransaction(const incoming_request& request,
                                           const responder_ptr& response) {
  const nlohmann::json call = nlohmann::json::parse(request.body, nullptr, false);
  const auto current_version = [this](const nlohmann::json& item) -> std::uint64_t {
    const row& current = tables_[PartitionName(item["table"], item["part"])][item["key"]];
    return current.deleted ? 0 : current.version;
  };
  const nlohmann::json& conditions = call["expected-rev"];
  const bool conditions_hold = std::ranges::all_of(
      conditions, [&](const auto& item) { return current_version(item) == item["ver"]; });
  if (!conditions_hold) {
    Respond(response, kStatusConflict,
            nlohmann::json{{"ver", version_}, {"now-ms", SteadyMilliseconds()}}.dump());
    return;
  }
  ++version_;
  for (const nlohmann::json& item : call["set-keys"]) {
    Write(PartitionName(item["table"], item["part"]), item["key"],
          {platform::DecodeBase64(std::string(item["value"])).value()});
  }
  for (const nlohmann::json& item : call["remove"]) {
    Write(PartitionName(item["table"], item["part"]), item["key"],
          {.value = {}, .version = 0, .deleted = true});
  }
  Respond(response, kStatusOk,
          nlohmann::json{{"ver", version_}, {"now-ms", SteadyMilliseconds()}}.dump());
  AnswerWaitingFeeds();
}

}  // namespace tarragon::emulator
