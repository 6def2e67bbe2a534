#pragma once

namespace heathermoor {

/// @brief Base of abstract interfaces: virtual destructor, neither copyable nor movable.
class interface {
  public:
    virtual ~interface() = default;
    interface(const interface &) = delete;
    interface &operator=(const interface &) = delete;
    interface(interface &&) = delete;
    interface &operator=(interface &&) = delete;

  protected:
    interface() = default;
};

} // namespace heathermoor
