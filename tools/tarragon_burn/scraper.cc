#include "scraper.h"

#include <utility>

#include <httplib.h>
#include "tarragon/base/log.h"
#include "tarragon/burn/exposition.h"

namespace tarragon::burn {

scraper::scraper(std::vector<std::string> entries,
                 std::vector<std::string> metrics,
                 std::chrono::milliseconds timeout,
                 const clock& time)
    : entries_(std::move(entries)), metrics_(std::move(metrics)), timeout_(timeout), time_(time) {}

std::vector<sample> scraper::Scrape() const {
  std::vector<sample> samples;
  for (const std::string& entry : entries_) {
    httplib::Client client("http://" + entry);
    client.set_connection_timeout(timeout_);
    client.set_read_timeout(timeout_);
    const auto answer = client.Get("/metrics");
    if (answer && answer->status == 200) {
      samples.push_back({time_.WallNow(), entry, FilterMetrics(answer->body, metrics_)});
    } else {
      LogEvent("scrape_failed", {{"entry", entry}});
    }
  }
  return samples;
}

}  // namespace tarragon::burn
