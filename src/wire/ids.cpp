#include "wire/ids.hpp"

#include <algorithm>
#include <charconv>

namespace bankhill::wire {

namespace {
constexpr std::string_view kJobPrefix = "job-";
constexpr std::size_t kMaxDigits = 20;

bool digits(std::string_view text) {
  return !text.empty() && text.size() <= kMaxDigits &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}
}  // namespace

std::optional<JobId> parse_job_id(std::string_view text) {
  if (!text.starts_with(kJobPrefix) || !digits(text.substr(kJobPrefix.size()))) return std::nullopt;
  return JobId{std::string(text)};
}

std::optional<TaskId> parse_task_id(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  auto job = parse_job_id(text.substr(0, slash));
  const auto number = text.substr(slash + 1);
  std::uint32_t index = 0;
  const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), index);
  if (!job || !digits(number) || error != std::errc{} || end != number.data() + number.size())
    return std::nullopt;
  return TaskId{std::move(*job), index};
}

}  // namespace bankhill::wire
