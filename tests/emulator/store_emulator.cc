#include "emulator/store_emulator.h"

#include <algorithm>
#include <utility>

#include "base64.h"

namespace tarragon::emulator {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kConflict = 412;
constexpr int kUnavailable = 503;

std::uint64_t ToNumber(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

store_emulator::store_emulator(asio::io_context& loop)
    : loop_(loop),
      service_(loop, [this](const auto& request, const auto& answer) { Handle(request, answer); }) {
}

void store_emulator::Write(const std::string& table, const std::string& key, row value) {
  value.version = version_;
  tables_[table][key] = std::move(value);
}

void store_emulator::Put(const std::string& table,
                         const std::string& key,
                         const std::string& value) {
  ++version_;
  Write(table, key, {.value = value});
  AnswerWaiting();
}

void store_emulator::Remove(const std::string& table, const std::string& key) {
  ++version_;
  Write(table, key, {.value = {}, .version = 0, .deleted = true});
  AnswerWaiting();
}

std::size_t store_emulator::RowCount(const std::string& table) const {
  const auto found = tables_.find(table);
  return found == tables_.end()
             ? 0
             : static_cast<std::size_t>(std::ranges::count_if(
                   found->second, [](const auto& entry) { return !entry.second.deleted; }));
}

void store_emulator::Handle(const incoming_request& request, const responder_ptr& answer) {
  switch (state_) {
    case store_state::kServing:
      break;
    case store_state::kBusy:
      answer->Whole(kUnavailable, {}, "");
      return;
    case store_state::kResetting:
      answer->Reset();
      return;
    case store_state::kSilent:
      return;
  }
  const std::string path = request.Path();
  if (path == "/tarragondyke/rows-get") {
    Read(request, answer);
  } else if (path == "/tarragondyke/rows-feed") {
    Follow(request, answer);
  } else if (path == "/tarragondyke/rows-tx") {
    Transact(request, answer);
  } else {
    answer->Whole(kNotFound, {}, "");
  }
}

nlohmann::json store_emulator::Page(const std::string& table,
                                    std::uint64_t after,
                                    bool with_deleted) const {
  nlohmann::json rows = nlohmann::json::array();
  if (const auto found = tables_.find(table); found != tables_.end()) {
    for (const auto& [key, row] : found->second) {
      if (row.version <= after || (row.deleted && !with_deleted)) {
        continue;
      }
      nlohmann::json item = {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
      if (row.deleted) {
        item["tombstone"] = true;
      } else {
        item["value"] = platform::EncodeBase64(row.value);
      }
      rows.push_back(std::move(item));
    }
  }
  return {{"rows", std::move(rows)}, {"more-pages", false}, {"ver", version_}, {"now-ms", 1}};
}

void store_emulator::Read(const incoming_request& request, const responder_ptr& answer) {
  answer->Whole(kOk, {}, Page(request.Query("table"), 0, false).dump());
}

void store_emulator::Follow(const incoming_request& request, const responder_ptr& answer) {
  const std::string table = request.Query("table");
  const std::uint64_t after = ToNumber(request.Query("after"));
  if (after < oldest_) {
    answer->Whole(kGone, {}, "{}");
    return;
  }
  nlohmann::json page = Page(table, after, true);
  const auto wait = std::chrono::milliseconds(ToNumber(request.Query("wait-ms")));
  if (!page["rows"].empty() || wait.count() == 0) {
    answer->Whole(kOk, {}, page.dump());
    return;
  }
  auto limit = std::make_shared<asio::steady_timer>(loop_, wait);
  waiting_.push_back({table, after, answer, limit});
  limit->async_wait([this, limit](const asio::error_code& error) {
    const auto expired =
        std::ranges::find(waiting_, limit, [](const waiting_feed& feed) { return feed.limit; });
    if (!error && expired != waiting_.end()) {
      expired->answer->Whole(kOk, {}, Page(expired->table, expired->after, true).dump());
      waiting_.erase(expired);
    }
  });
}

void store_emulator::AnswerWaiting() {
  waiting_.remove_if([this](const waiting_feed& feed) {
    const nlohmann::json page = Page(feed.table, feed.after, true);
    if (state_ != store_state::kServing || page["rows"].empty()) {
      return feed.answer->closed();
    }
    feed.answer->Whole(kOk, {}, page.dump());
    return true;
  });
}

void store_emulator::Transact(const incoming_request& request, const responder_ptr& answer) {
  const nlohmann::json call = nlohmann::json::parse(request.body, nullptr, false);
  const auto version_of = [this](const nlohmann::json& item) -> std::uint64_t {
    const row& known = tables_[item["table"]][item["key"]];
    return known.deleted ? 0 : known.version;
  };
  const nlohmann::json& conditions = call["expected-rev"];
  const bool holds = std::ranges::all_of(
      conditions, [&](const auto& item) { return version_of(item) == item["ver"]; });
  if (!holds) {
    answer->Whole(kConflict, {}, nlohmann::json{{"ver", version_}, {"now-ms", 1}}.dump());
    return;
  }
  ++version_;
  for (const nlohmann::json& item : call["set-keys"]) {
    Write(item["table"], item["key"], {platform::DecodeBase64(std::string(item["value"])).value()});
  }
  for (const nlohmann::json& item : call["remove"]) {
    Write(item["table"], item["key"], {.value = {}, .version = 0, .deleted = true});
  }
  answer->Whole(kOk, {}, nlohmann::json{{"ver", version_}, {"now-ms", 1}}.dump());
  AnswerWaiting();
}

}  // namespace tarragon::emulator
