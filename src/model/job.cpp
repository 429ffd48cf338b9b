#include "model/job.hpp"

#include <algorithm>

namespace bankhill::model {

void Job::reset_task_progress() {
  task_progress.assign(spec.task_count, kTaskReady);
  ready_count = spec.task_count;
  assigned_count = finished_count = running_count = cursor = 0;
  task_machines.clear();
  tasks_by_zone.clear();
  completion_buckets.clear();
}

void Job::set_task_progress(std::uint32_t index, TaskMark mark) {
  auto count = [this](char of) -> std::uint32_t& {
    return of == kTaskReady ? ready_count : of == kTaskAssigned ? assigned_count : finished_count;
  };
  --count(task_progress[index]);
  ++count(mark);
  task_progress[index] = mark;
  if (mark == kTaskReady) cursor = std::min(cursor, index);
  progress_dirty = true;
}

bool Job::find_ready_task(std::uint32_t& index) {
  if (ready_count == 0) return false;
  while (task_progress[cursor] != kTaskReady) ++cursor;
  index = cursor;
  return true;
}

}  // namespace bankhill::model
