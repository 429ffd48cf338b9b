// Levelled logs to standard error; LOG_LEVEL sets the amount.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <string>

namespace bankhill::runtime {

using Log = std::shared_ptr<spdlog::logger>;

// `level` is error, warn, info or debug.
Log make_log(const std::string& name, const std::string& level);

}  // namespace bankhill::runtime
