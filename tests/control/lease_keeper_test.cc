#include "tarragon/control/lease_keeper.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

namespace tarragon::control {
namespace {

using std::chrono::milliseconds;
using store::row;
using store::store_error;
using store::store_result;

constexpr milliseconds kStep{100};
constexpr lease_options kOptions;

/** In-memory lease row with conditional writes. */
class fake_lease_row {
 public:
  store_result<row> Read() const {
    if (row_.version == 0) {
      return store_error::kNotFound;
    }
    return row_;
  }

  store_result<std::uint64_t> Write(const write_lease& write) {
    if (write.expected_version != row_.version) {
      return store_error::kConflict;
    }
    row_ = row{"control/lease", write.record.Encode(), row_.version + 1};
    fencing_numbers_.push_back(write.record.fencing_number);
    return row_.version;
  }

  const std::vector<std::uint64_t>& fencing_numbers() const { return fencing_numbers_; }

 private:
  row row_;
  std::vector<std::uint64_t> fencing_numbers_;
};

/** One process that can be paused and whose clock runs at its own rate. */
struct fake_process {
  lease_keeper keeper;
  double clock_rate = 1;
  time_point local_time{std::chrono::hours(1)};
  int paused_steps = 0;
  std::optional<lease_call> call_in_flight = std::nullopt;
  int steps_until_answer = 0;
  /** Answer to the call in flight, computed when the call was sent. */
  std::optional<store_result<row>> read_answer = std::nullopt;
  std::optional<store_result<std::uint64_t>> write_answer = std::nullopt;
};

enum class call_outcome { kAnswered, kAnswerLost, kNotSent, kAppliedLate };

class lease_simulation {
 public:
  lease_simulation(std::uint64_t seed, int processes) : random_(seed) {
    for (int i = 0; i < processes; ++i) {
      // Clocks of real machines differ by far less than 1%.
      const double rate = std::uniform_real_distribution<>(0.99, 1.01)(random_);
      processes_.push_back(
          {.keeper = lease_keeper("process-" + std::to_string(i), kOptions), .clock_rate = rate});
    }
  }

  void Run(int steps, bool faults) {
    for (int i = 0; i < steps; ++i) {
      ApplyLateWrites();
      for (fake_process& process : processes_) {
        process.local_time += std::chrono::duration_cast<duration>(kStep * process.clock_rate);
        if (faults && Chance(0.003)) {
          process.paused_steps = RandomInteger(1, 150);
        }
        if (process.paused_steps > 0) {
          --process.paused_steps;
          continue;
        }
        StepProcess(process, faults);
      }
      RC_ASSERT(HolderCount() <= 1);
    }
  }

  int HolderCount() const {
    return static_cast<int>(std::ranges::count_if(processes_, [](const fake_process& process) {
      return process.keeper.IsHeldFor(process.local_time, duration::zero());
    }));
  }

  const fake_lease_row& row() const { return row_; }
  std::vector<fake_process>& processes() { return processes_; }

 private:
  bool Chance(double p) { return std::bernoulli_distribution(p)(random_); }
  int RandomInteger(int low, int high) {
    return std::uniform_int_distribution<>(low, high)(random_);
  }

  call_outcome PickOutcome(bool faults) {
    if (!faults || Chance(0.7)) {
      return call_outcome::kAnswered;
    }
    return static_cast<call_outcome>(RandomInteger(1, 3));
  }

  void StepProcess(fake_process& process, bool faults) {
    if (process.call_in_flight) {
      if (--process.steps_until_answer > 0) {
        return;
      }
      DeliverAnswer(process);
    }
    process.keeper.Validate();
    process.call_in_flight = process.keeper.NextCall(process.local_time);
    if (process.call_in_flight) {
      SendCall(process, faults);
    }
  }

  void SendCall(fake_process& process, bool faults) {
    const call_outcome outcome = PickOutcome(faults);
    process.steps_until_answer = faults ? RandomInteger(1, 20) : 1;
    if (const auto* write = std::get_if<write_lease>(&*process.call_in_flight)) {
      process.write_answer = SendWrite(*write, outcome);
      return;
    }
    process.read_answer = outcome == call_outcome::kAnswered
                              ? row_.Read()
                              : store_result<store::row>(store_error::kUnavailable);
  }

  store_result<std::uint64_t> SendWrite(const write_lease& write, call_outcome outcome) {
    switch (outcome) {
      case call_outcome::kAnswered:
        return row_.Write(write);
      case call_outcome::kAnswerLost:
        (void)row_.Write(write);
        return store_error::kUnknownOutcome;
      case call_outcome::kNotSent:
        return store_error::kUnavailable;
      case call_outcome::kAppliedLate:
        late_writes_.push_back({write, RandomInteger(1, 60)});
        return store_error::kUnknownOutcome;
    }
    return store_error::kBadAnswer;
  }

  void DeliverAnswer(fake_process& process) {
    const lease_call call = *std::exchange(process.call_in_flight, std::nullopt);
    if (std::holds_alternative<write_lease>(call)) {
      process.keeper.OnWritten(process.local_time, *process.write_answer);
    } else {
      process.keeper.OnRead(process.local_time, *process.read_answer);
    }
  }

  void ApplyLateWrites() {
    for (late_write& late : late_writes_) {
      if (--late.steps_left == 0) {
        (void)row_.Write(late.write);
      }
    }
    std::erase_if(late_writes_, [](const late_write& late) { return late.steps_left <= 0; });
  }

  struct late_write {
    write_lease write;
    int steps_left;
  };

  std::mt19937_64 random_;
  fake_lease_row row_;
  std::vector<fake_process> processes_;
  std::deque<late_write> late_writes_;
};

// Guards against two processes that hold the lease at the same time after pauses, lost answers,
// calls that fail and writes that are applied late.
RC_GTEST_PROP(LeaseKeeperProperty, AtMostOneHolder, (std::uint64_t seed)) {
  lease_simulation simulation(seed, 3);
  simulation.Run(1500, /*faults=*/true);
  const auto& fencing_numbers = simulation.row().fencing_numbers();
  RC_ASSERT(std::ranges::is_sorted(fencing_numbers));
}

// Guards against a lease that no process acquires after the faults have ended.
RC_GTEST_PROP(LeaseKeeperProperty, SomeProcessHoldsAfterFaults, (std::uint64_t seed)) {
  lease_simulation simulation(seed, 3);
  simulation.Run(600, /*faults=*/true);
  simulation.Run(300, /*faults=*/false);
  RC_ASSERT(simulation.HolderCount() == 1);
}

// Guards against a successor that waits for the whole term although the holder has resigned.
TEST(LeaseKeeper, ResignationReleasesLeaseAtOnce) {
  lease_simulation simulation(1, 2);
  simulation.Run(50, /*faults=*/false);
  auto holder = std::ranges::find_if(simulation.processes(), [](const fake_process& process) {
    return process.keeper.IsHeldFor(process.local_time, duration::zero());
  });
  ASSERT_NE(holder, simulation.processes().end());
  const std::uint64_t fencing_before = holder->keeper.fencing_number();
  holder->keeper.Resign();
  EXPECT_EQ(simulation.HolderCount(), 0);
  simulation.Run(20, /*faults=*/false);
  EXPECT_TRUE(holder->keeper.HasResigned());
  EXPECT_EQ(simulation.HolderCount(), 1);
  EXPECT_EQ(simulation.row().fencing_numbers().back(), fencing_before + 1);
}

// Guards against a holder that counts its term from the answer to its write. The term counts from
// when the write was sent, so that a paused holder does not act after its lease has expired.
TEST(LeaseKeeper, PausedHolderDoesNotActAfterItsTerm) {
  lease_keeper keeper("a", kOptions);
  time_point now{std::chrono::hours(1)};
  ASSERT_TRUE(std::holds_alternative<read_lease>(*keeper.NextCall(now)));
  keeper.OnRead(now, store_error::kNotFound);
  ASSERT_TRUE(std::holds_alternative<write_lease>(*keeper.NextCall(now)));
  const time_point sent = now;
  now += milliseconds(1500);
  keeper.OnWritten(now, std::uint64_t{1});
  EXPECT_TRUE(keeper.IsHeldFor(sent + kOptions.term - milliseconds(1), duration::zero()));
  EXPECT_FALSE(keeper.IsHeldFor(sent + kOptions.term, duration::zero()));
}

// Guards against a lease record that changes when encoded and decoded, and against decoding invalid
// text.
TEST(LeaseRecord, RoundTripsAndRejectsInvalidText) {
  const lease_record record{"vm-1/7", 3, 9, milliseconds(6000)};
  EXPECT_EQ(lease_record::Decode(record.Encode()), record);
  EXPECT_EQ(lease_record::Decode("{}"), std::nullopt);
  EXPECT_EQ(lease_record::Decode("not json"), std::nullopt);
}

}  // namespace
}  // namespace tarragon::control
