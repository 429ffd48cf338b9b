// Exponential decay of the counts of boots and preemptions.
#pragma once

#include <cmath>

namespace bankhill::model {

// Time constant of the decay in planning rounds: after it a boot or a preemption counts about a third, so
// that a wave of them has no lasting effect.
constexpr double kDecayRounds = 4;

// Weight of an event `elapsed_s` after it was counted.
inline double decay(double elapsed_s, double round_s) {
  return std::exp(-elapsed_s / (kDecayRounds * round_s));
}

}  // namespace bankhill::model
