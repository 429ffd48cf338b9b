// Plays days on which troubles meet, outside the tests: as many seeds as one likes.
#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <optional>

#include "sim/combined_faults.hpp"

namespace {

constexpr int kExitBroken = 1;
constexpr std::size_t kLines = 10;  // of a day, unless it is told alone

using bankhill::sim::SimulatedCluster;

void print(const SimulatedCluster::CancelledStarts& starts) {
  std::cout << "starts after a confirmed cancellation: " << starts.all
            << ", ordered after it: " << starts.ordered_after
            << ", though nothing kept the controller from knowing: " << starts.knowable << std::endl;
}

bool play(std::uint64_t seed, int controllers, bool story, SimulatedCluster::CancelledStarts& starts) {
  std::optional<bankhill::sim::MeetingDay> day;
  std::vector<std::string> broken;
  try {
    day.emplace(seed, controllers);
    broken = day->play();
  } catch (const std::exception& error) {
    broken.push_back(std::string("exception: ") + error.what());
  }
  if (day) starts += day->world().cancelled_starts();
  if (story && day)
    for (const auto& line : day->story()) std::cout << "  " << line << "\n";
  if (broken.empty()) return true;
  std::cout << (day ? day->name() : "seed " + std::to_string(seed)) << "\n";
  for (std::size_t i = 0; i < broken.size() && (story || i < kLines); ++i)
    std::cout << "  " << broken[i] << "\n";
  std::cout << std::flush;
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App program{
      "Plays days on which troubles meet, prints the seeds of those that broke something, and how many were "
      "played.\nExit status: 0 nothing broke, 1 something did. With LOG_LEVEL=debug the controllers log."};
  std::uint64_t first = 1;
  std::uint64_t count = 100;
  std::optional<std::uint64_t> seed;
  int controllers = 0;
  program.add_option("first", first, "first seed")->capture_default_str();
  program.add_option("count", count, "number of days")->capture_default_str();
  program.add_option("--seed", seed, "play this day alone and tell what was done to the site");
  program.add_option("--controllers", controllers, "instead of three or five, by the seed")
      ->check(CLI::Range(1, 10));
  CLI11_PARSE(program, argc, argv);
  SimulatedCluster::CancelledStarts starts;
  if (seed) {
    const bool well = play(*seed, controllers, true, starts);
    print(starts);
    return well ? 0 : kExitBroken;
  }
  std::uint64_t broke = 0;
  for (std::uint64_t i = 0; i < count; ++i) broke += play(first + i, controllers, false, starts) ? 0 : 1;
  std::cout << count << " days, seeds " << first << " to " << first + count - 1 << ": " << broke
            << " broke something" << std::endl;
  print(starts);
  return broke == 0 ? 0 : kExitBroken;
}
