#include "queue/made_room.hpp"

namespace bankhill::queue {

void MadeRoom::make(const wire::JobId& job, const wire::HostId& host, wire::Rank rank,
                    const wire::Amounts& need, double now, double until) {
  release(job);
  // Few at a time: each lives for some paces.
  for (auto made = hosts_.begin(); made != hosts_.end();) {
    const bool over = now > made->second.until || made->first == host;
    if (over) jobs_.erase(made->second.job);
    made = over ? hosts_.erase(made) : std::next(made);
  }
  hosts_[host] = {job, rank, need, until};
  jobs_[job] = host;
}

void MadeRoom::placed(const wire::JobId& job, const wire::HostId& host, bool more) {
  const auto found = jobs_.find(job);
  if (found != jobs_.end() && (found->second == host || !more)) release(job);
}

bool MadeRoom::waits_elsewhere(const wire::JobId& job, const wire::HostId& here, double now) const {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && found->second != here && made(found->second, now);
}

void MadeRoom::release(const wire::JobId& job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  hosts_.erase(found->second);
  jobs_.erase(found);
}

bool MadeRoom::on_its_way(const wire::JobId& job, double now) const {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && made(found->second, now);
}

bool MadeRoom::made(const wire::HostId& host, double now) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() && now <= found->second.until;
}

bool MadeRoom::allows(const wire::HostId& host, const wire::JobId& job, wire::Rank rank,
                      const wire::Amounts& need, const wire::Amounts& room, double now) const {
  if (!made(host, now)) return true;
  const auto& made = hosts_.at(host);
  if (made.job == job || rank > made.rank) return true;
  auto left = room;
  left -= made.need;
  return need.fits(left);
}

void MadeRoom::reset() {
  hosts_.clear();
  jobs_.clear();
}

}  // namespace bankhill::queue
