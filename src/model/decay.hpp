// How what is counted of boots and preemptions is forgotten.
#pragma once

#include <cmath>

namespace bankhill::model {

// Rounds after which a boot or a preemption counts a third: a wave passes.
constexpr double kMemoryRounds = 4;

// The part that something still counts `passed_s` after it was counted.
inline double decay(double passed_s, double round_s) {
  return std::exp(-passed_s / (kMemoryRounds * round_s));
}

}  // namespace bankhill::model
