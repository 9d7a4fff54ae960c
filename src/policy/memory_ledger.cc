#include "tarragon/policy/memory_ledger.h"

#include <algorithm>
#include <functional>

#include "tarragon/base/invariant.h"

namespace tarragon::policy {

namespace {

std::uint64_t Reserved(stream_memory memory) {
  return std::uint64_t{memory.held} + memory.remaining;
}

/**
 * Peak over time of streams that are added longest remaining first. When the k-th longest ends,
 * the k longest are still there and each has grown by what the k-th had remaining.
 */
class peak_scan final {
 public:
  void Add(stream_memory memory) {
    held_ += memory.held;
    count_ += 1;
    peak_ = std::max(peak_, held_ + count_ * memory.remaining);
  }

  std::uint64_t Peak() const { return peak_; }

 private:
  std::uint64_t held_ = 0;
  std::uint64_t count_ = 0;
  std::uint64_t peak_ = 0;
};

}  // namespace

memory_ledger::account_book& memory_ledger::Book(endpoint_index endpoint) {
  if (endpoint >= books_.size()) {
    books_.resize(endpoint + 1);
  }
  return books_[endpoint];
}

const memory_ledger::account_book* memory_ledger::FindBook(endpoint_index endpoint) const {
  return endpoint < books_.size() ? &books_[endpoint] : nullptr;
}

void memory_ledger::SetEndpoint(endpoint_index endpoint,
                                std::uint64_t total,
                                std::uint64_t others_used,
                                std::uint32_t others_streams) {
  account_book& book = Book(endpoint);
  book.total = total;
  book.others_used = others_used;
  book.others_streams = others_streams;
}

std::uint64_t memory_ledger::OthersPeak(const account_book& book) const {
  const std::uint64_t mean = attempts_.empty() ? 0 : held_sum_ / attempts_.size();
  return std::max(book.others_used, book.others_streams * mean);
}

bool memory_ledger::Fits(endpoint_index endpoint, stream_memory stream) const {
  const account_book* book = FindBook(endpoint);
  if (book == nullptr || book->total == 0) {
    return true;
  }
  const std::uint64_t others = OthersPeak(*book);
  // The sum of the peaks bounds the peak from above, which settles most calls without a scan.
  if (others + book->own_peak + Reserved(stream) <= book->total) {
    return true;
  }
  peak_scan scan;
  bool added = false;
  for (const booked_stream& booked : book->streams) {
    if (!added && booked.memory.remaining <= stream.remaining) {
      scan.Add(stream);
      added = true;
    }
    scan.Add(booked.memory);
  }
  if (!added) {
    scan.Add(stream);
  }
  return others + scan.Peak() <= book->total;
}

void memory_ledger::Reserve(attempt_id attempt, endpoint_index endpoint, stream_memory stream) {
  const bool inserted = attempts_.emplace(attempt, endpoint).second;
  TARRAGON_INVARIANT(inserted, "attempt reserved twice");
  account_book& book = Book(endpoint);
  Insert(book, {attempt, stream});
  UpdatePeak(book);
}

void memory_ledger::Insert(account_book& book, booked_stream stream) {
  const auto place =
      std::ranges::upper_bound(book.streams, stream.memory.remaining, std::greater{},
                               [](const booked_stream& booked) { return booked.memory.remaining; });
  book.streams.insert(place, stream);
  book.own_held += stream.memory.held;
  held_sum_ += stream.memory.held;
}

void memory_ledger::Take(account_book& book, attempt_id attempt) {
  const auto found = std::ranges::find(book.streams, attempt, &booked_stream::attempt);
  TARRAGON_INVARIANT(found != book.streams.end(), "booked attempt not at its endpoint");
  book.own_held -= found->memory.held;
  held_sum_ -= found->memory.held;
  book.streams.erase(found);
}

void memory_ledger::UpdatePeak(account_book& book) {
  peak_scan scan;
  for (const booked_stream& booked : book.streams) {
    scan.Add(booked.memory);
  }
  book.own_peak = scan.Peak();
}

void memory_ledger::Adjust(attempt_id attempt, stream_memory stream) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  account_book& book = Book(found->second);
  Take(book, attempt);
  Insert(book, {attempt, stream});
  UpdatePeak(book);
}

void memory_ledger::Release(attempt_id attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  account_book& book = Book(found->second);
  Take(book, attempt);
  UpdatePeak(book);
  attempts_.erase(found);
}

std::uint64_t memory_ledger::Peak(endpoint_index endpoint) const {
  const account_book* book = FindBook(endpoint);
  return book == nullptr ? 0 : book->own_peak + OthersPeak(*book);
}

std::uint64_t memory_ledger::OwnHeld(endpoint_index endpoint) const {
  const account_book* book = FindBook(endpoint);
  return book == nullptr ? 0 : book->own_held;
}

std::uint64_t memory_ledger::Total(endpoint_index endpoint) const {
  const account_book* book = FindBook(endpoint);
  return book == nullptr ? 0 : book->total;
}

void memory_ledger::Validate() const {
  std::size_t streams = 0;
  std::uint64_t held_sum = 0;
  for (endpoint_index endpoint = 0; endpoint < books_.size(); ++endpoint) {
    const account_book& book = books_[endpoint];
    std::uint64_t held = 0;
    std::uint64_t sum = 0;
    std::uint64_t largest = 0;
    for (const booked_stream& booked : book.streams) {
      const auto found = attempts_.find(booked.attempt);
      TARRAGON_INVARIANT(found != attempts_.end() && found->second == endpoint,
                         "stream booked at another endpoint");
      held += booked.memory.held;
      sum += Reserved(booked.memory);
      largest = std::max(largest, Reserved(booked.memory));
    }
    TARRAGON_INVARIANT(held == book.own_held, "held memory does not add up");
    TARRAGON_INVARIANT(
        std::ranges::is_sorted(book.streams, std::greater{},
                               [](const booked_stream& booked) { return booked.memory.remaining; }),
        "streams out of order");
    TARRAGON_INVARIANT(book.own_peak <= sum && book.own_peak >= std::max(held, largest),
                       "peak outside its bounds");
    streams += book.streams.size();
    held_sum += held;
  }
  TARRAGON_INVARIANT(streams == attempts_.size(), "attempt without a booking");
  TARRAGON_INVARIANT(held_sum == held_sum_, "held memory of all endpoints does not add up");
}

}  // namespace tarragon::policy
