// What a simulated site is made of: its zones, settings, machine types and the names of its parts.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "app/settings.hpp"
#include "wire/messages.hpp"

namespace bankhill::sim {

struct Timing;

// By which the cloud's list of machines is behind, at least.
inline constexpr double kListLag = 5;

// The limits of the state service that are announced for later. Like the sizes and rates in force, they are
// those of a small site, in about the real proportion.
inline constexpr double kNextWriteRps = 60;
inline constexpr double kNextValueKb = 2;
inline constexpr std::size_t kNextTxnOps = 8;

// The zones that machines and controllers are in.
const std::vector<std::string>& zones();

std::string controller_name(int node);

// Settings of one of `count` controllers; `announced`: with the limits to come.
app::Settings site_settings(int node, int count, bool announced, const Timing& timing);

// What the cloud says of the machine types that it offers.
wire::Json cloud_catalogue();

// Resources of a machine of this type.
const wire::Resources& machine_resources(const std::string& machine_type);

}  // namespace bankhill::sim
