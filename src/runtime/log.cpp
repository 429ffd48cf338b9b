#include "runtime/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

namespace bankhill::runtime {

Log make_log(const std::string& name, const std::string& level) {
  auto log = std::make_shared<spdlog::logger>(name, std::make_shared<spdlog::sinks::stderr_sink_st>());
  log->set_pattern("%H:%M:%S.%e %l %v");
  log->set_level(spdlog::level::from_str(level));
  log->flush_on(spdlog::level::trace);
  return log;
}

}  // namespace bankhill::runtime
