// Numbers that tell the records of one leadership term, and of one term from another, apart.
#pragma once

#include <cstdint>

namespace bankhill::storage {

class RecordNumbers {
 public:
  // `term`: the fencing token with which the leadership term began.
  void begin_term(std::uint64_t term) {
    term_ = term;
    made_ = 0;
  }
  std::uint64_t term() const { return term_; }
  // Unique within the term.
  std::uint64_t next_in_term() { return ++made_; }
  // Unique over all terms.
  std::uint64_t next() { return (term_ << kBitsInTerm) + next_in_term(); }
  // The term in which next() gave this number.
  static std::uint64_t term_of(std::uint64_t number) { return number >> kBitsInTerm; }

 private:
  static constexpr unsigned kBitsInTerm = 20;
  std::uint64_t term_ = 0;
  std::uint64_t made_ = 0;
};

}  // namespace bankhill::storage
