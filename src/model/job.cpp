#include "model/job.hpp"

#include <algorithm>

namespace bankhill::model {

void Job::set_reason(const std::string& reason) {
  if (reason_ == reason) return;
  reason_ = reason;
  progress_dirty = true;
}

void Job::reset_task_progress() {
  task_progress.assign(spec.task_count, kTaskReady);
  ready_count = spec.task_count;
  assigned_count = finished_count = running_count = cursor = 0;
  task_machines.clear();
  tasks_by_zone.clear();
  completion_buckets.clear();
}

void Job::set_task_progress(std::uint32_t index, TaskProgress progress) {
  auto count = [this](char wanted) -> std::uint32_t& {
    return wanted == kTaskReady ? ready_count : wanted == kTaskAssigned ? assigned_count : finished_count;
  };
  --count(task_progress[index]);
  ++count(progress);
  task_progress[index] = progress;
  if (progress == kTaskReady) cursor = std::min(cursor, index);
  progress_dirty = true;
}

bool Job::find_ready_task(std::uint32_t& index) {
  if (ready_count == 0) return false;
  while (task_progress[cursor] != kTaskReady) ++cursor;
  index = cursor;
  return true;
}

}  // namespace bankhill::model
