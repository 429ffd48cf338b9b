#include "model/job.hpp"

#include <algorithm>

namespace bankhill::model {

void Job::reset_marks() {
  marks.assign(spec.task_count, kReady);
  ready = spec.task_count;
  assigned = finished = running = cursor = 0;
  task_machines.clear();
  tasks_by_zone.clear();
  completion_buckets.clear();
}

void Job::set_mark(std::uint32_t index, TaskMark mark) {
  auto count = [this](char of) -> std::uint32_t& {
    return of == kReady ? ready : of == kAssigned ? assigned : finished;
  };
  --count(marks[index]);
  ++count(mark);
  marks[index] = mark;
  if (mark == kReady) cursor = std::min(cursor, index);
  progress_dirty = true;
}

bool Job::next_ready(std::uint32_t& index) {
  if (ready == 0) return false;
  while (marks[cursor] != kReady) ++cursor;
  index = cursor;
  return true;
}

}  // namespace bankhill::model
