// Numbers that identify records uniquely, within a leadership term or over all terms.
#pragma once

#include <cstdint>

namespace bankhill::storage {

class RecordNumbers {
 public:
  // `term`: the fencing token at the start of the leadership term.
  void begin_term(std::uint64_t term) {
    term_ = term;
    last_in_term_ = 0;
  }
  std::uint64_t term() const { return term_; }
  // Returns a number that is unique within the term.
  std::uint64_t next_in_term() { return ++last_in_term_; }
  // Returns a number that is unique over all terms.
  std::uint64_t next() { return (term_ << kNumberBits) + next_in_term(); }
  // Returns the term in which next() returned this number.
  static std::uint64_t term_of(std::uint64_t number) { return number >> kNumberBits; }

 private:
  static constexpr unsigned kNumberBits = 20;
  std::uint64_t term_ = 0;
  std::uint64_t last_in_term_ = 0;
};

}  // namespace bankhill::storage
