#include "tarragon/gateway/table_watcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>

namespace tarragon::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kHistoryGone = 410;

std::chrono::milliseconds SinceStart(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               start);
}

std::string FailureReason(const store_call_result& result) {
  return result ? fmt::format("store returned status {}", result.value().status)
                : std::string(store::ToString(result.error()));
}

}  // namespace

table_watcher::table_watcher(asio::io_context& loop,
                             const platform_adapter& adapter,
                             store_channel& channel,
                             std::string table,
                             table_listener& listener,
                             watch_options options,
                             std::uint64_t seed)
    : adapter_(adapter),
      channel_(channel),
      table_(std::move(table)),
      listener_(listener),
      options_(options),
      timer_(loop),
      random_(seed),
      backoff_(options.initial_backoff, options.max_backoff) {}

void table_watcher::Start(const routing::store_version& known_version) {
  if (std::exchange(running_, true)) {
    return;
  }
  ++wait_number_;
  connected_ = false;
  backoff_.Reset();
  version_ = std::max(version_, known_version);
  loaded_ = loaded_ || known_version > routing::store_version();
  Retry();
}

void table_watcher::SetPace(const routing::store_pace& pace) {
  options_.wait = pace.wait;
  backoff_.SetMax(pace.max_backoff);
}

void table_watcher::Stop() {
  if (!std::exchange(running_, false)) {
    return;
  }
  outage_reported_ = false;
  is_backing_off_ = false;
  timer_.cancel();
  channel_.Cancel();
}

void table_watcher::ScheduleAfter(std::chrono::milliseconds delay, void (table_watcher::*next)()) {
  timer_.expires_after(delay);
  timer_.async_wait([this, next, wait = ++wait_number_](const asio::error_code& error) {
    // The handler of an earlier wait may have been queued before its cancellation.
    if (!error && running_ && wait == wait_number_) {
      (this->*next)();
    }
  });
}

void table_watcher::HandleResult(store_call_result result,
                                 void (table_watcher::*handle)(store_call_result)) {
  try {
    (this->*handle)(std::move(result));
  } catch (const std::exception& error) {
    // What the listener has applied is unknown, so that the table is read again.
    loaded_ = false;
    OnCallFailed(error.what());
  }
}

bool table_watcher::IsFromLaterEra(const store_response& response) const {
  return response.era > version_.era;
}

void table_watcher::Load() {
  page_rows_.clear();
  page_position_.reset();
  LoadPage({});
}

void table_watcher::LoadPage(const std::string& from) {
  Call(adapter_.ReadTableCall(table_, from), options_.response_timeout, &table_watcher::OnPage);
}

void table_watcher::Call(service_call call,
                         std::chrono::milliseconds timeout,
                         void (table_watcher::*handle)(store_call_result)) {
  call_started_ = std::chrono::steady_clock::now();
  channel_.Call(std::move(call), timeout, [this, handle](store_call_result result) {
    if (running_) {
      HandleResult(std::move(result), handle);
    }
  });
}

void table_watcher::OnPage(store_call_result result) {
  if (!result || result.value().status != kOk) {
    OnCallFailed(FailureReason(result));
    return;
  }
  decode_result<table_page> page = adapter_.DecodePage(result.value().body, result.value().era);
  if (!page) {
    OnCallFailed(page.error().message);
    return;
  }
  if (page_position_ && page_position_->version.era != page.value().version.era) {
    // The store has returned from a copy between two pages.
    Load();
    return;
  }
  // The feed starts at the oldest page's version, and so repeats changes made between the pages.
  if (!page_position_ || page.value().version < page_position_->version) {
    page_position_ = {page.value().version, page.value().store_time};
  }
  std::ranges::move(page.value().rows, std::back_inserter(page_rows_));
  if (page.value().more && !page_rows_.empty()) {
    LoadPage(page_rows_.back().key + '\0');
    return;
  }
  FinishLoad();
}

void table_watcher::FinishLoad() {
  if (loaded_ && page_position_->version < version_) {
    listener_.OnStaleRead(version_, page_position_->version);
    // A read may lag behind the feed; a stale table must not replace a newer one.
    ScheduleAfter(options_.stale_read_delay, &table_watcher::Load);
    return;
  }
  loaded_ = true;
  version_ = page_position_->version;
  OnCallSucceeded();
  listener_.OnTable(page_rows_, *page_position_);
  page_rows_.clear();
  if (running_) {
    Watch();
  }
}

void table_watcher::Watch() {
  last_feed_ = std::chrono::steady_clock::now();
  // The first call after a failure does not wait, so that the end of an outage is seen at once.
  const std::chrono::milliseconds wait = connected_ ? options_.wait : std::chrono::milliseconds(0);
  Call(adapter_.WatchTableCall(table_, version_.number, wait), wait + options_.response_timeout,
       &table_watcher::OnFeed);
}

void table_watcher::OnFeed(store_call_result result) {
  if (result && result.value().status == kHistoryGone) {
    Load();
    return;
  }
  if (!result || result.value().status != kOk) {
    OnCallFailed(FailureReason(result));
    return;
  }
  const decode_result<table_page> page =
      adapter_.DecodePage(result.value().body, result.value().era);
  if (!page) {
    OnCallFailed(page.error().message);
    return;
  }
  if (result.value().era < version_.era) {
    OnCallFailed("the response is from an earlier era of the store");
    return;
  }
  if (IsFromLaterEra(result.value())) {
    // The feed started at a version of the earlier era, so that it may lack rows.
    Load();
    return;
  }
  OnCallSucceeded();
  version_ = std::max(version_, page.value().version);
  listener_.OnChanges(page.value().rows, {version_, page.value().store_time});
  if (!running_) {
    return;
  }
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - last_feed_);
  if (since < options_.min_interval) {
    ScheduleAfter(options_.min_interval - since, &table_watcher::Watch);
  } else {
    Watch();
  }
}

void table_watcher::OnCallFailed(std::string_view reason) {
  connected_ = false;
  if (!std::exchange(outage_reported_, true)) {
    listener_.OnStoreLost(reason);
  }
  const std::chrono::milliseconds elapsed = SinceStart(call_started_);
  unanswered_at_ = std::chrono::steady_clock::now();
  if (elapsed >= options_.response_timeout) {
    unanswered_at_ -= options_.response_timeout;
  }
  outage_.last_wait = std::max(std::chrono::milliseconds(0), backoff_.Next(random_) - elapsed);
  ++outage_.failed_calls;
  is_backing_off_ = true;
  ScheduleAfter(outage_.last_wait, &table_watcher::Retry);
}

void table_watcher::Retry() {
  is_backing_off_ = false;
  if (loaded_) {
    Watch();
  } else {
    Load();
  }
}

void table_watcher::RetryNow() {
  if (!is_backing_off_) {
    return;
  }
  ++wait_number_;
  timer_.cancel();
  Retry();
}

void table_watcher::OnCallSucceeded() {
  connected_ = true;
  backoff_.Reset();
  store_outage ended = std::exchange(outage_, {});
  if (std::exchange(outage_reported_, false)) {
    ended.max_time_back = SinceStart(unanswered_at_);
    listener_.OnStoreRegained(ended);
    if (on_regained_) {
      on_regained_();
    }
  }
}

}  // namespace tarragon::gateway
